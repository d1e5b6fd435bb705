/**
 * Policies that decide whether a job is accepted when it is handed in. A job that
 * is refused has not run and never will, so its caller can go elsewhere at once.
 */
import {
  fits,
  type Job,
  type JobSpec,
  type Queue,
  type Size,
} from '@lentildrift/queue';
import {isInflow} from './backlog.js';
import type {Durations} from './estimate.js';
import type {PoolForecast} from './forecast.js';
import {reservation} from './load.js';
import type {OfferHistory} from './offers.js';
import {objectiveMs, remainingPathMs, remainingWorkMs} from './order.js';
import type {PoolShares, Standing} from './shares.js';
import {z} from 'zod';

export interface AdmissionInput {
  readonly spec: JobSpec;
  readonly queue: Queue;
  readonly nowMs: number;
  readonly durations: Durations;
  /** Forecast of the queue's pool; absent if nothing is known of it. */
  readonly forecast?: PoolForecast | undefined;
  /** Work, in core milliseconds, that the pool was given since the forecast. */
  readonly acceptedWorkMs: number;
  /** Whole capacities of the hosts that exist; empty if none is known. */
  readonly hostCapacities: readonly Size[];
  /** Shares of the teams in the pool; absent if nothing is known of it. */
  readonly shares?: PoolShares | undefined;
  /** What was handed in to the pool of late; absent with the shares. */
  readonly offers?: OfferHistory | undefined;
  /** Time since the job was first refused; 0 if it was not. */
  readonly waitedMs?: number;
}

/** Why a job is refused that could run on other hosts or at another time. */
export const RefusalReason = z.enum([
  /** It would end too late behind what was accepted. */
  'no-room',
  /** Its team has handed in more than its share, and others need the room. */
  'beyond-share',
  /** The room is kept for jobs that cost callers more for the same work. */
  'least-cost',
]);
export type RefusalReason = z.infer<typeof RefusalReason>;

export interface Overloaded extends Partial<Standing> {
  readonly type: 'overloaded';
  readonly reason: RefusalReason;
  /** Time from now at which the job is expected to end. */
  readonly endMs: number;
  /** Time from now at which it would have to end. */
  readonly limitMs: number;
  readonly workMs: number;
  /** What callers lose if the job is never done, in core milliseconds. */
  readonly costMs?: number;
}

export type AdmissionVerdict =
  | {
      readonly type: 'admitted';
      /** What the job adds to the work of its pool, in core milliseconds. */
      readonly workMs: number;
      /** As of a refusal; absent if nothing was forecast. */
      readonly limitMs?: number;
    }
  | Overloaded
  /** No host is large enough for a task of the job. */
  | {readonly type: 'unservable'; readonly step: number};

export abstract class Admission {
  abstract decide(input: AdmissionInput): AdmissionVerdict;
}

/** Baseline: accepts every job, however long it will wait. */
export class AdmitAll extends Admission {
  override decide(): AdmissionVerdict {
    return {type: 'admitted', workMs: 0};
  }
}

/**
 * A job is refused if it is expected to take more than this multiple of its
 * objective. The forecast is rough, and a job that could have been in time loses
 * more by a refusal than others lose by a job that is late.
 */
const MAX_OBJECTIVE_FACTOR = 1.3;
/**
 * Durations of tasks of the queue without which nothing is refused: what
 * submitters estimate is off by a factor of two and more.
 */
const MIN_DURATIONS = 20;

/**
 * Refuses jobs that cannot be in time. Answers demand above the capacity of all
 * hosts: without it nearly every job ends late, since the room goes to jobs that
 * have waited too long already.
 */
export class DeadlineAdmission extends Admission {
  override decide(input: AdmissionInput): AdmissionVerdict {
    const {spec, queue, nowMs, durations, hostCapacities} = input;
    const step = findUnservableStep(spec, hostCapacities);
    if (step !== undefined) return {type: 'unservable', step};
    const job = newJob(spec, nowMs);
    if (!isInflow(job)) return {type: 'admitted', workMs: 0};
    const estimate = {job, queue, occurrence: 0, nowMs, durations};
    const workMs = remainingWorkMs(estimate);
    const {forecast, acceptedWorkMs} = input;
    const count = durations.byQueue.get(queue.name)?.count ?? 0;
    if (!forecast || count < MIN_DURATIONS) return {type: 'admitted', workMs};
    const pathMs = remainingPathMs(estimate);
    const stepMs = pathMs / spec.steps.length;
    // The work ahead has its last tasks running when a new job can begin.
    const startMs = Math.max(0, forecast.doneInMs(acceptedWorkMs) - stepMs);
    const endMs = Math.max(
      startMs + pathMs,
      forecast.doneInMs(acceptedWorkMs + workMs),
    );
    const limitMs = MAX_OBJECTIVE_FACTOR * objectiveMs(estimate);
    if (endMs <= limitMs) return {type: 'admitted', workMs, limitMs};
    return {type: 'overloaded', reason: 'no-room', endMs, limitMs, workMs};
  }
}

/** Index of the first step with a task that fits on no host that exists. */
function findUnservableStep(
  {steps}: JobSpec,
  hostCapacities: readonly Size[],
): number | undefined {
  if (hostCapacities.length === 0) return undefined;
  const step = steps.findIndex(
    each => !hostCapacities.some(capacity => fits(reservation(each), capacity)),
  );
  return step < 0 ? undefined : step;
}

/** The record that a job would have if it were accepted now. */
export function newJob(spec: JobSpec, nowMs: number): Job {
  return {
    spec,
    acceptedAtMs: nowMs,
    phase: 'active',
    started: false,
    tasks: {},
    done: {},
  };
}
