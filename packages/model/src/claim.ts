/** Claims on idempotency keys: proof that a request was or may have been sent. */
import {z} from 'zod';

/** How long a key protects against a second run. */
export const CLAIM_WINDOW_MS = 10 * 60_000;

export const claimSchema = z.object({
  team: z.string(),
  key: z.string(),
  session: z.string(),
  /** Chosen by the entry for each claim, so that a late message about an
   * earlier claim of the key is told from one about this claim. */
  attempt: z.string(),
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

/**
 * A batch of claims copies and prunes only the shards that it touches. A
 * single record of 60,000 claims cost 91 ms a batch.
 */
export const CLAIM_SHARD_COUNT = 1024;

/** Shard number, then claim ID, to claim; an empty shard is absent. */
export const claimsSchema = z.record(
  z.string(),
  z.record(z.string(), claimSchema),
);
export type Claims = z.infer<typeof claimsSchema>;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Shard of a claim ID, by its FNV-1a hash: the same on every replica. */
export function claimShard(id: string): string {
  let hash = FNV_OFFSET;
  for (let i = 0; i < id.length; i++) {
    hash = Math.imul(hash ^ id.charCodeAt(i), FNV_PRIME);
  }
  return String((hash >>> 0) % CLAIM_SHARD_COUNT);
}

export function findClaim(claims: Claims, id: string): Claim | undefined {
  const shard = claims[claimShard(id)];
  return shard && Object.hasOwn(shard, id) ? shard[id] : undefined;
}

/** What a change of claims answers for each claim that was taken already. */
export const claimConflictsSchema = z.array(
  z.object({
    /** Position in the change's list. */
    index: z.number().int().nonnegative(),
    phase: claimSchema.shape.phase,
    status: claimSchema.shape.status,
  }),
);
export type ClaimConflicts = z.infer<typeof claimConflictsSchema>;
