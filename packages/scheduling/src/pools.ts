/** How hosts are divided between pools as their demand rises and falls. */
import {fits, subtract, type Size} from '@lentildrift/queue';
import type {Demand, WaitingTasks} from './demand.js';
import {
  canHostTask,
  createTrialHost,
  packTasks,
  totalFree,
  type PoolHost,
  type TrialHost,
} from './packing.js';

export interface PoolView {
  readonly name: string;
  /** Its hosts are switched off and cost nothing. */
  readonly standby: boolean;
  /** Hosts that serve, whether they may be moved or not. */
  readonly serving: readonly PoolHost[];
  /** Hosts that are on their way into the pool, empty. */
  readonly arriving: readonly PoolHost[];
  readonly demand: Demand;
}

export interface Move {
  readonly host: string;
  readonly from: string;
  readonly to: string;
}

export abstract class PoolPolicy {
  abstract decide(pools: readonly PoolView[]): Move[];
}

/** Baseline: hosts stay where the provider has put them. */
export class FixedPools extends PoolPolicy {
  override decide(): Move[] {
    return [];
  }
}

/**
 * Free room that each pool keeps, in hosts: what is submitted while a host is
 * on its way has to run somewhere.
 */
const HEADROOM_HOSTS = 1;

/**
 * A host in use is emptied for another pool only if that is expected to take
 * less time than this; others may be empty sooner.
 */
const MAX_EMPTYING_MS = 300;

/** A pool with the waiting tasks packed onto its hosts. */
interface PackedPool {
  readonly pool: PoolView;
  readonly hosts: readonly TrialHost[];
  readonly unplaced: readonly WaitingTasks[];
}

interface Source {
  readonly host: PoolHost;
  readonly pool: PoolView;
}

/**
 * Each pool gets the hosts that its waiting tasks fill, with their labels and
 * limits, and some room for what is about to come. Short pools are served from
 * standby first, then with hosts that another pool does not need, those that
 * are empty soonest first; idle hosts that no pool needs go to standby.
 */
export class ElasticPools extends PoolPolicy {
  constructor(private readonly headroomHosts = HEADROOM_HOSTS) {
    super();
  }

  override decide(pools: readonly PoolView[]): Move[] {
    // Work that is late anyway must not keep hosts from work in time.
    const urgent = pools.map(withoutLate);
    const first = this.divide(urgent).moves;
    const second = this.divide(first.reduce(carryOut, pools));
    const moves = [...first, ...second.moves];
    const standby = pools.find(pool => pool.standby);
    if (!standby) return moves;
    for (const {host, pool} of second.spare) {
      if (pool.standby || !host.idle) continue;
      if (host.excludedPools.has(standby.name)) continue;
      moves.push({host: host.id, from: pool.name, to: standby.name});
    }
    return moves;
  }

  /** Moves that the pools need, and hosts that no pool needs. */
  private divide(pools: readonly PoolView[]): {
    moves: Move[];
    spare: Source[];
  } {
    const standby = pools.find(pool => pool.standby);
    const plots = pools.filter(pool => !pool.standby).map(packPool);
    const sources: Source[] = (standby?.serving ?? []).map(host => ({
      host,
      pool: standby!,
    }));
    const surplus = plots.flatMap(each =>
      surplusOf(each, this.headroomHosts).map(host => ({
        host,
        pool: each.pool,
      })),
    );
    surplus.sort((a, b) => a.host.emptyInMs - b.host.emptyInMs);
    sources.push(...surplus);
    const moves: Move[] = [];
    supply(plots, sources, moves, this.headroomHosts);
    return {moves, spare: sources};
  }
}

function withoutLate(pool: PoolView): PoolView {
  const waiting = pool.demand.waiting.filter(({late}) => !late);
  return {...pool, demand: {...pool.demand, waiting}};
}

/** The pools once the host is on its way. */
function carryOut(pools: readonly PoolView[], move: Move): PoolView[] {
  const source = pools.find(({name}) => name === move.from);
  const host = source?.serving.find(({id}) => id === move.host);
  return pools.map(pool => {
    if (pool.name === move.from) {
      const serving = pool.serving.filter(({id}) => id !== move.host);
      return {...pool, serving};
    }
    if (pool.name !== move.to || !host) return pool;
    const empty = {...host, free: host.capacity, worker: undefined};
    return {...pool, arriving: [...pool.arriving, empty]};
  });
}

