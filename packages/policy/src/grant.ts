/** Proposals of permits: repairs, edited moves, moves and waves. */
import type {BodyOf, State} from '@lentildrift/model';
import {REPAIR_AFTER_MS} from './absorb.js';
import type {MovePolicy, PoolLoad} from './move.js';
import type {Situation} from './situation.js';
import type {WavePolicy} from './wave.js';

/** Permits asked for in one round; the rest follow in the next. */
const GRANTS_PER_ROUND = 64;

type Grant = BodyOf<'grant-permit'>;

interface GrantRound extends Situation {
  readonly loads: readonly PoolLoad[];
}

/** At most one permit for each host; edits of operators go first. */
export function proposeGrants(
  movePolicy: MovePolicy,
  wavePolicy: WavePolicy,
  round: GrantRound,
): Grant[] {
  const {state, memory, nowMs, weights, loads} = round;
  const {shortages, surpluses, moved} = memory;
  const moves = movePolicy.choose({
    state,
    pools: loads,
    shortages,
    surpluses,
    moved,
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
