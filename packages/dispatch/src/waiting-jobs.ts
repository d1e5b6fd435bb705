/** Counts the jobs that wait for their first start, by queue. */
import {
  PersistentMap,
  visitDifferences,
  type Job,
  type State,
} from '@lentildrift/queue';

/** Returns the number of active jobs of a queue of which no task has started. */
export type CountWaitingJobs = (jobs: State['jobs'], queue: string) => number;

/**
 * The numbers are kept from one call to the next, which costs what differs
 * between the jobs of the two. Callers ask for each queue again and again, and a
 * walk of all jobs for each answer would take much of the leader's time.
 */
export function createWaitingJobCounter(): CountWaitingJobs {
  let counted: State['jobs'] = PersistentMap.empty();
  const byQueue = new Map<string, number>();

  function add(job: Job | undefined, amount: number): void {
    if (!job || job.phase !== 'active' || job.started) return;
    const {queue} = job.spec;
    const count = (byQueue.get(queue) ?? 0) + amount;
    if (count === 0) byQueue.delete(queue);
    else byQueue.set(queue, count);
  }

  return (jobs, queue) => {
    visitDifferences(counted, jobs, (before, after) => {
      add(before?.value, -1);
      add(after?.value, 1);
    });
    counted = jobs;
    return byQueue.get(queue) ?? 0;
  };
}
