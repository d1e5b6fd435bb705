/** The availability budget of long-running tasks. */
import {
  parseTaskKey,
  taskKey,
  taskName,
  type Run,
  type Step,
} from '@lentildrift/queue';
import type {LiveRun} from './load.js';

/** Whether a run of a task is active, by the last report of its worker. */
export type IsRunActive = (task: string, run: Run) => boolean;

/**
 * Whether a long-running run may be stopped: the number of other tasks of its
 * step that are unavailable, for any reason, is below the availability budget
 * (`mayMiss`). Without a budget, one task at a time may be unavailable.
 */
export function canStopRun(live: LiveRun, isRunActive: IsRunActive): boolean {
  const {index} = parseTaskKey(live.key);
  const unavailable = countUnavailable(live, isRunActive, index);
  return unavailable < availabilityBudget(live.step);
}

/** Number of tasks of the step that may be unavailable at once. */
export function availabilityBudget({mayMiss}: Step): number {
  return Math.max(1, mayMiss);
}

/**
 * Number of tasks of the run's step without an active run, apart from the one
 * with the index `except`.
 */
export function countUnavailable(
  {job, key, step}: LiveRun,
  isRunActive: IsRunActive,
  except?: number,
): number {
  const position = parseTaskKey(key);
  let unavailable = 0;
  for (let index = 0; index < step.count; index++) {
    if (index === except) continue;
    const other = taskKey({...position, index});
    const name = taskName(job.spec.id, other);
    const runs = job.tasks[other]?.runs ?? [];
    if (!runs.some(run => isRunActive(name, run))) unavailable++;
  }
  return unavailable;
}
