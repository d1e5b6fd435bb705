/** Recorded calls by time, which entry hosts send to control. */
import {z} from 'zod';

export const BUCKET_MS = 30_000;
export const LONG_WINDOW_MS = 60 * 60 * 1000;
/** Buckets that the long window needs. */
export const BUCKETS_KEPT = LONG_WINDOW_MS / BUCKET_MS;

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
  buckets: z.array(burnBucketSchema).max(BUCKETS_KEPT),
});
export type BurnSeries = z.infer<typeof burnSeriesSchema>;
