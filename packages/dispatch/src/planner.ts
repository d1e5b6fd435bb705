/** Plans the starts of a decision round with what the leader has learnt. */
import type {Log, Metrics} from '@lentildrift/observe';
import type {Job, State} from '@lentildrift/queue';
import {
  DeadlineOrder,
  PackPlacement,
  plan,
  WaitReason,
  type JobOrder,
  type Placement,
  type Plan,
  type PoolShares,
  type StateView,
} from '@lentildrift/scheduling';
import type {AdviceCache} from './advice.js';
import type {Availability} from './availability.js';
import type {LeaderInstruments} from './instruments.js';
import type {LateStarts} from './late-starts.js';
import type {RunEstimates} from './run-estimates.js';
import {createTaskWaits} from './task-waits.js';

export interface PlannerOptions {
  readonly instruments: LeaderInstruments;
  readonly availability: Availability;
  readonly lateStarts: Pick<LateStarts, 'allowedWorkers'>;
  readonly estimates: RunEstimates;
  readonly advice: AdviceCache;
  readonly order: JobOrder | undefined;
  readonly placement: Placement | undefined;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Shares of the teams by pool; undefined if teams have no shares. */
  shares(): ReadonlyMap<string, PoolShares> | undefined;
}

/** Limit of `PlanInput.maxLateStarts` while the leader is busy. */
const MAX_LATE_STARTS = 8;

export interface Planner {
  /** Decides which waiting tasks start on which workers. */
  plan(state: State, view: StateView): Plan;
  /** Has the metrics no longer show what this leader knew. */
  stop(): void;
}

export function createPlanner(options: PlannerOptions): Planner {
  const {availability, estimates, advice} = options;
  const {time, isBusy} = options.instruments;
  const order = options.order ?? new DeadlineOrder();
  const placement = options.placement ?? new PackPlacement();
  /** Jobs whose delay is logged, by ID, as long as they are delayed. */
  let logged: ReadonlySet<string> = new Set();
  const waits = createTaskWaits(options);

  /** Logs once that a job waits since its team is beyond its share. */
  function logDelays(jobs: ReadonlySet<Job>): void {
    const delayed = new Set<string>();
    for (const {spec} of jobs) {
      const {id, queue, team} = spec;
      delayed.add(id);
      if (logged.has(id)) continue;
      options.log.info('job-delayed', {
        job: id,
        queue,
        team,
        reason: WaitReason.enum['lent-room'],
      });
    }
    logged = delayed;
  }

  return {
    plan(state, view) {
      const shares = options.shares();
      const round = {
        state,
        load: view.load,
        backlog: view.backlog,
        candidatesIn: (pool: string) =>
          time('candidates', () => availability.candidatesIn(pool, view)),
        trialSlotsIn: (pool: string) => availability.trialSlotsIn(pool, view),
        allowedWorkers: options.lateStarts.allowedWorkers,
        maxLateStarts: isBusy() ? MAX_LATE_STARTS : Infinity,
        nowMs: Date.now(),
        durations: estimates.durations(),
        advisedWorkers: advice.advisedWorkers(),
        order,
        placement,
        ...(shares && {shares}),
      };
      const decision = time('plan', () => plan(round));
      logDelays(decision.onLentRoom);
      waits.observe(decision);
      return decision;
    },
    stop: waits.stop,
  };
}
