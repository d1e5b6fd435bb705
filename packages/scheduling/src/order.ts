/** The order in which jobs get capacity. */
import {
  dueAtMs,
  isLasting,
  isStepDone,
  type Job,
  type Queue,
} from '@lentildrift/queue';
import {expectedMs, type Durations} from './estimate.js';

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
/** A job earns a little until this multiple of its objective. */
const LATE_FACTOR = 3;

/**
 * Jobs that can still meet their objective come first: of those that have
 * begun the most urgent, then of the others those with the most time left.
 * Under overload this finishes what was begun, and capacity is not spent on
 * jobs that are about to be late. Next come jobs that earn a little, the
 * shortest first, then the rest by age. Tasks that last come before all of
 * them, because they serve users all the time.
 */
export class DeadlineOrder extends JobOrder {
  override rank(input: OrderInput): number {
    const {job, occurrence, nowMs} = input;
    if (isLasting(job)) return -CLASS;
    const rest = pathMs(input, true);
    const dueMs = dueAtMs(job, occurrence);
    const allowedMs = objectiveMs(input);
    const slackMs = dueMs + allowedMs - nowMs - rest;
    if (slackMs >= -SLACK_TOLERANCE_MS) {
      return job.started ? slackMs - CLASS / 2 : -slackMs;
    }
    const lateMs = dueMs + LATE_FACTOR * allowedMs - nowMs - rest;
    if (lateMs >= 0) return CLASS + rest;
    return 2 * CLASS + Math.max(0, dueMs % CLASS);
  }
}

/** Expectations are too rough to give a job up at the exact millisecond. */
const SLACK_TOLERANCE_MS = 200;

/** Time from when an occurrence is due until its last task should end. */
export function objectiveMs(input: OrderInput): number {
  const {stretch, targetMs} = input.queue;
  return stretch * pathMs(input, false) + targetMs;
}

/** Longest chain of steps, or of those that are not completed. */
export function pathMs(input: OrderInput, remaining: boolean): number {
  const {job, queue, occurrence, durations} = input;
  const ends: number[] = [];
  let longest = 0;
  job.spec.steps.forEach((step, at) => {
    const begin = Math.max(0, ...step.after.map(other => ends[other] ?? 0));
    const skip = remaining && isStepDone(job, occurrence, at);
    const lasts = skip ? 0 : expectedMs(durations, queue.name, step);
    ends[at] = begin + lasts;
    longest = Math.max(longest, ends[at]);
  });
  return longest;
}
