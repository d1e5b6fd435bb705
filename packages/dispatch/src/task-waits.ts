/**
 * Logs why tasks that are ready wait for long, and counts by reason those that
 * wait at all.
 */
import type {Counter, Gauge, Log, Metrics} from '@lentildrift/observe';
import {HoldReason, heldTaskName, type Plan} from '@lentildrift/scheduling';

export interface TaskWaitsOptions {
  readonly log: Log;
  readonly metrics: Metrics;
}

export interface TaskWaits {
  /** Takes in what a round has held back. */
  observe(plan: Pick<Plan, 'heldBack' | 'candidatesLeft'>): void;
  stop(): void;
}

/** A lost task should have started again by then. */
const LOGGED_WAIT_MS = 2000;
/** Rounds follow each other by milliseconds; one in this time is looked at. */
const OBSERVE_INTERVAL_MS = 250;
const MAX_LINES_PER_SECOND = 32;

/** A task that waits. */
interface Wait {
  /** Monotonic time of the round in which it was first held back. */
  readonly sinceMs: number;
  /** Reasons that are logged. */
  readonly logged: Set<HoldReason>;
}

export function createTaskWaits({log, metrics}: TaskWaitsOptions): TaskWaits {
  const waitingCount: Gauge = metrics.gauge(
    'lentildrift_waiting_tasks',
    'Tasks that are ready and did not start in the last round, by reason.',
    HoldReason.options.length,
  );
  const longWaits: Counter = metrics.counter(
    'lentildrift_long_waits_total',
    'Tasks for which a long wait was logged, by reason.',
    HoldReason.options.length,
  );
  /** Waits of the tasks in the last list, by task. */
  let waits: ReadonlyMap<string, Wait> = new Map();
  let observedMs = -Infinity;
  /** Begin of the second for which lines are counted. */
  let secondMs = -Infinity;
  let lines = 0;

  function mayLog(nowMs: number): boolean {
    if (nowMs - secondMs >= 1000) {
      secondMs = nowMs;
      lines = 0;
    }
    return lines++ < MAX_LINES_PER_SECOND;
  }

  function observe({
    heldBack,
    candidatesLeft,
  }: Pick<Plan, 'heldBack' | 'candidatesLeft'>): void {
    const nowMs = performance.now();
    if (nowMs - observedMs < OBSERVE_INTERVAL_MS) return;
    observedMs = nowMs;
    setCounts(heldBack.count);
    const next = new Map<string, Wait>();
    for (const held of heldBack.tasks) {
      const task = heldTaskName(held);
      const wait = waits.get(task) ?? {sinceMs: nowMs, logged: new Set()};
      next.set(task, wait);
      const waitedMs = nowMs - wait.sinceMs;
      const {reason, step} = held;
      if (waitedMs < LOGGED_WAIT_MS || wait.logged.has(reason)) continue;
      if (!mayLog(nowMs)) continue;
      wait.logged.add(reason);
      longWaits.add({reason});
      log.info('task-waits', {
        task,
        waitedMs: Math.round(waitedMs),
        reason,
        pool: step.queue.pool,
        candidates: candidatesLeft(step.queue.pool).length,
        waitingInStep: step.ready.waitingCount,
      });
    }
    waits = next;
  }

  function setCounts(count: (reason: HoldReason) => number): void {
    for (const reason of HoldReason.options) {
      waitingCount.set({reason}, count(reason));
    }
  }

  return {
    observe,
    stop() {
      setCounts(() => 0);
    },
  };
}
