/**
 * What an intake knows between two forecasts: the work that it has accepted, the
 * shares of teams and the callers that it has refused. Times are given, so that
 * a replay can use it.
 */
import type {Job, JobSpec, Queue, Size, Team} from '@lentildrift/queue';
import type {Admission, AdmissionVerdict, Overloaded} from './admission.js';
import type {Durations} from './estimate.js';
import type {PoolForecast} from './forecast.js';
import {createOfferHistory, type OfferHistory} from './offers.js';
import {PacedReturns, type ReturnOrder} from './returns.js';
import {
  measureTeamUse,
  type PoolShares,
  type ShareRule,
  type TeamUse,
} from './shares.js';

export interface IntakeLedgerOptions {
  readonly admission: Admission;
  /** Shares are not computed if it is absent. */
  readonly shareRule?: ShareRule | undefined;
  /** `PacedReturns` if it is absent. */
  readonly returns?: ReturnOrder | undefined;
}

/** The verdict on a job; if it may be accepted later, with the time to retry. */
export type IntakeVerdict =
  | Exclude<AdmissionVerdict, Overloaded>
  | (Overloaded & {readonly retryAfterMs: number});

export interface IntakeInput {
  readonly spec: JobSpec;
  readonly queue: Queue;
  readonly nowMs: number;
  readonly monotonicMs: number;
  readonly durations: Durations;
  readonly hostCapacities: readonly Size[];
  /** Whether the forecasts can be trusted; without them nothing is refused. */
  readonly isSettled: boolean;
}

export interface PoolsInput {
  readonly forecasts: ReadonlyMap<string, PoolForecast>;
  readonly teams: readonly Team[];
  readonly queues: ReadonlyMap<string, Queue>;
  readonly recentJobs: Iterable<Job>;
  readonly durations: Durations;
  readonly nowMs: number;
}

export interface IntakeLedger {
  /** Decides on a job that is not recorded yet. */
  decide(input: IntakeInput): IntakeVerdict;
  /** Whether the job was accepted and has not been settled. */
  isAccepted(job: string): boolean;
  /** Notes that an accepted job is recorded, or never will be. */
  settle(job: string): void;
  /** Takes over new forecasts, with the jobs that are recorded by now. */
  update(input: PoolsInput): void;
  /** The shares in the pools as of the last update, by pool. */
  shares(): ReadonlyMap<string, PoolShares>;
}

interface AcceptedJob {
  readonly pool: string;
  readonly team: string | undefined;
  readonly workMs: number;
}

const NO_USE: ReadonlyMap<string, TeamUse> = new Map();

export function createIntakeLedger(options: IntakeLedgerOptions): IntakeLedger {
  const {admission} = options;
  const {shareRule} = options;
  const returns = options.returns ?? new PacedReturns();
  let forecasts: ReadonlyMap<string, PoolForecast> = new Map();
  let shares = new Map<string, PoolShares>();
  const offers = new Map<string, OfferHistory>();
  /** Jobs that were accepted and are not recorded yet, by ID. */
  const accepted = new Map<string, AcceptedJob>();
  /** Work that was accepted and is not part of the forecasts, by pool. */
  let acceptedWorkMs = new Map<string, number>();

  function offersOf(pool: string): OfferHistory {
    let history = offers.get(pool);
    if (!history) offers.set(pool, (history = createOfferHistory()));
    return history;
  }

  function decide(input: IntakeInput): IntakeVerdict {
    const {spec, queue, isSettled} = input;
    const {pool} = queue;
    const verdict = admission.decide({
      spec,
      queue,
      nowMs: input.nowMs,
      durations: input.durations,
      forecast: isSettled ? forecasts.get(pool) : undefined,
      acceptedWorkMs: acceptedWorkMs.get(pool) ?? 0,
      hostCapacities: input.hostCapacities,
      shares: shares.get(pool),
      offers: offersOf(pool),
      waitedMs: returns.waitedMs(spec.id, input.monotonicMs),
    });
    if (verdict.type === 'admitted') {
      const job = {pool, team: spec.team, workMs: verdict.workMs};
      accepted.set(spec.id, job);
      add(job);
      returns.settle(spec.id);
    }
    if (verdict.type !== 'overloaded') return verdict;
    return {...verdict, retryAfterMs: reserveReturn(input, verdict)};
  }

  function add({pool, team, workMs}: AcceptedJob): void {
    acceptedWorkMs.set(pool, (acceptedWorkMs.get(pool) ?? 0) + workMs);
    shares.get(pool)?.add(team, workMs);
  }

  function reserveReturn(
    {spec, queue: {pool}, monotonicMs}: IntakeInput,
    {endMs, limitMs, workMs}: Overloaded,
  ): number {
    const forecast = forecasts.get(pool);
    return returns.reserve({
      job: spec.id,
      pool,
      nowMs: monotonicMs,
      roomInMs: endMs - limitMs,
      paceMs: forecast ? forecast.doneInMs(workMs) - forecast.doneInMs(0) : 0,
    });
  }

  function createShares(rule: ShareRule, input: PoolsInput) {
    const uses = measureTeamUse(input);
    const {teams} = input;
    const created = new Map<string, PoolShares>();
    for (const [pool, {cpuMillis}] of input.forecasts) {
      const use = uses.get(pool) ?? NO_USE;
      created.set(pool, rule.createShares({teams, use, cpuMillis}));
    }
    return created;
  }

  return {
    decide,
    isAccepted: job => accepted.has(job),
    settle: job => void accepted.delete(job),
    update(input) {
      forecasts = input.forecasts;
      if (shareRule) shares = createShares(shareRule, input);
      acceptedWorkMs = new Map();
      for (const job of accepted.values()) add(job);
    },
    shares: () => shares,
  };
}
