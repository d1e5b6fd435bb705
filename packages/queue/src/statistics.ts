/** What was learnt of the durations of a queue's tasks. */
import {z} from 'zod';

/** Logarithms are natural, of milliseconds. */
export const DurationStatistics = z.object({
  queue: z.string(),
  /** Durations that went into the means, up to a limit. */
  count: z.int().nonnegative(),
  /** Mean of the logarithms. */
  mean: z.number(),
  /** Mean square of their deviations from the mean. */
  variance: z.number().nonnegative(),
  /** Mean square of the errors of submitters' estimates. */
  estimateError: z.number().nonnegative(),
  /** Mean square of the deviations between tasks of one step. */
  stepVariance: z.number().nonnegative(),
});
export type DurationStatistics = z.infer<typeof DurationStatistics>;
