/** Sessions of entry hosts, and the slices of team limits that they hold. */
import {z} from 'zod';

export const sessionSchema = z.object({
  id: z.string(),
  entryHost: z.string(),
  phase: z.enum(['open', 'closed']),
  closedAtMs: z.number().optional(),
});
export type Session = z.infer<typeof sessionSchema>;

export const sliceSchema = z.object({
  /** Running calls that the session may admit for the team. */
  amount: z.number().int().nonnegative(),
  /** Grows with every change, so that an older grant is told from a newer. */
  generation: z.number().int().nonnegative(),
});
export type Slice = z.infer<typeof sliceSchema>;

export const slicesSchema = z.record(
  z.string(),
  z.record(z.string(), sliceSchema),
);
/** Team, then session ID, to slice. */
export type Slices = z.infer<typeof slicesSchema>;

/** Sum of a team's slices over all sessions that have not ended. */
export function sliceTotal(slices: Slices, team: string): number {
  const held = slices[team];
  if (!held) return 0;
  return Object.values(held).reduce((sum, slice) => sum + slice.amount, 0);
}
