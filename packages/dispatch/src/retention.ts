/** Decides when jobs that have ended are removed from the state. */
import {
  PersistentMap,
  visitDifferences,
  type Job,
  type State,
} from '@lentildrift/queue';
import {JOB_RETENTION_MS} from './timing.js';

export interface Retention {
  /** Notes that a job has ended; returns false if this was known. */
  recordEnd(job: string): boolean;
  /**
   * Returns the jobs without runs that ended some time ago. Until then they are
   * kept for callers that still ask for their outcome. A job that is still in
   * the state after another such time is returned again. At most
   * `MAX_EXPIRED_JOBS` are returned at once, and the others by later calls.
   */
  listExpired(state: State): string[];
}

/**
 * All jobs that ended before a change of leader expire at the same time, and
 * their removal takes one turn of the event loop. At one call each 100 ms this
 * removes 2,000 jobs a second.
 */
const MAX_EXPIRED_JOBS = 200;

/** Whether the job has ended and all of its runs have. */
function isOver({phase, tasks}: Job): boolean {
  return phase !== 'active' && Object.keys(tasks).length === 0;
}

export function createRetention(): Retention {
  /**
   * Monotonic time at which this leader saw the job ended, by job ID; the
   * earliest is the first.
   */
  const endedMs = new Map<string, number>();
  let seenJobs: State['jobs'] = PersistentMap.empty();

  function recordEnd(job: string): boolean {
    if (endedMs.has(job)) return false;
    endedMs.set(job, performance.now());
    return true;
  }

  return {
    recordEnd,
    listExpired({jobs}) {
      visitDifferences(seenJobs, jobs, (before, after) => {
        if (!after) endedMs.delete(before!.key);
        else if (isOver(after.value)) recordEnd(after.key);
      });
      seenJobs = jobs;
      const nowMs = performance.now();
      const expired: string[] = [];
      for (const [id, sinceMs] of endedMs) {
        if (nowMs - sinceMs <= JOB_RETENTION_MS) break;
        if (expired.length === MAX_EXPIRED_JOBS) break;
        const job = jobs.get(id);
        if (job && isOver(job)) expired.push(id);
      }
      for (const id of expired) {
        endedMs.delete(id);
        endedMs.set(id, nowMs);
      }
      return expired;
    },
  };
}
