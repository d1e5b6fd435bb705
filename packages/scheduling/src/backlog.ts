/** The jobs with tasks that wait for workers. */
import {
  isLongRunning,
  occurrenceCount,
  type Job,
  type State,
} from '@lentildrift/queue';
import {createSequenceList, type UpdateEntry} from './sequence-list.js';

export interface Backlog {
  /**
   * Active jobs with a task that has neither a run nor ended, in the order in
   * which the jobs were accepted. The task may not be due yet, or wait for
   * other steps.
   */
  readonly waitingJobs: readonly Job[];
  /**
   * Jobs that count for the inflow of work and were accepted after `sinceMs`,
   * which must be no more than `RECENT_MS` below that of an earlier call.
   */
  recentJobs(sinceMs: number): Iterable<Job>;
}

/** Time for which jobs are kept that a reader was the first not to ask for. */
const RECENT_MS = 5000;

/** Whether the job has a task that has neither a run nor ended. */
export function hasWaitingTask(job: Job): boolean {
  if (job.phase !== 'active') return false;
  let count = 0;
  for (const step of job.spec.steps) count += step.count;
  count *= occurrenceCount(job.spec);
  for (const key in job.done) count -= job.done[key]!;
  for (const key in job.tasks) {
    const {done, runs} = job.tasks[key]!;
    if (!done && runs.length > 0) count--;
  }
  return count > 0;
}

/** Whether the job counts for the inflow: neither scheduled nor long-running. */
export function isInflow(job: Job): boolean {
  return !job.spec.schedule && !isLongRunning(job);
}

/**
 * Collects the backlog of all jobs. `createBacklogIndex` keeps the same values
 * up to date at the cost of the jobs that change.
 */
export function measureBacklog(state: State): Backlog {
  const jobs = state.jobs.values();
  return {
    waitingJobs: jobs.filter(hasWaitingTask),
    recentJobs: sinceMs =>
      jobs.filter(job => isInflow(job) && job.acceptedAtMs > sinceMs),
  };
}

export interface BacklogIndex {
  /** The current backlog; later updates change it. */
  readonly backlog: Backlog;
  readonly update: UpdateEntry<Job>;
}

export function createBacklogIndex(): BacklogIndex {
  const waiting = createSequenceList<Job>();
  /** Jobs that were recent at the last call of `recentJobs`, by ID. */
  const recent = new Map<string, Job>();
  let oldestMs = -Infinity;
  return {
    backlog: {
      waitingJobs: waiting.items,
      recentJobs(sinceMs) {
        oldestMs = sinceMs - RECENT_MS;
        const later: Job[] = [];
        for (const [id, job] of recent) {
          if (job.acceptedAtMs <= oldestMs) recent.delete(id);
          else if (job.acceptedAtMs > sinceMs) later.push(job);
        }
        return later;
      },
    },
    update(before, after) {
      if (!after) {
        waiting.delete(before!.sequence);
        recent.delete(before!.key);
        return;
      }
      const {key, value: job, sequence} = after;
      if (hasWaitingTask(job)) waiting.set(sequence, job);
      else waiting.delete(sequence);
      if (isInflow(job) && job.acceptedAtMs > oldestMs) recent.set(key, job);
    },
  };
}
