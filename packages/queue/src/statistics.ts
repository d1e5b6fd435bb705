/** Statistics of the durations of a queue's tasks. */
import {z} from 'zod';

/** All means and variances are of natural logarithms of milliseconds. */
export const DurationStatistics = z.object({
  queue: z.string(),
  /** Number of durations that the statistics are based on, up to a limit. */
  count: z.int().nonnegative(),
  /** Mean of the logarithms of the durations. */
  mean: z.number(),
  /** Mean squared deviation of the logarithms from `mean`. */
  variance: z.number().nonnegative(),
  /** Mean squared error of the submitters' estimates. */
  estimateError: z.number().nonnegative(),
  /** Mean squared deviation between the tasks of one step. */
  stepVariance: z.number().nonnegative(),
});
export type DurationStatistics = z.infer<typeof DurationStatistics>;
