/** How hosts are divided between pools as their demand rises and falls. */
import {fits, subtract, type Size} from '@lentildrift/queue';
import type {Demand, Waiting} from './demand.js';
import {
  isSuitable,
  openRoom,
  pack,
  totalFree,
  type PoolHost,
  type Room,
} from './room.js';

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
const HEADROOM_HOSTS = 1.5;

/** A pool with the waiting tasks packed onto its hosts. */
interface Plot {
  readonly pool: PoolView;
  readonly rooms: readonly Room[];
  readonly left: readonly Waiting[];
}

interface Source {
  readonly host: PoolHost;
  readonly pool: PoolView;
}

/**
 * Each pool gets the hosts that its waiting tasks fill, with their labels and
 * limits, and some room for what is about to come. Short pools are served from
 * standby first, then with hosts that another pool does not need, the emptiest
 * first; idle hosts that no pool needs go to standby.
 */
export class ElasticPools extends PoolPolicy {
  constructor(private readonly headroomHosts = HEADROOM_HOSTS) {
    super();
  }

  override decide(pools: readonly PoolView[]): Move[] {
    const standby = pools.find(pool => pool.standby);
    const plots = pools.filter(pool => !pool.standby).map(plot);
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
    surplus.sort((a, b) => usedMillis(a.host) - usedMillis(b.host));
    sources.push(...surplus);
    const moves: Move[] = [];
    supply(plots, sources, moves, this.headroomHosts);
    if (!standby) return moves;
    for (const {host, pool} of sources) {
      if (pool === standby || !host.idle) continue;
      if (host.barredFrom.has(standby.name)) continue;
      moves.push({host: host.id, from: pool.name, to: standby.name});
    }
    return moves;
  }
}

function plot(pool: PoolView): Plot {
  const rooms = [...pool.serving, ...pool.arriving].map(openRoom);
  return {pool, ...pack(rooms, pool.demand.waiting)};
}

/** Gives hosts to the pools that lack most, one at a time. */
function supply(
  plots: Plot[],
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
    const {rooms, left} = plots[at]!;
    const added = openRoom({...host, free: host.capacity, worker: undefined});
    const packing = pack([added], left);
    plots[at] = {
      pool: to,
      rooms: [...rooms, ...packing.rooms],
      left: packing.left,
    };
  }
}

function mostLacking(plots: readonly Plot[], open: ReadonlySet<number>) {
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

function leftMillis({left}: Plot): number {
  return left.reduce((sum, {size, count}) => sum + size.cpuMillis * count, 0);
}

/** Position of a host that the pool can use; undefined if it needs none. */
function findSource(
  {pool, rooms, left}: Plot,
  sources: readonly Source[],
  headroomHosts: number,
): number | undefined {
  const usable = (source: Source) =>
    source.pool !== pool && !source.host.barredFrom.has(pool.name);
  for (const row of left) {
    const at = sources.findIndex(
      source => usable(source) && isSuitable(source.host, row),
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
  const {reserved, waiting, inflowMillis} = demand;
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
  {pool, rooms, left}: Plot,
  headroomHosts: number,
): PoolHost[] {
  if (left.length > 0) return [];
  const movable = rooms
    .filter(({host, taken}) => !taken && !host.pinned && host.worker)
    .sort((a, b) => usedMillis(a.host) - usedMillis(b.host));
  const surplus: PoolHost[] = [];
  let free = totalFree(rooms);
  for (const room of movable) {
    free = subtract(free, room.free);
    if (!fits(wantedFree(pool, room.host, headroomHosts), free)) break;
    surplus.push(room.host);
  }
  return surplus;
}

function usedMillis({capacity, free}: PoolHost): number {
  return capacity.cpuMillis - free.cpuMillis;
}