function packPool(pool: PoolView): PackedPool {
  const rooms = [...pool.serving, ...pool.arriving].map(createTrialHost);
  return {pool, ...packTasks(rooms, pool.demand.waiting)};
}

/** Gives hosts to the pools that lack most, one at a time. */
function supply(
  plots: PackedPool[],
  sources: Source[],
  moves: Move[],
  headroomHosts: number,
): void {
  const open = new Set(plots.keys());
  while (open.size > 0 && sources.length > 0) {
    const at = mostLacking(plots, open);
    const chosen = findSource(plots[at]!, sources, headroomHosts);
    if (chosen === undefined) {
      open.delete(at);
      continue;
    }
    const [{host, pool}] = sources.splice(chosen, 1) as [Source];
    const to = plots[at]!.pool;
    moves.push({host: host.id, from: pool.name, to: to.name});
    const {hosts: rooms, unplaced: left} = plots[at]!;
    const added = createTrialHost({
      ...host,
      free: host.capacity,
      worker: undefined,
    });
    const packing = packTasks([added], left);
    plots[at] = {
      pool: to,
      hosts: [...rooms, ...packing.hosts],
      unplaced: packing.unplaced,
    };
  }
}

function mostLacking(plots: readonly PackedPool[], open: ReadonlySet<number>) {
  let most = -Infinity;
  let found = 0;
  for (const at of open) {
    const lack = leftMillis(plots[at]!);
    if (lack <= most) continue;
    most = lack;
    found = at;
  }
  return found;
}

function leftMillis({unplaced: left}: PackedPool): number {
  return left.reduce((sum, {size, count}) => sum + size.cpuMillis * count, 0);
}

/** Position of a host that the pool can use; undefined if it needs none. */
function findSource(
  {pool, hosts: rooms, unplaced: left}: PackedPool,
  sources: readonly Source[],
  headroomHosts: number,
): number | undefined {
  const usable = (source: Source) =>
    source.pool !== pool && !source.host.excludedPools.has(pool.name);
  for (const row of left) {
    const at = sources.findIndex(
      source => usable(source) && canHostTask(source.host, row),
    );
    if (at >= 0) return at;
  }
  const sample = sources.find(usable)?.host;
  if (!sample) return undefined;
  const wanted = wantedFree(pool, sample, headroomHosts);
  if (fits(wanted, totalFree(rooms))) return undefined;
  return sources.findIndex(usable);
}

/** Room that the pool should have beside what runs and waits. */
function wantedFree(
  {demand}: PoolView,
  {capacity}: PoolHost,
  headroomHosts: number,
): Size {
  const {reserved, waiting, inflowCpuMillis: inflowMillis} = demand;
  const known = waiting.reduce(
    (sum, {size, count}) => sum + size.cpuMillis * count,
    reserved.cpuMillis,
  );
  const coming = Math.max(0, inflowMillis - known);
  return {
    cpuMillis: Math.max(coming, headroomHosts * capacity.cpuMillis),
    memoryMb: headroomHosts * capacity.memoryMb,
    gpus: 0,
  };
}

/** Hosts that the pool can do without, the emptiest first. */
function surplusOf(
  {pool, hosts: rooms, unplaced: left}: PackedPool,
  headroomHosts: number,
): PoolHost[] {
  if (left.length > 0) return [];
  const movable = rooms
    .filter(
      ({host, hasPlacedTasks: taken}) => !taken && !host.pinned && host.worker,
    )
    .filter(({host}) => host.emptyInMs <= MAX_EMPTYING_MS)
    .sort((a, b) => a.host.emptyInMs - b.host.emptyInMs);
  const surplus: PoolHost[] = [];
  let free = totalFree(rooms);
  for (const room of movable) {
    free = subtract(free, room.free);
    if (!fits(wantedFree(pool, room.host, headroomHosts), free)) break;
    surplus.push(room.host);
  }
  return surplus;
}
