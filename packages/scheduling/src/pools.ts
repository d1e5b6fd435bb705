/**
 * Policies that divide the hosts between the pools as demand rises and falls.
 */
import {fits, subtract, type Size} from '@lentildrift/queue';
import type {Demand, WaitingTasks} from './demand.js';
import {
  canHostTask,
  createTrialHost,
  emptied,
  packTasks,
  totalFree,
  type PoolHost,
  type TrialHost,
} from './packing.js';

/** A pool as the policy sees it. */
export interface PoolView {
  readonly name: string;
  /** Whether the pool's hosts are switched off and cost nothing. */
  readonly standby: boolean;
  /** Hosts in service in the pool, including those that may not be moved. */
  readonly serving: readonly PoolHost[];
  /** Hosts that are being moved to the pool, without any runs. */
  readonly arriving: readonly PoolHost[];
  readonly demand: Demand;
}

export interface Move {
  readonly host: string;
  readonly from: string;
  readonly to: string;
}

export abstract class PoolPolicy {
  /** Decides which hosts to move now. */
  abstract decide(pools: readonly PoolView[]): Move[];
}

/** Baseline: hosts stay in the pools in which the provider put them. */
export class FixedPools extends PoolPolicy {
  override decide(): Move[] {
    return [];
  }
}

/**
 * Free capacity that each pool keeps, as a number of hosts, to run the jobs
 * that are submitted while a further host is being moved to the pool.
 */
const HEADROOM_HOSTS = 1;

/**
 * A busy host is emptied for another pool only if it is expected to be idle
 * within this time; other hosts may be idle sooner.
 */
export const MAX_TIME_TO_IDLE_MS = 300;

/** A pool after the trial packing of its waiting tasks onto its hosts. */
interface PackedPool {
  readonly pool: PoolView;
  readonly hosts: readonly TrialHost[];
  readonly unplaced: readonly WaitingTasks[];
}

/** A host that may be moved, with its current pool. */
interface HostSource {
  readonly host: PoolHost;
  readonly pool: PoolView;
}

/**
 * Gives each pool the hosts that its waiting tasks need, with regard to labels
 * and limits, and free capacity for the expected inflow. Pools that are short
 * of hosts get standby hosts first, then surplus hosts of other pools, those
 * that are expected to be idle soonest first. Idle hosts that no pool needs
 * move to standby.
 */
export class ElasticPools extends PoolPolicy {
  constructor(private readonly headroomHosts = HEADROOM_HOSTS) {
    super();
  }

