/** Weights of the four measures in the objective of the policies. */
import {z} from 'zod';

export const weightsSchema = z.object({
  bufferCost: z.number().nonnegative().default(1),
  rollOut: z.number().nonnegative().default(1),
  moves: z.number().nonnegative().default(1),
  shareNearness: z.number().nonnegative().default(1),
});
export type Weights = z.infer<typeof weightsSchema>;

/** Returns the fraction of `a` in `a + b`, or one half if both are 0. */
export function weightFraction(a: number, b: number): number {
  return a + b > 0 ? a / (a + b) : 0.5;
}
