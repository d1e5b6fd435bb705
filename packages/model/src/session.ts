/** Sessions of entry hosts, and the slices of teams' limits that they hold. */
import {z} from 'zod';

export const sessionSchema = z.object({
  id: z.string(),
  entryHost: z.string(),
  phase: z.enum(['open', 'closed']),
  closedAtMs: z.number().optional(),
});
export type Session = z.infer<typeof sessionSchema>;

export const sliceSchema = z.object({
  /** Number of running calls that the session may have for the team. */
  amount: z.number().int().nonnegative(),
  /**
   * Reduced number of running calls, set when the team's limit was lowered
   * below the sum of its slices.
   */
  ceiling: z.number().int().nonnegative().optional(),
  /** Increases with every change, so that older grants can be recognised. */
  generation: z.number().int().nonnegative(),
});
export type Slice = z.infer<typeof sliceSchema>;

export const slicesSchema = z.record(
  z.string(),
  z.record(z.string(), sliceSchema),
);
/** Maps team, then session ID, to slice. */
export type Slices = z.infer<typeof slicesSchema>;

/** Returns the number of running calls that the holder of a slice may have. */
export function ceilingOf(slice: Slice): number {
  return slice.ceiling ?? slice.amount;
}

/**
 * Puts ceilings on the slices of a team whose limit is lowered. Ceilings are
 * proportional to the slices and rounded down, so that the holders keep the
 * new limit without coordinating. The amounts stay until the holders have
 * confirmed the change.
 */
export function capSlices(
  slicesBySession: Readonly<Record<string, Slice>>,
  limit: number,
): Record<string, Slice> {
  const slices = Object.values(slicesBySession);
  const total = slices.reduce((sum, slice) => sum + ceilingOf(slice), 0);
  if (total <= limit) return slicesBySession;
  return Object.fromEntries(
    Object.entries(slicesBySession).map(([session, slice]) => [
      session,
      {
        amount: slice.amount,
        ceiling: Math.floor((ceilingOf(slice) * limit) / total),
        generation: slice.generation + 1,
      },
    ]),
  );
}

/** Returns the sum of a team's slices over all sessions that have not ended. */
export function sliceTotal(slices: Slices, team: string): number {
  const slicesBySession = slices[team];
  if (!slicesBySession) return 0;
  return Object.values(slicesBySession).reduce(
    (sum, slice) => sum + slice.amount,
    0,
  );
}
