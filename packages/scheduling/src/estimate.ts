/**
 * Expected durations of tasks. Both the submitters' estimates and the mean of a
 * queue can be far off, so the two are weighted by their past errors. All
 * statistics use logarithms of durations, because the errors are factors.
 */
import {
  PersistentMap,
  type DurationStatistics,
  type Step,
} from '@lentildrift/queue';

/** Statistics of task durations, from which durations are predicted. */
export interface Durations {
  readonly byQueue: PersistentMap<DurationStatistics>;
  readonly lastInStep: StepDurations;
}

/**
 * Logarithm of the latest duration in each of the latest steps, by step name.
 * When `recent` is full, it becomes `earlier`, and what `earlier` held is
 * dropped. Finding the oldest single entry instead would take a walk of the
 * whole map at the end of almost every task.
 */
export interface StepDurations {
  readonly recent: PersistentMap<number>;
  readonly earlier: PersistentMap<number>;
}

export const NO_DURATIONS: Durations = {
  byQueue: PersistentMap.empty(),
  lastInStep: {recent: PersistentMap.empty(), earlier: PersistentMap.empty()},
};

/**
 * Expected duration of a step without an estimate in a queue without history.
 */
const DEFAULT_DURATION_MS = 1000;
/** The means reflect about this many of the latest durations. */
const MAX_COUNT = 200;
/** Number of steps whose latest duration is remembered at least. */
const MIN_REMEMBERED_STEPS = 250;
/**
 * Assumptions for a queue without history: durations within a queue differ by a
 * factor of 1.6, estimates are off by a factor of 2 and durations within one
 * step differ by a factor of 1.3.
 */
const PRIOR_STATISTICS = {
  count: 0,
  mean: 0,
  variance: 0.25,
  estimateError: 0.5,
  stepVariance: 0.07,
};
/** Weight of the assumptions, as a number of durations. */
const PRIOR_COUNT = 8;

/** Starts from stored statistics, such as those of an earlier leader. */
export function createDurations(rows: Iterable<DurationStatistics>): Durations {
  const byQueue = PersistentMap.from(
    [...rows].map(row => [row.queue, row] as const),
  );
  return {...NO_DURATIONS, byQueue};
}

/** The duration of a task that completed. */
export interface DurationSample {
  readonly queue: string;
  /** Name of the step that the task belongs to. */
  readonly stepName: string;
  readonly step: Step;
  readonly durationMs: number;
}

/** Returns the statistics updated with one duration. */
export function recordDuration(
  durations: Durations,
  sample: DurationSample,
): Durations {
  const {queue, stepName, step} = sample;
  const logDuration = Math.log(Math.max(1, sample.durationMs));
  const current = durations.byQueue.get(queue) ?? {queue, ...PRIOR_STATISTICS};
  const count = Math.min(current.count + 1, MAX_COUNT);
  const updateMean = (mean: number, next: number) =>
    mean + (next - mean) / (count + PRIOR_COUNT);
  const mean = current.mean + (logDuration - current.mean) / count;
  const deviation = current.count === 0 ? 0 : (logDuration - current.mean) ** 2;
  const {recent, earlier} = durations.lastInStep;
  const lastLogDuration = recent.get(stepName) ?? earlier.get(stepName);
  const squaredError =
    step.estimateMs > 0
      ? (logDuration - Math.log(step.estimateMs)) ** 2
      : undefined;
  const next: DurationStatistics = {
    queue,
    count,
    mean,
    variance: updateMean(current.variance, deviation),
    estimateError:
      squaredError === undefined
        ? current.estimateError
        : updateMean(current.estimateError, squaredError),
    stepVariance:
      lastLogDuration === undefined
        ? current.stepVariance
        : // The squared difference of two values averages twice their variance.
          updateMean(
            current.stepVariance,
            (logDuration - lastLogDuration) ** 2 / 2,
          ),
  };
  return {
    byQueue: withEntry(durations.byQueue, queue, next),
    lastInStep: rememberDuration(durations.lastInStep, stepName, logDuration),
  };
}

/** Stores the latest value of a step. */
function rememberDuration(
  {recent, earlier}: StepDurations,
  stepName: string,
  value: number,
): StepDurations {
  if (recent.size < MIN_REMEMBERED_STEPS || recent.has(stepName)) {
    return {recent: withEntry(recent, stepName, value), earlier};
  }
  const next = withEntry(PersistentMap.empty<number>(), stepName, value);
  return {recent: next, earlier: recent};
}

function withEntry<V>(
  map: PersistentMap<V>,
  key: string,
  value: V,
): PersistentMap<V> {
  const editor = map.edit();
  editor.set(key, value);
  return editor.finish();
}

/** Expected duration of one task of the step, in milliseconds. */
export function expectedDurationMs(
  {byQueue}: Durations,
  queue: string,
  {estimateMs}: Step,
): number {
  const current = byQueue.get(queue);
  if (!current) return estimateMs || DEFAULT_DURATION_MS;
  if (estimateMs <= 0) return Math.exp(current.mean);
  const {variance, estimateError} = current;
  const weight = variance / (variance + estimateError);
  return Math.exp((1 - weight) * current.mean + weight * Math.log(estimateMs));
}

/** Expected duration of the longest task of the step, in milliseconds. */
export function longestDurationMs(
  durations: Durations,
  queue: string,
  step: Step,
): number {
  const {stepVariance} = durations.byQueue.get(queue) ?? PRIOR_STATISTICS;
  const deviation =
    Math.sqrt(stepVariance) * expectedLargestDeviate(step.count);
  return expectedDurationMs(durations, queue, step) * Math.exp(deviation);
}

/**
 * Approximates the expected maximum of `count` standard normal deviates. The
 * error is within 0.05 for a count of up to 30.
 */
function expectedLargestDeviate(count: number): number {
  return Math.max(0, Math.sqrt(2 * Math.log(count)) - 0.6);
}
