/** Reducers of claims on idempotency keys. */
import type {BodyOf} from './change.js';
import {
  CLAIM_SHARD_COUNT,
  CLAIM_WINDOW_MS,
  claimId,
  claimShard,
  type Claim,
  type Claims,
  type ClaimConflicts,
} from './claim.js';
import {succeed, type Result} from './result.js';
import type {State} from './state.js';

/**
 * Claims each key that is free or already claimed by the same attempt. The
 * answer's detail is `ClaimConflicts` as JSON: the claims whose key another
 * attempt has claimed. Expired claims are removed from the shards that the
 * batch uses and from one further shard in turn, so that all shards are swept.
 */
export function makeClaims(state: State, body: BodyOf<'claim'>): Result {
  const draft = createClaimsDraft(state.claims);
  const expiresAtMs = state.nowMs + CLAIM_WINDOW_MS;
  const conflicts: ClaimConflicts = [];
  body.claims.forEach(({team, key, session, attempt}, index) => {
    const id = claimId(team, key);
    const shard = draft.shard(claimShard(id), state.nowMs);
    const existing = Object.hasOwn(shard, id) ? shard[id] : undefined;
    if (existing?.attempt === attempt) return;
    if (existing) {
      conflicts.push({index, phase: existing.phase, status: existing.status});
    } else {
      shard[id] = {team, key, session, attempt, phase: 'claimed', expiresAtMs};
    }
  });
  const swept = String(state.revision % CLAIM_SHARD_COUNT);
  if (Object.hasOwn(state.claims, swept)) draft.shard(swept, state.nowMs);
  return succeed({...state, claims: draft.finish()}, JSON.stringify(conflicts));
}

/** Records outcomes. Only the attempt that made a claim may settle it. */
export function settleClaims(state: State, body: BodyOf<'settle'>): Result {
  const draft = createClaimsDraft(state.claims);
  for (const item of body.claims) {
    const id = claimId(item.team, item.key);
    const shard = draft.shard(claimShard(id), state.nowMs);
    const claim = Object.hasOwn(shard, id) ? shard[id] : undefined;
    if (!claim || claim.attempt !== item.attempt) continue;
    if (item.verdict === 'ran') {
      shard[id] = {...claim, phase: 'ran', status: item.status};
    } else if (claim.phase === 'claimed') {
      // A late `not-run` must not free the key of a request that ran.
      delete shard[id];
    }
  }
  return succeed({...state, claims: draft.finish()});
}

/** Returns a draft of the claims, which copies each shard on first use. */
function createClaimsDraft(claims: Claims) {
  const copies = new Map<string, Record<string, Claim>>();

  function writableShard(number: string, nowMs: number): Record<string, Claim> {
    const copied = copies.get(number);
    if (copied) return copied;
    const live = Object.fromEntries(
      Object.entries(claims[number] ?? {}).filter(
        ([, claim]) => claim.expiresAtMs > nowMs,
      ),
    );
    copies.set(number, live);
    return live;
  }

  function finish(): Claims {
    const next = {...claims};
    for (const [number, copy] of copies) {
      if (Object.keys(copy).length > 0) next[number] = copy;
      else delete next[number];
    }
    return next;
  }

  return {shard: writableShard, finish};
}
