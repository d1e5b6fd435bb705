/** Policies for moving hosts between pools. */
import {
  failureDomain,
  isAvailable,
  type Host,
  type State,
} from '@lentildrift/model';
import type {PoolSnapshot} from './decision-input.js';
import type {Weights} from './weight.js';

/** A pool and the demand on it, in hosts. */
export interface PoolLoad extends PoolSnapshot {
  /** Number of hosts that serve and hold no permit. */
  readonly available: number;
  readonly demandHosts: number;
  /** Number of hosts that are being moved into the pool. */
  readonly arriving: number;
}

export interface MoveInput {
  readonly state: State;
  readonly pools: readonly PoolLoad[];
  /** When each pool's shortage of hosts began, in milliseconds. */
  readonly shortageStarts: ReadonlyMap<string, number>;
  /** When each pool's surplus of hosts began, in milliseconds. */
  readonly surplusStarts: ReadonlyMap<string, number>;
  /** When each host was last seen moving between pools, in milliseconds. */
  readonly moveTimes: ReadonlyMap<string, number>;
  readonly nowMs: number;
  readonly weights: Weights;
}

export interface MoveProposal {
  readonly host: string;
  readonly targetPool: string;
}

/** Chooses the hosts to move between pools. */
export abstract class MovePolicy {
  abstract choose(input: MoveInput): MoveProposal[];
}

/** How long a shortage or surplus must last before it leads to a move. */
export const MIN_IMBALANCE_MS = 10 * 60_000;

/** How long a host stays in its pool after a move. */
export const MOVE_COOLDOWN_MS = 60 * 60_000;

/**
 * Work lost while a host drains, switches pools and joins, in
 * host-milliseconds.
 */
const MOVE_COST_HOST_MS = 2 * 60_000;

/** Maximum number of hosts that may be moved into one pool at a time. */
const MAX_ARRIVALS = 1;

/**
 * Moves a host only when a shortage has lasted and is expected to cost more
 * than the move. A shortage is expected to continue for as long as it has
 * already lasted.
 */
export class LastingShortageMoves extends MovePolicy {
  override choose(input: MoveInput): MoveProposal[] {
    const proposals: MoveProposal[] = [];
    const chosen = new Set<string>();
    for (const pool of listShortPools(
      input.pools,
      shortageLoad(input.weights),
    )) {
      if (!isWorthwhile(pool, input) || pool.arriving >= MAX_ARRIVALS) continue;
      const host = chooseHost(pool, input, chosen);
      if (!host) continue;
      chosen.add(host.id);
      proposals.push({host: host.id, targetPool: pool.name});
    }
    return proposals;
  }
}

function listShortPools(pools: readonly PoolLoad[], load: number): PoolLoad[] {
  return pools
    .filter(pool => pool.kind !== 'spare' && shortageHosts(pool, load) > 0)
    .sort((a, b) => shortageHosts(b, load) - shortageHosts(a, load));
}

/** Returns how many hosts the pool is short of at the target load. */
function shortageHosts(pool: PoolLoad, load: number): number {
  return pool.demandHosts - (pool.available + pool.arriving) * load;
}

/** Whether the expected gain of a move into the pool exceeds its cost. */
function isWorthwhile(pool: PoolLoad, input: MoveInput): boolean {
  const startedMs = input.shortageStarts.get(pool.name);
  if (startedMs === undefined) return false;
  const lastedMs = input.nowMs - startedMs;
  if (lastedMs < MIN_IMBALANCE_MS) return false;
  const {moves, shareNearness, bufferCost} = input.weights;
  const gain =
    Math.min(1, shortageHosts(pool, shortageLoad(input.weights))) * lastedMs;
  const weight = moves / Math.max(0.01, (shareNearness + bufferCost) / 2);
  return gain > MOVE_COST_HOST_MS * Math.max(0.5, weight);
}

/**
 * Prefers spare hosts over hosts of pools with a lasting surplus, and among
 * them hosts of the failure domain that has the fewest hosts in the pool.
 */
function chooseHost(
  target: PoolLoad,
  input: MoveInput,
  chosen: ReadonlySet<string>,
): Host | undefined {
  const domainCounts = countByFailureDomain(target.hosts);
  const candidates = input.pools
    .filter(
      pool => pool.name !== target.name && canGiveHost(pool, input, chosen),
    )
    .flatMap(pool =>
      pool.hosts
        .filter(host => canMove(host, input, chosen))
        .map(host => ({host, spare: pool.kind === 'spare'})),
    );
  const rank = ({host, spare}: (typeof candidates)[number]) =>
    (spare ? 0 : 1000) + (domainCounts.get(failureDomain(host)) ?? 0);
  return candidates.sort((a, b) => rank(a) - rank(b))[0]?.host;
}

/** Whether the pool may lose one more host. */
function canGiveHost(
  pool: PoolLoad,
  input: MoveInput,
  chosen: ReadonlySet<string>,
): boolean {
  const leaving = pool.hosts.filter(host => chosen.has(host.id)).length;
  if (pool.available - leaving <= pool.minAvailable) return false;
  if (pool.kind === 'spare') return true;
  const startedMs = input.surplusStarts.get(pool.name);
  return startedMs !== undefined && input.nowMs - startedMs >= MIN_IMBALANCE_MS;
}

function canMove(
  host: Host,
  input: MoveInput,
  chosen: ReadonlySet<string>,
): boolean {
  if (!isAvailable(host) || host.quarantined || chosen.has(host.id)) {
    return false;
  }
  const movedAtMs = input.moveTimes.get(host.id);
  return movedAtMs === undefined || input.nowMs - movedAtMs >= MOVE_COOLDOWN_MS;
}

/** Counts the hosts of each failure domain. */
export function countByFailureDomain(
  hosts: readonly Host[],
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const host of hosts) {
    const domain = failureDomain(host);
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
  }
  return counts;
}

/**
 * Returns when the condition `holds` began for each pool that it holds for.
 * `starts` is the result of the previous round.
 */
export function trackConditionStarts(
  starts: ReadonlyMap<string, number>,
  pools: readonly PoolLoad[],
  holds: (pool: PoolLoad, before: boolean) => boolean,
  nowMs: number,
): Map<string, number> {
  const next = new Map<string, number>();
  for (const pool of pools) {
    const before = starts.get(pool.name);
    if (holds(pool, before !== undefined)) next.set(pool.name, before ?? nowMs);
  }
  return next;
}

/** Load above which a pool is short if idle hosts weigh more than moves. */
const EARLY_SHORTAGE_LOAD = 0.7;

/**
 * Returns the load above which a pool is short of hosts. If the weights rate
 * idle spare hosts as more costly than moves, spare hosts are put to use before
 * a pool is full.
 */
export function shortageLoad({bufferCost, moves}: Weights): number {
  return bufferCost > moves ? EARLY_SHORTAGE_LOAD : 1;
}

/**
 * Whether the pool is short of hosts. `before` is the previous result: a
 * shortage ends only once demand is well below the threshold at which it began,
 * so that the result does not oscillate.
 */
export function isShort(
  pool: PoolLoad,
  before: boolean,
  load: number,
): boolean {
  return pool.demandHosts > pool.available * load * (before ? 0.9 : 1);
}

/**
 * Whether the pool would stay well above its demand with one host less.
 * `before` is the previous result: a surplus ends only once demand is above the
 * threshold at which it began.
 */
export function hasSurplus(pool: PoolLoad, before: boolean): boolean {
  const kept = pool.available - 1;
  return pool.demandHosts < kept * (before ? 0.8 : 0.7);
}
