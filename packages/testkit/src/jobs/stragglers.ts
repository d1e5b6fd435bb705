/** Runs that last long by chance, and hosts on which all runs last long. */
import {taskName, type StartRow} from '@lentildrift/queue';
import {createRandom} from '../workload.js';

export interface Stragglers {
  /** Share of the runs that last long whatever their task is. */
  readonly longRunShare: number;
  readonly longRunFactor: number;
  readonly slowHostShare: number;
  readonly slowHostFactor: number;
}

/**
 * Returns the duration of a run, in milliseconds, of a task that otherwise takes
 * `durationMs`. The same run has the same duration under each policy.
 */
export function createRunDurations(
  stragglers: Stragglers,
  seed: number,
): (row: StartRow, durationMs: number) => number {
  const isDrawn = (text: string, share: number) =>
    createRandom(hash(`${seed} ${text}`)).uniform() < share;
  return ([task, run, worker], durationMs) => {
    const host = worker.slice(0, worker.indexOf('-'));
    const isLong = isDrawn(taskName(task, `${run}`), stragglers.longRunShare);
    const isSlow = isDrawn(host, stragglers.slowHostShare);
    return (
      durationMs *
      (isLong ? stragglers.longRunFactor : 1) *
      (isSlow ? stragglers.slowHostFactor : 1)
    );
  };
}

/** FNV-1a. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (const character of text) {
    value = Math.imul(value ^ character.codePointAt(0)!, 0x01000193);
  }
  return value;
}
