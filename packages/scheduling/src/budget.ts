/** The availability budget of tasks that last. */
import {parseTaskKey, taskKey, taskName, type Run} from '@lentildrift/queue';
import type {LiveRun} from './load.js';

/** Whether the run of a task is at work, as last reported. */
export type IsRunActive = (task: string, run: Run) => boolean;

/**
 * Whether a run that lasts may be stopped: fewer others of its step than the
 * budget are away for any reason. Without a budget, one at a time.
 */
export function canStopRun(live: LiveRun, isAtWork: IsRunActive): boolean {
  const {job, key, step} = live;
  const position = parseTaskKey(key);
  let away = 0;
  for (let index = 0; index < step.count; index++) {
    if (index === position.index) continue;
    const other = taskKey({...position, index});
    const name = taskName(job.spec.id, other);
    const runs = job.tasks[other]?.runs ?? [];
    if (!runs.some(run => isAtWork(name, run))) away++;
  }
  return away < Math.max(1, step.mayMiss);
}
