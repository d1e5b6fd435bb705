/** Order and pace of maintenance waves. */
import {
  failureDomain,
  isAvailable,
  type Host,
  type State,
  type Wave,
} from '@lentildrift/model';
import type {PoolLoad} from './move.js';
import {weightFraction, type Weights} from './weight.js';

export interface WaveInput {
  readonly state: State;
  readonly pools: ReadonlyMap<string, PoolLoad>;
  readonly nowMs: number;
  readonly weights: Weights;
}

export interface WaveProposal {
  readonly host: string;
  readonly wave: string;
}

export abstract class WavePolicy {
  abstract choose(input: WaveInput): WaveProposal[];
}

/** Failed hosts of one domain from which on a loss counts as correlated. */
const CORRELATED = 2;

/** Lost domains from which on every wave pauses. */
const DOMAINS_BEFORE_PAUSE = 2;

/** A wave this close to its deadline takes all that its budget allows. */
const DEADLINE_NEAR_MS = 24 * 3600_000;

/** Within one failure domain at a time, as many hosts as the budget allows. */
export class FailureDomainWaves extends WavePolicy {
  override choose(input: WaveInput): WaveProposal[] {
    const open = listOpenWaves(input.state);
    if (open.length === 0) return [];
    const lost = lostDomains(input.state);
    if (lost.size >= DOMAINS_BEFORE_PAUSE) return [];
    const pending = pendingByPool(open, input.state);
    return [...pending].flatMap(([name, items]) => {
      const pool = input.pools.get(name);
      if (!pool || pool.hosts.some(h => lost.has(failureDomain(h)))) return [];
      return chooseInPool(pool, items, input);
    });
  }
}

interface Item {
  readonly host: Host;
  readonly wave: Wave;
}

/** Open waves, the earliest deadline first. */
export function listOpenWaves(state: State): Wave[] {
  return Object.values(state.waves)
    .filter(wave => wave.phase === 'open')
    .sort((a, b) => a.deadlineMs - b.deadlineMs);
}

function lostDomains(state: State): Set<string> {
  const failed = new Map<string, number>();
  for (const id in state.hosts) {
    const host = state.hosts[id]!;
    if (host.phase !== 'failed') continue;
    const domain = failureDomain(host);
    failed.set(domain, (failed.get(domain) ?? 0) + 1);
  }
  const lost = [...failed].filter(([, count]) => count >= CORRELATED);
  return new Set(lost.map(([domain]) => domain));
}

/** Hosts that may be taken now, by pool, in order of deadline. */
function pendingByPool(
  waves: readonly Wave[],
  state: State,
): Map<string, Item[]> {
  const pools = new Map<string, Item[]>();
  for (const wave of waves) {
    for (const id of wave.pending) {
      const host = state.hosts[id];
      if (!host || host.permit || !canTakeDown(host)) continue;
      const items = pools.get(host.pool);
      if (items) items.push({host, wave});
      else pools.set(host.pool, [{host, wave}]);
    }
  }
  return pools;
}

export function canTakeDown(host: Host): boolean {
  return isAvailable(host) || host.phase === 'failed';
}

function chooseInPool(
  pool: PoolLoad,
  items: readonly Item[],
  input: WaveInput,
): WaveProposal[] {
  const opened = pool.hosts.find(host => host.permit);
  const domain = opened ? failureDomain(opened) : fullestDomain(pool, items);
  const here = items.filter(({host}) => failureDomain(host) === domain);
  const budget = pool.available - pool.minAvailable;
  const away = pool.hosts.filter(host => host.permit).length;
  const pace = paceOf(pool, here, budget + away, input) - away;
  return here
    .slice(0, Math.max(0, Math.min(budget, pace)))
    .map(({host, wave}) => ({host: host.id, wave: wave.id}));
}

/**
 * Domain with the most hosts of the earliest wave; in a spare pool, which may
 * open several domains, that of the first host.
 */
function fullestDomain(
  pool: PoolLoad,
  items: readonly Item[],
): string | undefined {
  const first = items[0];
  if (!first) return undefined;
  if (pool.kind === 'spare') return failureDomain(first.host);
  const counts = new Map<string, number>();
  for (const {host, wave} of items) {
    if (wave.id !== first.wave.id) continue;
    const domain = failureDomain(host);
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
  }
  return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0];
}

/** Hosts away at once: fewer while the pool is short and shares weigh more. */
function paceOf(
  pool: PoolLoad,
  items: readonly Item[],
  budget: number,
  {weights, nowMs}: WaveInput,
): number {
  const near = items.some(
    ({wave}) => wave.deadlineMs - nowMs < DEADLINE_NEAR_MS,
  );
  if (near || pool.demandHosts <= pool.available) return budget;
  const eager = weightFraction(weights.rollOut, weights.shareNearness);
  return Math.max(1, Math.ceil(budget * eager));
}
