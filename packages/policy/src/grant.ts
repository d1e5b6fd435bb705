/** Proposes permits for edits of the pools table, waves, repairs and moves. */
import {
  poolBudgetRefusal,
  type BodyOf,
  type Host,
  type State,
} from '@lentildrift/model';
import {REPAIR_AFTER_MS} from './reconcile.js';
import type {MovePolicy, PoolLoad} from './move.js';
import type {DecisionInput} from './decision-input.js';
import type {WavePolicy} from './wave.js';

/**
 * Maximum number of permits proposed in one round; the rest wait for the next.
 */
const GRANTS_PER_ROUND = 16;

type Grant = BodyOf<'grant-permit'>;

interface GrantInput extends DecisionInput {
  readonly loads: readonly PoolLoad[];
}

/**
 * Proposes at most one permit for each host; operators' edits have priority.
 */
export function proposeGrants(
  movePolicy: MovePolicy,
  wavePolicy: WavePolicy,
  input: GrantInput,
): Grant[] {
  const {state, softState, nowMs, weights, loads} = input;
  const {shortageStarts, surplusStarts, moveTimes} = softState;
  const moves = movePolicy.choose({
    state,
    pools: loads,
    shortageStarts,
    surplusStarts,
    moveTimes,
    nowMs,
    weights,
  });
  const pools = new Map(loads.map(pool => [pool.name, pool]));
  const waves = wavePolicy.choose({state, pools, nowMs, weights});
  const wanted: Grant[] = [
    ...proposeEditedMoves(state),
    // Before repairs: the reboot of a wave also repairs a failed host.
    ...waves.map(wave => createGrant({kind: 'reboot', ...wave})),
    ...proposeRepairs(state, nowMs),
    ...moves.map(move => createGrant({kind: 'move', ...move})),
  ];
  const byHost = new Map<string, Grant>();
  for (const each of wanted) {
    if (!byHost.has(each.host)) byHost.set(each.host, each);
  }
  return [...byHost.values()].slice(0, GRANTS_PER_ROUND);
}

function createGrant(body: Omit<Grant, 'type'>): Grant {
  return {type: 'grant-permit', ...body};
}

/** Proposes to reboot hosts that have stayed failed. */
function proposeRepairs(state: State, nowMs: number): Grant[] {
  return Object.values(state.hosts)
    .filter(
      ({phase, permit, lostAtMs}) =>
        phase === 'failed' &&
        !permit &&
        nowMs - (lostAtMs ?? nowMs) >= REPAIR_AFTER_MS,
    )
    .map(({id}) => ({type: 'grant-permit', kind: 'reboot', host: id}));
}

/** Proposes the moves that an edit of the pools table requires. */
function proposeEditedMoves(state: State): Grant[] {
  return Object.values(state.tables.pools).flatMap(pool =>
    pool.hosts.flatMap(id => {
      const host = state.hosts[id];
      if (!host || host.permit || host.pool === pool.name) return [];
      const targetPool = pool.name;
      return [
        {type: 'grant-permit', kind: 'move', host: id, targetPool} as const,
      ];
    }),
  );
}

/**
 * Returns the permits that the budgets allow when granted one after the other,
 * and the hosts as these permits leave them.
 */
export function checkGrants(
  state: State,
  grants: readonly Grant[],
): {grants: Grant[]; hosts: ReadonlyMap<string, Host>} {
  const hosts = new Map(Object.entries(state.hosts));
  const pools = new Map<string, Host[]>();
  for (const host of hosts.values()) {
    const members = pools.get(host.pool);
    if (members) members.push(host);
    else pools.set(host.pool, [host]);
  }
  const allowed = grants.filter(body => {
    const host = hosts.get(body.host);
    const pool = state.tables.pools[host?.pool ?? ''];
    if (!host || host.permit) return false;
    const members = pools.get(host.pool)!;
    const others = members.filter(other => other.id !== host.id);
    if (pool && poolBudgetRefusal(pool, host, others)) return false;
    const granted = applyGrant(host, body, state);
    hosts.set(host.id, granted);
    pools.set(host.pool, [...others, granted]);
    return true;
  });
  return {grants: allowed, hosts};
}

/**
 * Returns the host under the permit, with a placeholder for the unknown token.
 */
function applyGrant(host: Host, body: Grant, {nowMs}: State): Host {
  const {kind, targetPool, wave} = body;
  const token = Number.MAX_SAFE_INTEGER;
  const permit = {kind, token, grantedAtMs: nowMs, targetPool, wave};
  const phase = host.phase === 'failed' ? 'failed' : 'draining';
  return {...host, phase, permit};
}
