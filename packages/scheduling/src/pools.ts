/** How hosts are divided between pools as their demand rises and falls. */
import type {Size} from '@lentildrift/queue';
import type {Demand} from './demand.js';

/** A host that may be moved. */
export interface PoolHost {
  readonly id: string;
  readonly capacity: Size;
  /** Nothing runs on it, and nothing has for a while. */
  readonly idle: boolean;
  /** A task that lasts runs on it. */
  readonly pinned: boolean;
  /** Thousandths of a core that are reserved on it. */
  readonly usedMillis: number;
}

export interface PoolView {
  readonly name: string;
  /** Its hosts are switched off and cost nothing. */
  readonly standby: boolean;
  /** Hosts that serve, whether they may be moved or not. */
  readonly serving: readonly PoolHost[];
  /** Hosts that are on their way into the pool. */
  readonly arriving: number;
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

/** Hosts kept beyond the demand, since a move takes longer than a task. */
const HEADROOM_HOSTS = 2;
/** A pool is never left with fewer hosts. */
const MIN_HOSTS = 3;
/** Share of a host that can be filled in practice. */
const FILL = 0.85;

/**
 * Each pool gets the hosts that its demand fills and one more. Short pools are
 * served from standby first, then with hosts that another pool does not need,
 * the emptiest first; idle hosts that no pool needs go to standby.
 */
export class ElasticPools extends PoolPolicy {
  override decide(pools: readonly PoolView[]): Move[] {
    const standby = pools.find(pool => pool.standby);
    const active = pools.filter(pool => !pool.standby);
    const wanted = new Map(active.map(pool => [pool.name, hostsFor(pool)]));
    const surplus: Source[] = [];
    for (const pool of active) {
      const extra = sizeOf(pool) - wanted.get(pool.name)!;
      const spare = pool.serving
        .filter(host => !host.pinned)
        .sort((a, b) => a.usedMillis - b.usedMillis)
        .slice(0, Math.max(0, extra));
      for (const host of spare) surplus.push({host, pool});
    }
    surplus.sort((a, b) => a.host.usedMillis - b.host.usedMillis);
    const reserve = (standby?.serving ?? []).map(host => ({
      host,
      pool: standby!,
    }));
    const source: Source[] = [...reserve, ...surplus];
    const moves: Move[] = [];
    const short = active
      .map(pool => ({pool, missing: wanted.get(pool.name)! - sizeOf(pool)}))
      .sort((a, b) => b.missing - a.missing);
    for (const {pool, missing} of short) {
      for (let n = 0; n < missing; n++) {
        const next = source.shift();
        if (!next) return moves;
        moves.push({host: next.host.id, from: next.pool.name, to: pool.name});
      }
    }
    if (!standby) return moves;
    for (const {host, pool} of source) {
      if (pool === standby || !host.idle) continue;
      moves.push({host: host.id, from: pool.name, to: standby.name});
    }
    return moves;
  }
}

interface Source {
  readonly host: PoolHost;
  readonly pool: PoolView;
}

function sizeOf({serving, arriving}: PoolView): number {
  return serving.length + arriving;
}

function hostsFor({serving, demand}: PoolView): number {
  const sample = serving[0];
  if (!sample) return MIN_HOSTS;
  const {reserved, waiting, spread} = demand;
  const cores =
    (reserved.cpuMillis + waiting.cpuMillis) /
    Math.max(1, sample.capacity.cpuMillis);
  const memory =
    (reserved.memoryMb + waiting.memoryMb) /
    Math.max(1, sample.capacity.memoryMb);
  const filled = Math.max(cores, memory) / FILL;
  return Math.max(MIN_HOSTS, spread, Math.ceil(filled + HEADROOM_HOSTS));
}
