/**
 * Good and bad calls counted by time, from which the burn rate of an error
 * budget is computed. Entry hosts send them to the control hosts.
 */
import {z} from 'zod';

/** Time that one bucket covers, in milliseconds. */
export const BURN_BUCKET_MS = 30_000;
/** Longer window over which the burn rate is computed, in milliseconds. */
export const LONG_BURN_WINDOW_MS = 60 * 60 * 1000;
/** Number of buckets that cover the long window. */
export const MAX_BURN_BUCKETS = LONG_BURN_WINDOW_MS / BURN_BUCKET_MS;

const count = z.number().int().nonnegative();

export const burnBucketSchema = z.object({
  /** Wall-clock start of the bucket, in milliseconds. */
  startMs: count,
  good: count,
  bad: count,
});
export type BurnBucket = z.infer<typeof burnBucketSchema>;

/** Counted calls of one route and team. */
export const burnSeriesSchema = z.object({
  route: z.string(),
  team: z.string(),
  buckets: z.array(burnBucketSchema).max(MAX_BURN_BUCKETS),
});
export type BurnSeries = z.infer<typeof burnSeriesSchema>;