  override decide(pools: readonly PoolView[]): Move[] {
    // Hosts are first assigned for the tasks that can still be in time, so that
    // late tasks do not use them up.
    const poolsWithoutLateTasks = pools.map(withoutLateTasks);
    const inTime = this.divide(poolsWithoutLateTasks);
    const first = inTime.moves;
    const isSame = first.length === 0 && !pools.some(hasLateTasks);
    const second = isSame ? inTime : this.divide(applyMoves(pools, first));
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

  /**
   * Returns the moves that the pools need, and the hosts that no pool needs.
   */
  private divide(pools: readonly PoolView[]): {
    moves: Move[];
    spare: HostSource[];
  } {
    const standby = pools.find(pool => pool.standby);
    const packedPools = pools.filter(pool => !pool.standby).map(packPool);
    const sources: HostSource[] = (standby?.serving ?? []).map(host => ({
      host,
      pool: standby!,
    }));
    const surplus = packedPools.flatMap(each =>
      listSurplusHosts(each, this.headroomHosts).map(host => ({
        host,
        pool: each.pool,
      })),
    );
    surplus.sort((a, b) => a.host.emptyInMs - b.host.emptyInMs);
    sources.push(...surplus);
    const moves: Move[] = [];
    supplyLastingTasks(packedPools, sources, moves);
    supplyHosts(packedPools, sources, moves, this.headroomHosts);
    return {moves, spare: sources};
  }
}

function hasLateTasks({demand}: PoolView): boolean {
  return demand.waiting.some(({late}) => late);
}

function withoutLateTasks(pool: PoolView): PoolView {
  const waiting = pool.demand.waiting.filter(({late}) => !late);
  return {...pool, demand: {...pool.demand, waiting}};
}

/** Returns the pools as they are while the hosts are being moved. */
function applyMoves(
  pools: readonly PoolView[],
  moves: readonly Move[],
): readonly PoolView[] {
  if (moves.length === 0) return pools;
  const moved = new Map(moves.map(move => [move.host, move]));
  const movedHosts = new Map<string, PoolHost>();
  const remaining = pools.map(({name, serving}) =>
    serving.filter(host => {
      if (moved.get(host.id)?.from !== name) return true;
      movedHosts.set(host.id, host);
      return false;
    }),
  );
  const arrivals = new Map<string, PoolHost[]>();
  for (const {host: id, to} of moves) {
    const host = movedHosts.get(id);
    if (!host) continue;
    const empty = emptied(host);
    const arriving = arrivals.get(to);
    if (arriving) arriving.push(empty);
    else arrivals.set(to, [empty]);
  }
  return pools.map((pool, at) => ({
    ...pool,
    serving: remaining[at]!,
    arriving: [...pool.arriving, ...(arrivals.get(pool.name) ?? [])],
  }));
}

function packPool(pool: PoolView): PackedPool {
  const hosts = [...pool.serving, ...pool.arriving].map(createTrialHost);
  return {pool, ...packTasks(hosts, lastingFirst(pool.demand.waiting))};
}

/** The tasks with the long-running ones before all others. */
function lastingFirst(
  waiting: readonly WaitingTasks[],
): readonly WaitingTasks[] {
  const lasting = listLasting(waiting);
  if (lasting.length === 0) return waiting;
  return [...lasting, ...waiting.filter(tasks => !tasks.lasting)];
}

function listLasting(waiting: readonly WaitingTasks[]): WaitingTasks[] {
  return waiting.filter(tasks => tasks.lasting);
}

/**
 * Assigns the source hosts that waiting long-running tasks need, before other
 * tasks get any: in a burst elsewhere these would wait for seconds, and no other
 * task of their steps may be stopped meanwhile. A pool whose long-running tasks
 * fit on none of the sources gets no host here, since its other tasks would take
 * each one. Updates all of its arguments.
 */
function supplyLastingTasks(
  packedPools: PackedPool[],
  sources: HostSource[],
  moves: Move[],
): void {
  const openPools = new Set<number>();
  /** The pools with the unplaced tasks that are long-running only. */
  const lastingPools = packedPools.map((packed, index) => {
    const unplaced = listLasting(packed.unplaced);
    if (unplaced.length > 0) openPools.add(index);
    return {...packed, unplaced};
  });
  while (openPools.size > 0 && sources.length > 0) {
    const index = findLargestShortage(lastingPools, openPools);
    const sourceIndex = findHostForTasks(lastingPools[index]!, sources);
    if (sourceIndex === undefined) {
      openPools.delete(index);
      continue;
    }
    moveHost(packedPools, index, sources, sourceIndex, moves);
    const unplaced = listLasting(packedPools[index]!.unplaced);
    lastingPools[index] = {...packedPools[index]!, unplaced};
    if (unplaced.length === 0) openPools.delete(index);
  }
}

/**
 * Assigns the source hosts one at a time, each to the pool that lacks the most
 * CPU at that point, until no pool needs one of the remaining hosts. Updates all
 * of its first three arguments.
 */
function supplyHosts(
  packedPools: PackedPool[],
  sources: HostSource[],
  moves: Move[],
  headroomHosts: number,
): void {
  const openPools = new Set(packedPools.keys());
  while (openPools.size > 0 && sources.length > 0) {
    const index = findLargestShortage(packedPools, openPools);
    const sourceIndex = findSource(packedPools[index]!, sources, headroomHosts);
    if (sourceIndex === undefined) {
      openPools.delete(index);
      continue;
    }
    moveHost(packedPools, index, sources, sourceIndex, moves);
  }
}

/** Moves a source host to a pool and packs the unplaced tasks onto it. */
function moveHost(
  packedPools: PackedPool[],
  index: number,
  sources: HostSource[],
  sourceIndex: number,
  moves: Move[],
): void {
  const [{host, pool}] = sources.splice(sourceIndex, 1) as [HostSource];
  const {pool: to, hosts, unplaced} = packedPools[index]!;
  moves.push({host: host.id, from: pool.name, to: to.name});
  const packing = packTasks([createTrialHost(emptied(host))], unplaced);
  packedPools[index] = {
    pool: to,
    hosts: [...hosts, ...packing.hosts],
    unplaced: packing.unplaced,
  };
}

/** Index of the pool, among `openPools`, with the most unplaced CPU. */
function findLargestShortage(
  packedPools: readonly PackedPool[],
  openPools: ReadonlySet<number>,
) {
  let largest = -Infinity;
  let found = 0;
  for (const index of openPools) {
    const shortage = cpuMillisOf(packedPools[index]!.unplaced);
    if (shortage <= largest) continue;
    largest = shortage;
    found = index;
  }
  return found;
}

function cpuMillisOf(tasks: readonly WaitingTasks[]): number {
  return tasks.reduce((sum, {size, count}) => sum + size.cpuMillis * count, 0);
}

/**
 * Index of a host that the pool needs and can use; undefined if there is none.
 */
function findSource(
  packed: PackedPool,
  sources: readonly HostSource[],
  headroomHosts: number,
): number | undefined {
  const index = findHostForTasks(packed, sources);
  if (index !== undefined) return index;
  const {pool, hosts} = packed;
  const candidate = sources.find(source => isUsable(pool, source))?.host;
  if (!candidate) return undefined;
  const required = requiredFree(pool, candidate, headroomHosts);
  if (fits(required, totalFree(hosts))) return undefined;
  return sources.findIndex(source => isUsable(pool, source));
}

/** Index of a host that can run one of the pool's unplaced tasks. */
function findHostForTasks(
  {pool, unplaced}: PackedPool,
  sources: readonly HostSource[],
): number | undefined {
  for (const tasks of unplaced) {
    const index = sources.findIndex(
      source => isUsable(pool, source) && canHostTask(source.host, tasks),
    );
    if (index >= 0) return index;
  }
  return undefined;
}

/** Whether the host may be moved to the pool. */
function isUsable(pool: PoolView, source: HostSource): boolean {
  return source.pool !== pool && !source.host.excludedPools.has(pool.name);
}

/**
 * Free capacity that the pool should have in addition to running and waiting
 * tasks. Running tasks make room for new ones as they end. Waiting tasks do not:
 * a pool of the size of its inflow would never work off a queue that has formed,
 * and each later job would wait as long as the queue.
 */
function requiredFree(
  {demand}: PoolView,
  {capacity}: PoolHost,
  headroomHosts: number,
): Size {
  const {reserved, inflowCpuMillis} = demand;
  const expectedMillis = Math.max(0, inflowCpuMillis - reserved.cpuMillis);
  return {
    cpuMillis: Math.max(expectedMillis, headroomHosts * capacity.cpuMillis),
    memoryMb: headroomHosts * capacity.memoryMb,
    gpus: 0,
  };
}

/**
 * Hosts that the pool does not need, those that are expected to be idle soonest
 * first.
 */
function listSurplusHosts(
  {pool, hosts, unplaced}: PackedPool,
  headroomHosts: number,
): PoolHost[] {
  if (unplaced.length > 0) return [];
  const movable = hosts
    .filter(
      ({host, hasPlacedTasks}) =>
        !hasPlacedTasks && !host.pinned && host.worker,
    )
    .filter(({host}) => host.emptyInMs <= MAX_TIME_TO_IDLE_MS)
    .sort((a, b) => a.host.emptyInMs - b.host.emptyInMs);
  const surplus: PoolHost[] = [];
  let free = totalFree(hosts);
  for (const each of movable) {
    free = subtract(free, totalFree([each]));
    if (!fits(requiredFree(pool, each.host, headroomHosts), free)) break;
    surplus.push(each.host);
  }
  return surplus;
}
