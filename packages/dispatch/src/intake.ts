/**
 * Decides at the leader whether a job is accepted: `estimate → decide → reserve`.
 * Forecasts of the pools come with each rebalancing; between two of them the
 * work that was accepted is counted, so that a decision costs the same whatever
 * waits.
 */
import type {JobSpec, Queue, Size} from '@lentildrift/queue';
import {
  forecastPools,
  type Admission,
  type AdmissionVerdict,
  type PoolForecast,
  type PoolView,
} from '@lentildrift/scheduling';
import type {RunEstimates} from './run-estimates.js';

export interface IntakeOptions {
  readonly admission: Admission;
  readonly estimates: Pick<RunEstimates, 'durations'>;
  /** Capacities of the hosts that the provider lists; empty before the first. */
  hostCapacities(): readonly Size[];
}

type Overloaded = Extract<AdmissionVerdict, {type: 'overloaded'}>;

/** The verdict on a job; if it may be accepted later, with the time to retry. */
export type IntakeVerdict =
  | Exclude<AdmissionVerdict, Overloaded>
  | (Overloaded & {readonly retryAfterMs: number});

export interface Intake {
  /** Decides on a job that is not recorded yet. */
  decide(spec: JobSpec, queue: Queue): IntakeVerdict;
  /** Whether the job was accepted and has not been settled. */
  isAccepted(job: string): boolean;
  /** Notes that an accepted job is recorded, or never will be. */
  settle(job: string): void;
  /** Takes over the pools as they are now. */
  update(pools: readonly PoolView[]): void;
}

interface AcceptedJob {
  readonly pool: string;
  readonly workMs: number;
}

/**
 * Time for which a new leader refuses no job for lack of room: it does not know
 * yet which workers answer, and would take the others for lost.
 */
const SETTLING_MS = 3000;
/** Bounds of the time after which a caller may retry. */
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 8000;

export function createIntake(options: IntakeOptions): Intake {
  const {admission, estimates, hostCapacities} = options;
  const startedMs = performance.now();
  let forecasts: ReadonlyMap<string, PoolForecast> = new Map();
  /** Jobs that were accepted and are not recorded yet, by ID. */
  const accepted = new Map<string, AcceptedJob>();
  /** Work that was accepted and is not part of the forecasts, by pool. */
  let acceptedWorkMs = new Map<string, number>();
  /** Monotonic time at which the last refused caller may return, by pool. */
  const lastReturnMs = new Map<string, number>();

  function decide(spec: JobSpec, queue: Queue): IntakeVerdict {
    const {pool} = queue;
    const isSettled = performance.now() - startedMs >= SETTLING_MS;
    const verdict = admission.decide({
      spec,
      queue,
      nowMs: Date.now(),
      durations: estimates.durations(),
      forecast: isSettled ? forecasts.get(pool) : undefined,
      acceptedWorkMs: acceptedWorkMs.get(pool) ?? 0,
      hostCapacities: hostCapacities(),
    });
    if (verdict.type === 'admitted') {
      const job = {pool, workMs: verdict.workMs};
      accepted.set(spec.id, job);
      addWork(job);
    }
    if (verdict.type !== 'overloaded') return verdict;
    return {...verdict, retryAfterMs: reserveReturn(pool, verdict)};
  }

  function addWork({pool, workMs}: AcceptedJob): void {
    acceptedWorkMs.set(pool, (acceptedWorkMs.get(pool) ?? 0) + workMs);
  }

  /**
   * Lets refused callers return one after the other, in the order in which they
   * came and at the pace at which the pool works, and not all at once.
   */
  function reserveReturn(
    pool: string,
    {endMs, limitMs, workMs}: Overloaded,
  ): number {
    const nowMs = performance.now();
    const forecast = forecasts.get(pool);
    const paceMs = forecast
      ? forecast.doneInMs(workMs) - forecast.doneInMs(0)
      : 0;
    const earliestMs = nowMs + Math.max(MIN_RETRY_MS, endMs - limitMs);
    const behindLastMs = (lastReturnMs.get(pool) ?? 0) + paceMs;
    const latestMs = nowMs + MAX_RETRY_MS;
    const returnMs = Math.min(latestMs, Math.max(earliestMs, behindLastMs));
    lastReturnMs.set(pool, returnMs);
    return Math.round(returnMs - nowMs);
  }

  return {
    decide,
    isAccepted: job => accepted.has(job),
    settle: job => void accepted.delete(job),
    update(pools) {
      forecasts = forecastPools(pools);
      acceptedWorkMs = new Map();
      for (const job of accepted.values()) addWork(job);
    },
  };
}
