/**
 * Expected durations of tasks. Submitters' estimates are far off, and so may
 * be the mean of a queue; the two are weighed by how far off they have been.
 * All of it is done with logarithms, since the errors are factors.
 */
import type {DurationStatistics, Step} from '@lentildrift/queue';

export interface Durations {
  readonly byQueue: ReadonlyMap<string, DurationStatistics>;
  /** Logarithm of the last duration in a step, by step name. */
  readonly lastInStep: ReadonlyMap<string, number>;
}

export const NO_DURATIONS: Durations = {
  byQueue: new Map(),
  lastInStep: new Map(),
};

/** Assumed for a step without an estimate in a queue without history. */
const DEFAULT_DURATION_MS = 1000;
/** The means follow about this many of the latest durations. */
const MEMORY = 200;
/** Steps whose last duration is remembered. */
const MAX_STEPS = 500;
/**
 * Assumed before anything was learnt: durations within a queue differ by a
 * factor of 1.6, estimates are off by a factor of 2 and tasks of one step
 * differ by a factor of 1.3.
 */
const NOTHING_LEARNT = {
  count: 0,
  mean: 0,
  variance: 0.25,
  estimateError: 0.5,
  stepVariance: 0.07,
};
/** The assumptions count as much as this many durations. */
const PRIOR_COUNT = 8;

export function createDurations(rows: Iterable<DurationStatistics>): Durations {
  const byQueue = new Map([...rows].map(row => [row.queue, row]));
  return {...NO_DURATIONS, byQueue};
}

/** A task that ended well. */
export interface DurationSample {
  readonly queue: string;
  /** Name of the step that it belongs to. */
  readonly stepName: string;
  readonly step: Step;
  readonly durationMs: number;
}

export function recordDuration(
  durations: Durations,
  sample: DurationSample,
): Durations {
  const {queue, stepName, step} = sample;
  const value = Math.log(Math.max(1, sample.durationMs));
  const known = durations.byQueue.get(queue) ?? {queue, ...NOTHING_LEARNT};
  const count = Math.min(known.count + 1, MEMORY);
  const follow = (mean: number, next: number) =>
    mean + (next - mean) / (count + PRIOR_COUNT);
  const mean = known.mean + (value - known.mean) / count;
  const deviation = known.count === 0 ? 0 : (value - known.mean) ** 2;
  const last = durations.lastInStep.get(stepName);
  const error =
    step.estimateMs > 0 ? (value - Math.log(step.estimateMs)) ** 2 : undefined;
  const next: DurationStatistics = {
    queue,
    count,
    mean,
    variance: follow(known.variance, deviation),
    estimateError:
      error === undefined
        ? known.estimateError
        : follow(known.estimateError, error),
    stepVariance:
      last === undefined
        ? known.stepVariance
        : // Two values around one mean differ by twice their variance.
          follow(known.stepVariance, (value - last) ** 2 / 2),
  };
  return {
    byQueue: new Map(durations.byQueue).set(queue, next),
    lastInStep: remember(durations.lastInStep, stepName, value),
  };
}

function remember(
  known: ReadonlyMap<string, number>,
  key: string,
  value: number,
): ReadonlyMap<string, number> {
  const next = new Map(known);
  next.delete(key);
  next.set(key, value);
  if (next.size > MAX_STEPS) next.delete(next.keys().next().value!);
  return next;
}

/** Expected duration of one task of the step, in milliseconds. */
export function expectedDurationMs(
  {byQueue}: Durations,
  queue: string,
  {estimateMs}: Step,
): number {
  const known = byQueue.get(queue);
  if (!known) return estimateMs || DEFAULT_DURATION_MS;
  if (estimateMs <= 0) return Math.exp(known.mean);
  const {variance, estimateError} = known;
  const weight = variance / (variance + estimateError);
  return Math.exp((1 - weight) * known.mean + weight * Math.log(estimateMs));
}

/** Expected duration of the longest task of the step, in milliseconds. */
export function longestDurationMs(
  durations: Durations,
  queue: string,
  step: Step,
): number {
  const {stepVariance} = durations.byQueue.get(queue) ?? NOTHING_LEARNT;
  const longest = Math.sqrt(stepVariance) * largestOf(step.count);
  return expectedDurationMs(durations, queue, step) * Math.exp(longest);
}

/** Expected largest of so many normal deviates, within 0.05 up to 30. */
function largestOf(count: number): number {
  return Math.max(0, Math.sqrt(2 * Math.log(count)) - 0.6);
}
