/** Policies for the order in which jobs get capacity. */
import {
  dueAtMs,
  isLongRunning,
  isStepDone,
  type DurationStatistics,
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
  /**
   * The occurrence with the lowest rank comes first. `isOverloaded` tells
   * whether jobs of its pool have waited for room for too long, `isOnLentRoom`
   * whether its team is beyond its share there by this job.
   */
  abstract rank(
    input: OrderInput,
    isOverloaded?: boolean,
    isOnLentRoom?: boolean,
  ): number;
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
export const CLASS_SPACING = 1e9;
/**
 * A job counts as late once it is expected to exceed its objective by this
 * fraction of the objective. Expected durations are off by half on average, and
 * giving up a job that could be in time costs more than trying one that cannot.
 */
export const LATE_TOLERANCE = 0.5;

/**
 * Half of the tolerance after which a job counts as late. Jobs are accepted that
 * may exceed their objective by 0.3 of it, and must not be put off for good.
 */
const OVERDUE_TOLERANCE = LATE_TOLERANCE / 2;

/** Rank of a started job without slack in an overloaded pool. */
const STARTED_RANK = -CLASS_SPACING / 2;

/**
 * Long-running jobs precede all others, because they serve users all the time.
 * Next are the jobs that can meet their objective. Late jobs are last, the one
 * with the least remaining work first.
 *
 * Among the jobs that can meet their objective, the one with the least slack is
 * first: demand rises for seconds only, so most jobs with more slack can wait
 * for hosts that are being moved to the pool. In an overloaded pool this order
 * would have every job wait until it is late. There, jobs that have started are
 * completed, and then those with the most slack begin.
 */
export class DeadlineOrder extends JobOrder {
  override rank(input: OrderInput, isOverloaded = false): number {
    const {job} = input;
    if (isLongRunning(job)) return -CLASS_SPACING;
    const expectation = expectationOf(input);
    const {objectiveMs, slackMs} = scheduleOf(input, expectation);
    if (exceedsTolerance(slackMs, objectiveMs)) {
      expectation.workMs ??= computeWorkMs(input);
      return CLASS_SPACING + expectation.workMs;
    }
    if (!isOverloaded) return slackMs;
    return job.started ? STARTED_RANK + slackMs : -slackMs;
  }
}

/** Baseline: the least slack first in overloaded pools as well. */
export class LeastSlackOrder extends DeadlineOrder {
  override rank(input: OrderInput): number {
    return super.rank(input, false);
  }
}

/**
 * The objective of an occurrence, see `objectiveMs`, and its slack: time, in
 * milliseconds, between the expected end of the occurrence and its objective;
 * negative if the occurrence is expected to end after it.
 */
function scheduleOf(
  {job, queue, occurrence, nowMs}: OrderInput,
  expectation: Expectation,
): {objectiveMs: number; slackMs: number} {
  const objectiveMs = objectiveOf(queue, expectation);
  const endMs = dueAtMs(job, occurrence) + objectiveMs;
  const slackMs = endMs - nowMs - expectation.remainingPathMs;
  return {objectiveMs, slackMs};
}

function objectiveOf(
  {stretch, targetMs}: Queue,
  {wholePathMs}: Expectation,
): number {
  return stretch * wholePathMs + targetMs;
}

function exceedsTolerance(slackMs: number, objectiveMs: number): boolean {
  return slackMs < -LATE_TOLERANCE * objectiveMs;
}

/**
 * Whether an occurrence is expected to meet its objective: `late` if it is
 * expected to miss it by more than the tolerance, `overdue` if by more than half
 * of the tolerance.
 */
export type Punctuality = 'in-time' | 'overdue' | 'late';

export function punctualityOf(input: OrderInput): Punctuality {
  if (isLongRunning(input.job)) return 'in-time';
  const {slackMs, objectiveMs} = scheduleOf(input, expectationOf(input));
  if (slackMs >= -OVERDUE_TOLERANCE * objectiveMs) return 'in-time';
  return exceedsTolerance(slackMs, objectiveMs) ? 'late' : 'overdue';
}

export function isLate(input: OrderInput): boolean {
  return punctualityOf(input) === 'late';
}

/**
 * The objective of an occurrence: time, in milliseconds, from when the
 * occurrence is due until its last task should end.
 */
export function objectiveMs(input: OrderInput): number {
  return objectiveOf(input.queue, expectationOf(input));
}

/** Expected duration of the longest chain of steps that are not done. */
export function remainingPathMs(input: OrderInput): number {
  return expectationOf(input).remainingPathMs;
}

/** Expected remaining work of the occurrence, in core milliseconds. */
export function remainingWorkMs(input: OrderInput): number {
  const expectation = expectationOf(input);
  return (expectation.workMs ??= computeWorkMs(input));
}

/** What is known and expected of an occurrence that has an objective. */
export interface Outlook {
  /** Unix time from which its caller waits. */
  readonly dueAtMs: number;
  /** See `objectiveMs`. */
  readonly objectiveMs: number;
  /** See `remainingPathMs`. */
  readonly remainingPathMs: number;
  /** See `remainingWorkMs`. */
  readonly remainingWorkMs: number;
  /** Expected work of all its steps, in core milliseconds. */
  readonly wholeWorkMs: number;
}

/** Finds the expectations of the occurrence once for all of their values. */
export function outlookOf(input: OrderInput): Outlook {
  const expectation = expectationOf(input);
  return {
    dueAtMs: dueAtMs(input.job, input.occurrence),
    objectiveMs: objectiveOf(input.queue, expectation),
    remainingPathMs: expectation.remainingPathMs,
    remainingWorkMs: (expectation.workMs ??= computeWorkMs(input)),
    wholeWorkMs: (expectation.wholeWorkMs ??= computeWorkMs(input, false)),
  };
}

/** What is expected of one occurrence of a job. */
interface Expectation {
  /** Duration of the longest chain of dependent steps. */
  readonly wholePathMs: number;
  /** The same, with no time for completed steps. */
  readonly remainingPathMs: number;
  /** See `computeWorkMs`; undefined until it is needed. */
  workMs: number | undefined;
  /** The same for all steps. */
  wholeWorkMs: number | undefined;
}

/** The expectations of a job, with the statistics that they follow from. */
interface JobExpectations {
  byQueue: Durations['byQueue'];
  readonly queue: string;
  readonly statistics: DurationStatistics | undefined;
  readonly byOccurrence: Map<number, Expectation>;
}

/**
 * A job that waits is ranked in each round and each rebalancing, while neither
 * its record nor the statistics of its queue change in most of them.
 */
const expectationsByJob = new WeakMap<Job, JobExpectations>();

function expectationOf(input: OrderInput): Expectation {
  const {byOccurrence} = jobExpectations(input);
  let expectation = byOccurrence.get(input.occurrence);
  if (!expectation) {
    expectation = computeExpectation(input);
    byOccurrence.set(input.occurrence, expectation);
  }
  return expectation;
}

/** The expectations that follow from the current statistics. */
function jobExpectations({job, queue, durations}: OrderInput): JobExpectations {
  const {byQueue} = durations;
  const cached = expectationsByJob.get(job);
  if (cached?.queue === queue.name) {
    if (cached.byQueue === byQueue) return cached;
    if (cached.statistics === byQueue.get(queue.name)) {
      cached.byQueue = byQueue;
      return cached;
    }
  }
  const expectations: JobExpectations = {
    byQueue,
    queue: queue.name,
    statistics: byQueue.get(queue.name),
    byOccurrence: new Map(),
  };
  // The records of ended jobs are kept for minutes, and are not ranked any more.
  if (job.phase === 'active') expectationsByJob.set(job, expectations);
  return expectations;
}

function computeExpectation(input: OrderInput): Expectation {
  const {job, queue, occurrence, durations} = input;
  const durationsMs = job.spec.steps.map(step =>
    longestDurationMs(durations, queue.name, step),
  );
  const remainingMs = durationsMs.map((durationMs, stepIndex) =>
    isStepDone(job, occurrence, stepIndex) ? 0 : durationMs,
  );
  return {
    wholePathMs: longestPathMs(job, durationsMs),
    remainingPathMs: longestPathMs(job, remainingMs),
    workMs: undefined,
    wholeWorkMs: undefined,
  };
}

/**
 * Expected work of the occurrence, in core milliseconds, without that of
 * completed steps if only the remaining work counts.
 */
function computeWorkMs(input: OrderInput, isRemaining = true): number {
  const {job, queue, occurrence, durations} = input;
  let total = 0;
  job.spec.steps.forEach((step, stepIndex) => {
    if (isRemaining && isStepDone(job, occurrence, stepIndex)) return;
    const cores = step.size.cpuMillis / 1000;
    total +=
      step.count * cores * expectedDurationMs(durations, queue.name, step);
  });
  return total;
}

/** Length of the longest chain of dependent steps, given their durations. */
function longestPathMs(job: Job, durationsMs: readonly number[]): number {
  const endMs: number[] = [];
  let longest = 0;
  job.spec.steps.forEach((step, stepIndex) => {
    const startMs = Math.max(
      0,
      ...step.after.map(dependency => endMs[dependency] ?? 0),
    );
    endMs[stepIndex] = startMs + durationsMs[stepIndex]!;
    longest = Math.max(longest, endMs[stepIndex]);
  });
  return longest;
}
