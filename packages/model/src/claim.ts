/** Claims on idempotency keys: proof that a request was or may have been sent. */
import {z} from 'zod';

/** How long a key protects against a second run. */
export const CLAIM_WINDOW_MS = 10 * 60_000;

export const claimSchema = z.object({
  team: z.string(),
  key: z.string(),
  session: z.string(),
  phase: z.enum(['claimed', 'ran']),
  /** HTTP status of the first answer, once it is known. */
  status: z.number().int().optional(),
  expiresAtMs: z.number(),
});
export type Claim = z.infer<typeof claimSchema>;

/** Length-prefixed, so that no two pairs share an ID. */
export function claimId(team: string, key: string): string {
  return `${team.length}:${team}:${key}`;
}
