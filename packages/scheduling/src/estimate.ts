/**
 * Expected durations of tasks. Submitters' estimates are far off, so what the
 * tasks of a queue took counts more; both are combined as logarithms, since
 * the errors are factors.
 */
import type {Step} from '@lentildrift/queue';

export interface Durations {
  /** Mean of the natural logarithms of milliseconds, by queue. */
  readonly byQueue: ReadonlyMap<string, {mean: number; count: number}>;
}

export const NO_DURATIONS: Durations = {byQueue: new Map()};

/** Assumed for a step without an estimate in a queue without history. */
const DEFAULT_DURATION_MS = 1000;
/** Weight of the queue's history beside the submitter's estimate. */
const HISTORY_WEIGHT = 0.75;
/** The mean follows about this many of the latest durations. */
const MEMORY = 200;

/** Takes the duration of a task that ended well. */
export function learn(
  durations: Durations,
  queue: string,
  durationMs: number,
): Durations {
  const known = durations.byQueue.get(queue) ?? {mean: 0, count: 0};
  const count = Math.min(known.count + 1, MEMORY);
  const sample = Math.log(Math.max(1, durationMs));
  const mean = known.mean + (sample - known.mean) / count;
  const byQueue = new Map(durations.byQueue).set(queue, {mean, count});
  return {byQueue};
}

/** Expected duration of one task of the step, in milliseconds. */
export function expectedMs(
  durations: Durations,
  queue: string,
  step: Step,
): number {
  const known = durations.byQueue.get(queue);
  const estimateMs = step.estimateMs || DEFAULT_DURATION_MS;
  if (!known) return estimateMs;
  const weight = step.estimateMs > 0 ? HISTORY_WEIGHT : 1;
  return Math.exp(weight * known.mean + (1 - weight) * Math.log(estimateMs));
}
