/** Policies for the order in which jobs get capacity. */
import {
  dueAtMs,
  isLongRunning,
  isStepDone,
  type Job,
  type Queue,
} from '@lentildrift/queue';
import {
  expectedDurationMs,
  longestDurationMs,
  type Durations,
} from './estimate.js';

export interface OrderInput {
  readonly job: Job;
  readonly queue: Queue;
  readonly occurrence: number;
  readonly nowMs: number;
  readonly durations: Durations;
}

/** Ranks the occurrences of jobs. */
export abstract class JobOrder {
  /** The occurrence with the lowest rank comes first. */
  abstract rank(input: OrderInput): number;
}

/**
 * Baseline: first come, first served, by the time at which an occurrence is
 * due.
 */
export class ArrivalOrder extends JobOrder {
  override rank({job, occurrence}: OrderInput): number {
    return dueAtMs(job, occurrence);
  }
}

/**
 * Distance between the ranks of two classes of jobs; larger than any rank
 * within a class.
 */
const CLASS_SPACING = 1e9;
/**
 * A job counts as late once it is expected to exceed its objective by this
 * fraction of the objective. Expected durations are off by half on average, and
 * giving up a job that could be in time costs more than trying one that cannot.
 */
const LATE_TOLERANCE = 0.5;

/**
 * Least slack first. Long-running jobs precede all others, because they serve
 * users all the time. Next are the jobs that can meet their objective, in order
 * of their slack: demand rises for seconds only, so most jobs with more slack
 * can wait for hosts that are being moved to the pool. Late jobs are last, the
 * one with the least remaining work first.
 */
export class DeadlineOrder extends JobOrder {
  override rank(input: OrderInput): number {
    if (isLongRunning(input.job)) return -CLASS_SPACING;
    return isLate(input) ? CLASS_SPACING + workMs(input) : slackMs(input);
  }
}

/**
 * Time, in milliseconds, between the expected end of the occurrence and its
 * objective; negative if the occurrence is expected to end after it.
 */
function slackMs(input: OrderInput): number {
  const {job, occurrence, nowMs} = input;
  const endMs = dueAtMs(job, occurrence) + objectiveMs(input);
  return endMs - nowMs - criticalPathMs(input, true);
}

/**
 * Whether the occurrence is expected to miss its objective by more than the
 * tolerance.
 */
export function isLate(input: OrderInput): boolean {
  if (isLongRunning(input.job)) return false;
  return slackMs(input) < -LATE_TOLERANCE * objectiveMs(input);
}

/** Expected remaining work of the occurrence, in core milliseconds. */
function workMs({job, queue, occurrence, durations}: OrderInput): number {
  let total = 0;
  job.spec.steps.forEach((step, stepIndex) => {
    if (isStepDone(job, occurrence, stepIndex)) return;
    const cores = step.size.cpuMillis / 1000;
    total +=
      step.count * cores * expectedDurationMs(durations, queue.name, step);
  });
  return total;
}

/**
 * The objective of an occurrence: time, in milliseconds, from when the
 * occurrence is due until its last task should end.
 */
export function objectiveMs(input: OrderInput): number {
  const {stretch, targetMs} = input.queue;
  return stretch * criticalPathMs(input, false) + targetMs;
}

/**
 * Expected duration, in milliseconds, of the longest chain of dependent steps.
 * With `remaining`, completed steps do not count.
 */
export function criticalPathMs(input: OrderInput, remaining: boolean): number {
  const {job, queue, occurrence, durations} = input;
  const endMs: number[] = [];
  let longest = 0;
  job.spec.steps.forEach((step, stepIndex) => {
    const startMs = Math.max(
      0,
      ...step.after.map(dependency => endMs[dependency] ?? 0),
    );
    const isExcluded = remaining && isStepDone(job, occurrence, stepIndex);
    const durationMs = isExcluded
      ? 0
      : longestDurationMs(durations, queue.name, step);
    endMs[stepIndex] = startMs + durationMs;
    longest = Math.max(longest, endMs[stepIndex]);
  });
  return longest;
}
