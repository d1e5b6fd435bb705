/** Reducers of claims on idempotency keys. */
import type {BodyOf} from './change.js';
import {CLAIM_WINDOW_MS, claimId, type Claim} from './claim.js';
import {succeed, type Result} from './result.js';
import type {State} from './state.js';

/**
 * Claims each key that is free; the detail lists, as JSON, the claim IDs that
 * were taken already. Expired claims are removed on the way.
 */
export function makeClaims(state: State, body: BodyOf<'claim'>): Result {
  const claims = unexpired(state);
  const taken: string[] = [];
  for (const {team, key, session} of body.claims) {
    const id = claimId(team, key);
    if (Object.hasOwn(claims, id)) {
      taken.push(id);
      continue;
    }
    const expiresAtMs = state.nowMs + CLAIM_WINDOW_MS;
    claims[id] = {team, key, session, phase: 'claimed', expiresAtMs};
  }
  return succeed({...state, claims}, JSON.stringify(taken));
}

/** Records outcomes; only the session that made a claim may settle it. */
export function settleClaims(state: State, body: BodyOf<'settle'>): Result {
  const claims = {...state.claims};
  for (const item of body.claims) {
    const id = claimId(item.team, item.key);
    const claim = claims[id];
    if (!claim || claim.session !== item.session) continue;
    if (item.verdict === 'not-run') {
      delete claims[id];
    } else {
      claims[id] = {...claim, phase: 'ran', status: item.status};
    }
  }
  return succeed({...state, claims});
}

function unexpired(state: State): Record<string, Claim> {
  return Object.fromEntries(
    Object.entries(state.claims).filter(
      ([, claim]) => claim.expiresAtMs > state.nowMs,
    ),
  );
}
