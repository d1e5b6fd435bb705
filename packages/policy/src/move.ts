/** Moves of hosts between pools. */
import {
  failureDomain,
  isAvailable,
  type Host,
  type State,
} from '@lentildrift/model';
import type {PoolSnapshot} from './decision-input.js';
import type {Weights} from './weight.js';

/** A pool and what is asked of it, in hosts. */
export interface PoolLoad extends PoolSnapshot {
  readonly available: number;
  readonly demandHosts: number;
  /** Hosts on their way into the pool. */
  readonly arriving: number;
}

export interface MoveInput {
  readonly state: State;
  readonly pools: readonly PoolLoad[];
  /** Since when each pool has been short, or has had hosts to spare. */
  readonly shortageStarts: ReadonlyMap<string, number>;
  readonly surplusStarts: ReadonlyMap<string, number>;
  readonly moveTimes: ReadonlyMap<string, number>;
  readonly nowMs: number;
  readonly weights: Weights;
}

export interface MoveProposal {
  readonly host: string;
  readonly targetPool: string;
}

export abstract class MovePolicy {
  abstract choose(input: MoveInput): MoveProposal[];
}

/** A shortage or surplus counts once it has lasted this long. */
export const MIN_IMBALANCE_MS = 10 * 60_000;

/** A host that was moved stays for at least this long. */
export const MOVE_COOLDOWN_MS = 60 * 60_000;

/** Work lost while a host drains, switches and joins, in host-ms. */
const MOVE_COST_HOST_MS = 2 * 60_000;

/** Most moves that one pool may receive at a time. */
const ARRIVALS = 1;

/**
 * Moves a host only when a shortage has lasted and is expected to cost more
 * than the move: it is taken to go on for as long as it has lasted.
 */
export class LastingShortageMoves extends MovePolicy {
  override choose(input: MoveInput): MoveProposal[] {
    const proposals: MoveProposal[] = [];
    const taken = new Set<string>();
    for (const pool of byShortage(input.pools, shortageLoad(input.weights))) {
      if (!outweighs(pool, input) || pool.arriving >= ARRIVALS) continue;
      const host = chooseHost(pool, input, taken);
      if (!host) continue;
      taken.add(host.id);
      proposals.push({host: host.id, targetPool: pool.name});
    }
    return proposals;
  }
}

function byShortage(pools: readonly PoolLoad[], load: number): PoolLoad[] {
  return pools
    .filter(pool => pool.kind !== 'spare' && shortOf(pool, load) > 0)
    .sort((a, b) => shortOf(b, load) - shortOf(a, load));
}

function shortOf(pool: PoolLoad, load: number): number {
  return pool.demandHosts - (pool.available + pool.arriving) * load;
}

function outweighs(pool: PoolLoad, input: MoveInput): boolean {
  const since = input.shortageStarts.get(pool.name);
  if (since === undefined) return false;
  const lastedMs = input.nowMs - since;
  if (lastedMs < MIN_IMBALANCE_MS) return false;
  const {moves, shareNearness, bufferCost} = input.weights;
  const gain =
    Math.min(1, shortOf(pool, shortageLoad(input.weights))) * lastedMs;
  const weight = moves / Math.max(0.01, (shareNearness + bufferCost) / 2);
  return gain > MOVE_COST_HOST_MS * Math.max(0.5, weight);
}

/** A spare host first, else one of a pool with a lasting surplus. */
function chooseHost(
  target: PoolLoad,
  input: MoveInput,
  taken: ReadonlySet<string>,
): Host | undefined {
  const held = countByFailureDomain(target.hosts);
  const candidates = input.pools
    .filter(pool => pool.name !== target.name && maySpare(pool, input, taken))
    .flatMap(pool =>
      pool.hosts
        .filter(host => mayMove(host, input, taken))
        .map(host => ({host, spare: pool.kind === 'spare'})),
    );
  const rank = ({host, spare}: (typeof candidates)[number]) =>
    (spare ? 0 : 1000) + (held.get(failureDomain(host)) ?? 0);
  return candidates.sort((a, b) => rank(a) - rank(b))[0]?.host;
}

function maySpare(
  pool: PoolLoad,
  input: MoveInput,
  taken: ReadonlySet<string>,
): boolean {
  const leaving = pool.hosts.filter(host => taken.has(host.id)).length;
  if (pool.available - leaving <= pool.minAvailable) return false;
  if (pool.kind === 'spare') return true;
  const since = input.surplusStarts.get(pool.name);
  return since !== undefined && input.nowMs - since >= MIN_IMBALANCE_MS;
}

function mayMove(
  host: Host,
  input: MoveInput,
  taken: ReadonlySet<string>,
): boolean {
  if (!isAvailable(host) || host.quarantined || taken.has(host.id)) {
    return false;
  }
  const movedAtMs = input.moveTimes.get(host.id);
  return movedAtMs === undefined || input.nowMs - movedAtMs >= MOVE_COOLDOWN_MS;
}

/** Hosts of each failure domain. */
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

/** Since when each pool has been in a condition, carried from round to round. */
export function trackConditionStarts(
  old: ReadonlyMap<string, number>,
  pools: readonly PoolLoad[],
  holds: (pool: PoolLoad, before: boolean) => boolean,
  nowMs: number,
): Map<string, number> {
  const next = new Map<string, number>();
  for (const pool of pools) {
    const before = old.get(pool.name);
    if (holds(pool, before !== undefined)) next.set(pool.name, before ?? nowMs);
  }
  return next;
}

/** Load from which on a pool is short for users who weigh idle hosts more. */
const THRIFTY_LOAD = 0.7;

/**
 * Load from which on a pool is short of hosts: a user who weighs idle spare
 * hosts more than moves puts them to work before a pool is full.
 */
export function shortageLoad({bufferCost, moves}: Weights): number {
  return bufferCost > moves ? THRIFTY_LOAD : 1;
}

/** A shortage ends only once demand is well below the pool. */
export function isShort(
  pool: PoolLoad,
  before: boolean,
  load: number,
): boolean {
  return pool.demandHosts > pool.available * load * (before ? 0.9 : 1);
}

/** Whether the pool could give a host away and stay well above its demand. */
export function hasSurplus(pool: PoolLoad, before: boolean): boolean {
  const kept = pool.available - 1;
  return pool.demandHosts < kept * (before ? 0.8 : 0.7);
}
