/**
 * Decides at the leader whether a job is accepted: `estimate → decide → reserve`.
 * Forecasts of the pools come with each rebalancing; between two of them the
 * work that was accepted is counted, so that a decision costs the same whatever
 * waits.
 */
import type {Counter, Log, Metrics} from '@lentildrift/observe';
import {
  queuesOf,
  type JobSpec,
  type Queue,
  type Size,
} from '@lentildrift/queue';
import {
  createIntakeLedger,
  forecastPools,
  RefusalReason,
  SHARE_WINDOW_MS,
  type Admission,
  type IntakeVerdict,
  type PoolShares,
  type PoolView,
  type ReturnOrder,
  type ShareRule,
} from '@lentildrift/scheduling';
import type {RunEstimates} from './run-estimates.js';
import type {StateViews} from './state-views.js';

export interface IntakeOptions {
  readonly admission: Admission;
  readonly shareRule: ShareRule | undefined;
  readonly returns: ReturnOrder | undefined;
  readonly estimates: Pick<RunEstimates, 'durations'>;
  readonly views: Pick<StateViews, 'state' | 'current'>;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Capacities of the hosts that the provider lists; empty before the first. */
  hostCapacities(): readonly Size[];
}

export interface Intake {
  /** Decides on a job that is not recorded yet. */
  decide(spec: JobSpec, queue: Queue): IntakeVerdict;
  /** Whether the job was accepted and has not been settled. */
  isAccepted(job: string): boolean;
  /** Notes that an accepted job is recorded, or never will be. */
  settle(job: string): void;
  /** Takes over the pools as they are now. */
  update(pools: readonly PoolView[]): void;
  /** Shares of the teams by pool; undefined if teams have no shares. */
  shares(): ReadonlyMap<string, PoolShares> | undefined;
}

/**
 * Time for which a new leader refuses no job for lack of room: it does not know
 * yet which workers answer, and would take the others for lost.
 */
const SETTLING_MS = 3000;

export function createIntake(options: IntakeOptions): Intake {
  const {estimates, views, shareRule, log} = options;
  const startedMs = performance.now();
  const ledger = createIntakeLedger(options);
  const refusalCount: Counter = options.metrics.counter(
    'lentildrift_jobs_refused_total',
    'Jobs that were refused for lack of room, by reason.',
    RefusalReason.options.length,
  );

  return {
    decide(spec, queue) {
      const monotonicMs = performance.now();
      const verdict = ledger.decide({
        spec,
        queue,
        nowMs: Date.now(),
        monotonicMs,
        durations: estimates.durations(),
        hostCapacities: options.hostCapacities(),
        isSettled: monotonicMs - startedMs >= SETTLING_MS,
      });
      if (verdict.type !== 'overloaded') return verdict;
      const {reason, isBeyondShare, ...amounts} = verdict;
      refusalCount.add({reason}, 1);
      log.info('job-refused', {
        job: spec.id,
        queue: queue.name,
        team: spec.team,
        reason,
        isBeyondShare,
        priority: queue.priority,
        ...roundAll(amounts),
      });
      return verdict;
    },
    isAccepted: ledger.isAccepted,
    settle: ledger.settle,
    update(pools) {
      const nowMs = Date.now();
      const state = views.state();
      const {backlog} = views.current();
      ledger.update({
        forecasts: forecastPools(pools),
        teams: state.tables.teams,
        queues: queuesOf(state),
        recentJobs: shareRule
          ? backlog.recentJobs(nowMs - SHARE_WINDOW_MS)
          : [],
        durations: estimates.durations(),
        nowMs,
      });
    },
    shares: () => (shareRule ? ledger.shares() : undefined),
  };
}

/** The numbers among the values, rounded for a log line. */
function roundAll(values: object): Record<string, number> {
  const numbers = Object.entries(values).filter(
    (entry): entry is [string, number] => typeof entry[1] === 'number',
  );
  return Object.fromEntries(
    numbers.map(([key, value]) => [key, Math.round(value)]),
  );
}
