/** The availability budget of long-running tasks. */
import {parseTaskKey, taskKey, taskName, type Run} from '@lentildrift/queue';
import type {LiveRun} from './load.js';

/** Whether a run of a task is active, by the last report of its worker. */
export type IsRunActive = (task: string, run: Run) => boolean;

/**
 * Whether a long-running run may be stopped: the number of other tasks of its
 * step that are unavailable, for any reason, is below the availability budget
 * (`mayMiss`). Without a budget, one task at a time may be unavailable.
 */
export function canStopRun(live: LiveRun, isRunActive: IsRunActive): boolean {
  const {job, key, step} = live;
  const position = parseTaskKey(key);
  let unavailable = 0;
  for (let index = 0; index < step.count; index++) {
    if (index === position.index) continue;
    const other = taskKey({...position, index});
    const name = taskName(job.spec.id, other);
    const runs = job.tasks[other]?.runs ?? [];
    if (!runs.some(run => isRunActive(name, run))) unavailable++;
  }
  return unavailable < Math.max(1, step.mayMiss);
}
