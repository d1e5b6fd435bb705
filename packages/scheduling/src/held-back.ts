/** What a round notes about the tasks that are ready and do not start. */
import {taskKey, taskName, type Job} from '@lentildrift/queue';
import type {ReadyStep} from './ready-steps.js';
import {z} from 'zod';

/** Why a task that is ready did not start in a round. */
export const HoldReason = z.enum([
  /** An attempt to start it may still arrive at a worker. */
  'late-start',
  /** As above, and the only worker that is left for it cannot take it now. */
  'pinned',
  /** Its team has no resources left below its cap. */
  'cap',
  /** It fits on no candidate of its pool. */
  'no-room',
  /** It is suspected of crashing its workers, and no worker is free for it. */
  'trial',
  /** It lacks placement advice, or fits on none of the workers advised. */
  'advice',
  /** The round has started as many tasks of late jobs as a busy leader may. */
  'paced',
  /** Other members of its gang have a run or have ended. */
  'gang',
]);
export type HoldReason = z.infer<typeof HoldReason>;

/** A step with tasks that are ready. */
export interface HeldStep {
  readonly job: Job;
  readonly queue: {readonly pool: string};
  readonly ready: ReadyStep;
}

/** A task that is ready and did not start. */
export interface HeldTask {
  readonly step: HeldStep;
  readonly index: number;
  readonly reason: HoldReason;
}

export interface HeldBack {
  /**
   * In the order in which the round looked at them: tasks that have had a run
   * before, or have a reason of their own, and for the first steps of a pool
   * the first of the tasks that wait. Steps of a backlog beyond these are only
   * counted, since a round in a full pool has thousands of them.
   */
  readonly tasks: readonly HeldTask[];
  /** Number of tasks that were held back for a reason. */
  count(reason: HoldReason): number;
}

export interface HoldRecord extends HeldBack {
  /** Notes one task. */
  addTask(step: HeldStep, index: number, reason: HoldReason): void;
  /** Notes the `count` tasks of a step that wait from this index on. */
  addTasksFrom(
    step: HeldStep,
    index: number,
    count: number,
    reason: HoldReason,
  ): void;
}

/** Steps that are listed for one reason in one pool. */
const MAX_STEPS = 16;
/** Tasks that are listed in one round. */
const MAX_TASKS = 1024;

export function createHoldRecord(): HoldRecord {
  const tasks: HeldTask[] = [];
  const byReason = new Map<HoldReason, ReasonRecord>();

  function recordOf(reason: HoldReason): ReasonRecord {
    let record = byReason.get(reason);
    if (!record) {
      byReason.set(reason, (record = {count: 0, stepsByPool: new Map()}));
    }
    return record;
  }

  function list(step: HeldStep, index: number, reason: HoldReason): void {
    if (tasks.length < MAX_TASKS) tasks.push({step, index, reason});
  }

  return {
    tasks,
    count: reason => byReason.get(reason)?.count ?? 0,
    addTask(step, index, reason) {
      recordOf(reason).count++;
      list(step, index, reason);
    },
    addTasksFrom(step, index, count, reason) {
      const record = recordOf(reason);
      record.count += count;
      const {rerun} = step.ready;
      for (const each of rerun) {
        if (each >= index) list(step, each, reason);
      }
      const {pool} = step.queue;
      const steps = record.stepsByPool.get(pool) ?? 0;
      if (steps >= MAX_STEPS || rerun.includes(index)) return;
      record.stepsByPool.set(pool, steps + 1);
      list(step, index, reason);
    },
  };
}

interface ReasonRecord {
  count: number;
  /** Number of steps that are listed, by pool. */
  readonly stepsByPool: Map<string, number>;
}

export function heldTaskName({step, index}: HeldTask): string {
  const {occurrence, stepIndex} = step.ready;
  const key = taskKey({occurrence, step: stepIndex, index});
  return taskName(step.job.spec.id, key);
}
