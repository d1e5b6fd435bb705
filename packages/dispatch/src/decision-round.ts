/**
 * Decision rounds of the leader: `gather → plan → copy → displace → commit`. A
 * round takes the events that wait, plans starts on the state that they lead to,
 * adds copies in the room that is left and runs that urgent jobs displace, and
 * proposes all as one change. At most one change is being committed at a time; its
 * outcome comes back to the leader's task as a message.
 */
import type {Latency, Metrics} from '@lentildrift/observe';
import {apply, isEvacuated, type Event, type Outcome} from '@lentildrift/queue';
import {runId} from '@lentildrift/scheduling';
import type {AdviceCache} from './advice.js';
import type {Batch} from './batch.js';
import type {Copies} from './copies.js';
import type {Displacements} from './displacements.js';
import type {EventQueue} from './event-queue.js';
import type {LeaderInstruments} from './instruments.js';
import type {LedTime} from './led-time.js';
import type {QueueReplica} from './leader-options.js';
import type {Planner} from './planner.js';
import type {StateViews} from './state-views.js';
import {ROUND_INTERVAL_MS} from './timing.js';
import type {RunTracker} from './tracker.js';

/** Messages of the rounds to the leader's task. */
export type RoundMessage =
  | {type: 'round'}
  | {type: 'committed'; batch: Batch; outcomes: readonly Outcome[]}
  | {type: 'rejected'; batch: Batch; error: Error};

export interface DecisionRoundsOptions {
  readonly replica: QueueReplica;
  readonly metrics: Metrics;
  readonly instruments: LeaderInstruments;
  readonly views: StateViews;
  readonly events: EventQueue;
  readonly planner: Planner;
  readonly copies: Pick<Copies, 'choose'>;
  readonly displacements: Pick<Displacements, 'choose'>;
  readonly runs: Pick<RunTracker, 'markTime'>;
  readonly advice: AdviceCache;
  readonly ledTime: Pick<LedTime, 'nowMs'>;
  isLeader(): boolean;
  /** Posts a message to the leader's task. */
  post(message: RoundMessage): void;
}

export interface DecisionRounds {
  /**
   * Has a round begin shortly, by a `round` message. While a change is being
   * committed, the next round is left to the handling of its outcome.
   */
  schedule(): void;
  /** Notes that time has passed, which the next round may act on. */
  invalidate(): void;
  /** Whether something has changed that the next round may act on. */
  isDue(): boolean;
  /** Runs a round if one is due and no change is being committed. */
  run(): void;
  /** Notes that the outcome of the pending change is known. */
  settle(): void;
  isCommitPending(): boolean;
  /** Whether a run on the worker is decided and not yet in the state. */
  hasPendingStart(worker: string): boolean;
  stop(): void;
}

export function createDecisionRounds(
  options: DecisionRoundsOptions,
): DecisionRounds {
  const {replica, instruments, views, events: queue} = options;
  const roundTime: Latency = options.metrics.latency(
    'lentildrift_round_duration_seconds',
    'Processor time of a decision round.',
    1,
  );
  let isCommitPending = false;
  /** Workers, by `workerKey`, with runs in the change being committed. */
  let startingWorkers: ReadonlySet<string> = new Set();
  /** Whether something has changed that the next round may act on. */
  let dirty = true;
  let roundTimer: NodeJS.Timeout | undefined;
  let isStopped = false;

  function schedule(): void {
    dirty = true;
    if (isCommitPending || roundTimer || isStopped) return;
    roundTimer = setTimeout(() => {
      roundTimer = undefined;
      options.post({type: 'round'});
    }, ROUND_INTERVAL_MS);
  }

  function isDue(): boolean {
    return dirty || queue.size() > 0;
  }

  function run(): void {
    if (isCommitPending || !options.isLeader()) return;
    if (!isDue()) return;
    dirty = false;
    const startMs = performance.now();
    const queued = queue.take();
    const events = queued.map(({event}) => event);
    const base = views.state();
    const projected =
      events.length > 0
        ? instruments.time('apply', () => apply(base, {events}).state)
        : base;
    const view = views.of(projected);
    const decision = options.planner.plan(projected, view);
    roundTime.record({}, performance.now() - startMs);
    options.advice.request(decision.stepsAwaitingAdvice, pool =>
      view.fleet
        .workersIn(pool)
        .filter(
          ({phase, dataCentre}) =>
            phase === 'ready' && !isEvacuated(view, dataCentre),
        ),
    );
    const copies = options.copies.choose(projected, view, decision);
    const starts = [...decision.starts, ...copies];
    if (starts.length > 0) {
      for (const [task, run] of starts) {
        options.runs.markTime(runId(task, run), 'decidedMs');
      }
      events.push({type: 'start', runs: starts});
    }
    const displaced = options.displacements.choose(projected, view, decision);
    if (displaced.length > 0) {
      events.push({type: 'displace', runs: [...displaced]});
    }
    if (events.length === 0) return;
    if (queue.size() > 0) dirty = true;
    startingWorkers = new Set(starts.map(([, , worker]) => worker));
    const hasUnplacedTasks = decision.shortPools.size > 0;
    propose({queued, starts, displaced, hasUnplacedTasks}, events);
  }

  function propose(batch: Batch, events: Event[]): void {
    isCommitPending = true;
    const recordSettled = instruments.recordProposal(
      events.length,
      batch.queued[0]?.queuedMs,
    );
    const ledMs = Math.floor(options.ledTime.nowMs());
    replica.propose({events, ledMs}).then(
      ({answer}) => {
        recordSettled('committed');
        options.post({type: 'committed', batch, outcomes: answer});
      },
      (error: Error) => {
        recordSettled('rejected');
        options.post({type: 'rejected', batch, error});
      },
    );
  }

  return {
    schedule,
    invalidate() {
      dirty = true;
    },
    isDue,
    run,
    settle() {
      isCommitPending = false;
      startingWorkers = new Set();
    },
    isCommitPending: () => isCommitPending,
    hasPendingStart: worker => startingWorkers.has(worker),
    stop() {
      isStopped = true;
      clearTimeout(roundTimer);
    },
  };
}
