/** Proposals of permits: repairs, edited moves, moves and waves. */
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

/** Permits asked for in one round; the rest follow in the next. */
const GRANTS_PER_ROUND = 16;

type Grant = BodyOf<'grant-permit'>;

interface GrantRound extends DecisionInput {
  readonly loads: readonly PoolLoad[];
}

/** At most one permit for each host; edits of operators go first. */
export function proposeGrants(
  movePolicy: MovePolicy,
  wavePolicy: WavePolicy,
  round: GrantRound,
): Grant[] {
  const {state, softState: memory, nowMs, weights, loads} = round;
  const {
    shortageStarts: shortages,
    surplusStarts: surpluses,
    moveTimes: moved,
  } = memory;
  const moves = movePolicy.choose({
    state,
    pools: loads,
    shortageStarts: shortages,
    surplusStarts: surpluses,
    moveTimes: moved,
    nowMs,
    weights,
  });
  const pools = new Map(loads.map(pool => [pool.name, pool]));
  const waves = wavePolicy.choose({state, pools, nowMs, weights});
  const wanted: Grant[] = [
    ...editedMoves(state),
    // A failed host of a wave is repaired by the wave's own reboot.
    ...waves.map(wave => grant({kind: 'reboot', ...wave})),
    ...repairs(state, nowMs),
    ...moves.map(move => grant({kind: 'move', ...move})),
  ];
  const byHost = new Map<string, Grant>();
  for (const each of wanted) {
    if (!byHost.has(each.host)) byHost.set(each.host, each);
  }
  return [...byHost.values()].slice(0, GRANTS_PER_ROUND);
}

function grant(body: Omit<Grant, 'type'>): Grant {
  return {type: 'grant-permit', ...body};
}

function repairs(state: State, nowMs: number): Grant[] {
  return Object.values(state.hosts)
    .filter(
      ({phase, permit, lostAtMs}) =>
        phase === 'failed' &&
        !permit &&
        nowMs - (lostAtMs ?? nowMs) >= REPAIR_AFTER_MS,
    )
    .map(({id}) => ({type: 'grant-permit', kind: 'reboot', host: id}));
}

/** Moves that an edit of the pools table asks for. */
function editedMoves(state: State): Grant[] {
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

/** The permits that the budgets allow one after the other. */
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
    const taken = underPermit(host, body, state);
    hosts.set(host.id, taken);
    pools.set(host.pool, [...others, taken]);
    return true;
  });
  return {grants: allowed, hosts};
}

/** The host as the grant would leave it; the token is not known yet. */
function underPermit(host: Host, body: Grant, {nowMs}: State): Host {
  const {kind, targetPool, wave} = body;
  const token = Number.MAX_SAFE_INTEGER;
  const permit = {kind, token, grantedAtMs: nowMs, targetPool, wave};
  const phase = host.phase === 'failed' ? 'failed' : 'draining';
  return {...host, phase, permit};
}
