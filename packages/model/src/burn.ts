/** Recorded calls by time, which entry hosts send to control. */
import {z} from 'zod';

export const BURN_BUCKET_MS = 30_000;
export const LONG_BURN_WINDOW_MS = 60 * 60 * 1000;
/** Buckets that the long window needs. */
export const MAX_BURN_BUCKETS = LONG_BURN_WINDOW_MS / BURN_BUCKET_MS;

const count = z.number().int().nonnegative();

export const burnBucketSchema = z.object({
  /** Wall-clock start of the bucket, in milliseconds. */
  startMs: count,
  good: count,
  bad: count,
});
export type BurnBucket = z.infer<typeof burnBucketSchema>;

/** Recorded calls of one route and team. */
export const burnSeriesSchema = z.object({
  route: z.string(),
  team: z.string(),
  buckets: z.array(burnBucketSchema).max(MAX_BURN_BUCKETS),
});
export type BurnSeries = z.infer<typeof burnSeriesSchema>;
