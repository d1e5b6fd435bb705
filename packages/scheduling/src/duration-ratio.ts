/**
 * The distribution of task durations, as ratios to what is expected of them. It
 * tells how long a run is likely to go on that has exceeded its expectation.
 */

/** Decayed numbers of ratios by size, see `bucketOf`. */
export interface DurationRatios {
  readonly counts: readonly number[];
  readonly total: number;
}

/** Buckets for each doubling of the ratio. */
const BUCKETS_PER_DOUBLING = 4;
/** Powers of two at both ends; ratios beyond join the outermost buckets. */
const MIN_EXPONENT = -3;
const MAX_EXPONENT = 6;
const BUCKET_COUNT = (MAX_EXPONENT - MIN_EXPONENT) * BUCKETS_PER_DOUBLING;
/** At this number all counts are halved, so that the latest ones prevail. */
const MAX_TOTAL = 2000;
/** Weight of the prior distribution, as a number of ratios. */
const PRIOR_COUNT = 8;
/**
 * Share of all ratios that is assumed above any ratio, so that nothing counts as
 * impossible that has not been seen yet.
 */
const MIN_SHARE = 0.001;
/**
 * Share of the elapsed time by which a run is expected to go on that has lasted
 * longer than any run before it: as long again, as with a Pareto distribution
 * whose mean is finite and whose variance is not.
 */
const OPEN_END_SHARE = 1;

function bucketOf(ratio: number): number {
  const exponent = Math.log2(Math.max(ratio, Number.MIN_VALUE));
  const position = (exponent - MIN_EXPONENT) * BUCKETS_PER_DOUBLING;
  return Math.min(BUCKET_COUNT - 1, Math.max(0, Math.floor(position)));
}

/** The lowest ratio of a bucket. */
function boundOf(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_DOUBLING + MIN_EXPONENT);
}

/** The geometric mean of the bounds of a bucket. */
function centreOf(bucket: number): number {
  return boundOf(bucket + 0.5);
}

/**
 * A lognormal distribution around 1 with this standard deviation of the
 * logarithm, for durations without history.
 */
export function createPriorRatios(deviation: number): DurationRatios {
  const weights = Array.from({length: BUCKET_COUNT}, (_, bucket) =>
    Math.exp(-((Math.log(centreOf(bucket)) / deviation) ** 2) / 2),
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const counts = weights.map(weight => (PRIOR_COUNT * weight) / sum);
  return {counts, total: PRIOR_COUNT};
}

/** Returns the distribution updated with one ratio, which is above 0. */
export function recordRatio(
  {counts, total}: DurationRatios,
  ratio: number,
): DurationRatios {
  const scale = total >= MAX_TOTAL ? 0.5 : 1;
  const bucket = bucketOf(ratio);
  return {
    counts: counts.map((count, at) => scale * count + (at === bucket ? 1 : 0)),
    total: scale * total + 1,
  };
}

/** Share of a bucket that lies above a ratio. */
function shareAbove(bucket: number, ratio: number): number {
  if (ratio <= boundOf(bucket)) return 1;
  const doublings = Math.log2(boundOf(bucket + 1) / ratio);
  return Math.max(0, doublings * BUCKETS_PER_DOUBLING);
}

/** Likelihood that a ratio is above `ratio`; never 0. */
export function likelihoodAbove(
  {counts, total}: DurationRatios,
  ratio: number,
): number {
  let sum = 0;
  const first = bucketOf(ratio);
  for (let bucket = first; bucket < BUCKET_COUNT; bucket++) {
    sum += counts[bucket]! * shareAbove(bucket, ratio);
  }
  return Math.max(MIN_SHARE, sum / total);
}

/** Likelihood that a ratio lies in the bucket of `ratio`; never 0. */
export function likelihoodOf(
  {counts, total}: DurationRatios,
  ratio: number,
): number {
  return Math.max(MIN_SHARE, counts[bucketOf(ratio)]! / total);
}

/** Expected ratio of a run, given that it is above `elapsed` (0 for any run). */
export function expectedRatio(
  {counts, total}: DurationRatios,
  elapsed: number,
): number {
  let weight = MIN_SHARE * total;
  let sum = weight * (1 + OPEN_END_SHARE) * elapsed;
  for (let bucket = bucketOf(elapsed); bucket < BUCKET_COUNT; bucket++) {
    const count = counts[bucket]! * shareAbove(bucket, elapsed);
    weight += count;
    sum += count * Math.max(elapsed, centreOf(bucket));
  }
  return sum / weight;
}
