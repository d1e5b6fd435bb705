/** Logs why runs leave the record without an end that their worker has listed. */
import type {Log} from '@lentildrift/observe';
import type {StartRow} from '@lentildrift/queue';

/**
 * `absent`: a report that was requested after the order was settled lacks the
 * run. `lease-lapsed`: every lease of the worker has expired. `worker-replaced`:
 * the worker has started again. `successor-silent`: so it has, and the next
 * incarnation has been silent for long. `host-restarted`: its host runs another
 * worker.
 */
export type LossCause =
  | 'absent'
  | 'lease-lapsed'
  | 'worker-replaced'
  | 'successor-silent'
  | 'host-restarted';

/**
 * Longest list of runs that is logged one by one: a lost worker has tens of
 * them, and a data centre thousands.
 */
const MAX_LOGGED_RUNS = 64;

/** Logs each run with the cause, so that the name of its task leads to it. */
export function logRunsLost(
  log: Log,
  runs: readonly StartRow[],
  cause: LossCause,
): void {
  for (const [task, run, worker] of runs.slice(0, MAX_LOGGED_RUNS)) {
    log.info('run-lost', {task, run, worker, cause});
  }
}
