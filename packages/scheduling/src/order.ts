/** The order in which jobs get capacity. */
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

export abstract class JobOrder {
  /** The lowest number comes first. */
  abstract rank(input: OrderInput): number;
}

/** Baseline: first come, first served. */
export class ArrivalOrder extends JobOrder {
  override rank({job, occurrence}: OrderInput): number {
    return dueAtMs(job, occurrence);
  }
}

/** Spacing of classes; larger than any time within one. */
const CLASS = 1e9;
/**
 * A job counts as late once it is expected to miss its objective by this part
 * of it. Expectations are off by half on average, and to give a job up that
 * could be in time costs more than to try one that cannot.
 */
const TOLERANCE = 0.5;

/**
 * Tasks that last come first, because they serve users all the time. Then come
 * jobs that can meet their objective, those with the least time left first:
 * demand rises for seconds only, so that most of the others can wait for
 * hosts that are on their way. Late jobs follow, the shortest work first.
 */
export class DeadlineOrder extends JobOrder {
  override rank(input: OrderInput): number {
    if (isLongRunning(input.job)) return -CLASS;
    return isLate(input) ? CLASS + workMs(input) : slackMs(input);
  }
}

/** Time that is left when all goes as expected; negative if it will be late. */
function slackMs(input: OrderInput): number {
  const {job, occurrence, nowMs} = input;
  const endMs = dueAtMs(job, occurrence) + objectiveMs(input);
  return endMs - nowMs - criticalPathMs(input, true);
}

/** Whether the occurrence can hardly meet its objective any more. */
export function isLate(input: OrderInput): boolean {
  if (isLongRunning(input.job)) return false;
  return slackMs(input) < -TOLERANCE * objectiveMs(input);
}

/** Milliseconds of a core that the occurrence still takes. */
function workMs({job, queue, occurrence, durations}: OrderInput): number {
  let total = 0;
  job.spec.steps.forEach((step, at) => {
    if (isStepDone(job, occurrence, at)) return;
    const cores = step.size.cpuMillis / 1000;
    total +=
      step.count * cores * expectedDurationMs(durations, queue.name, step);
  });
  return total;
}

/** Time from when an occurrence is due until its last task should end. */
export function objectiveMs(input: OrderInput): number {
  const {stretch, targetMs} = input.queue;
  return stretch * criticalPathMs(input, false) + targetMs;
}

/** Longest chain of steps, or of those that are not completed. */
export function criticalPathMs(input: OrderInput, remaining: boolean): number {
  const {job, queue, occurrence, durations} = input;
  const ends: number[] = [];
  let longest = 0;
  job.spec.steps.forEach((step, at) => {
    const begin = Math.max(0, ...step.after.map(other => ends[other] ?? 0));
    const skip = remaining && isStepDone(job, occurrence, at);
    const lasts = skip ? 0 : longestDurationMs(durations, queue.name, step);
    ends[at] = begin + lasts;
    longest = Math.max(longest, ends[at]);
  });
  return longest;
}
