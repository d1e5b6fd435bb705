/** Policies for the order and pace of maintenance waves. */
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

/** Chooses the hosts that maintenance waves take out of service next. */
export abstract class WavePolicy {
  abstract choose(input: WaveInput): WaveProposal[];
}

/**
 * Number of failed hosts in one failure domain from which the failures count as
 * correlated and the domain as lost.
 */
const MIN_CORRELATED_FAILURES = 2;

/** Number of lost failure domains from which all waves pause. */
const LOST_DOMAINS_BEFORE_PAUSE = 2;

/**
 * Time before its deadline in which a wave takes as many hosts as the budget
 * allows.
 */
const NEAR_DEADLINE_MS = 24 * 3600_000;

/**
 * Takes as many hosts as the budget allows, within one failure domain of a pool
 * at a time.
 */
export class FailureDomainWaves extends WavePolicy {
  override choose(input: WaveInput): WaveProposal[] {
    const open = listOpenWaves(input.state);
    if (open.length === 0) return [];
    const lost = findLostDomains(input.state);
    if (lost.size >= LOST_DOMAINS_BEFORE_PAUSE) return [];
    const pending = groupPendingByPool(open, input.state);
    return [...pending].flatMap(([name, items]) => {
      const pool = input.pools.get(name);
      if (!pool || pool.hosts.some(h => lost.has(failureDomain(h)))) return [];
      return chooseInPool(pool, items, input);
    });
  }
}

/** A host that is due for maintenance, and its wave. */
interface PendingHost {
  readonly host: Host;
  readonly wave: Wave;
}

/** Lists open waves, the earliest deadline first. */
export function listOpenWaves(state: State): Wave[] {
  return Object.values(state.waves)
    .filter(wave => wave.phase === 'open')
    .sort((a, b) => a.deadlineMs - b.deadlineMs);
}

/** Returns the failure domains in which host failures are correlated. */
function findLostDomains(state: State): Set<string> {
  const failed = new Map<string, number>();
  for (const id in state.hosts) {
    const host = state.hosts[id]!;
    if (host.phase !== 'failed') continue;
    const domain = failureDomain(host);
    failed.set(domain, (failed.get(domain) ?? 0) + 1);
  }
  const lost = [...failed].filter(
    ([, count]) => count >= MIN_CORRELATED_FAILURES,
  );
  return new Set(lost.map(([domain]) => domain));
}

/**
 * Groups pending hosts that may be taken down now by pool, in order of
 * deadline.
 */
function groupPendingByPool(
  waves: readonly Wave[],
  state: State,
): Map<string, PendingHost[]> {
  const pools = new Map<string, PendingHost[]>();
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

/** Whether the host is available, or failed and thus already out of service. */
export function canTakeDown(host: Host): boolean {
  return isAvailable(host) || host.phase === 'failed';
}

function chooseInPool(
  pool: PoolLoad,
  items: readonly PendingHost[],
  input: WaveInput,
): WaveProposal[] {
  const permitted = pool.hosts.find(host => host.permit);
  const domain = permitted
    ? failureDomain(permitted)
    : fullestDomain(pool, items);
  const candidates = items.filter(({host}) => failureDomain(host) === domain);
  const budget = pool.available - pool.minAvailable;
  const downCount = pool.hosts.filter(host => host.permit).length;
  const allowance =
    maxHostsDown(pool, candidates, budget + downCount, input) - downCount;
  return candidates
    .slice(0, Math.max(0, Math.min(budget, allowance)))
    .map(({host, wave}) => ({host: host.id, wave: wave.id}));
}

/**
 * Returns the failure domain with the most pending hosts of the earliest wave.
 * In a spare pool, which may have hosts of several domains under permits, it is
 * the domain of the first pending host.
 */
function fullestDomain(
  pool: PoolLoad,
  items: readonly PendingHost[],
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

/**
 * Returns how many hosts may be out of service at once. While the pool is short
 * of hosts, this is less the more share nearness weighs against roll-out time.
 */
function maxHostsDown(
  pool: PoolLoad,
  items: readonly PendingHost[],
  budget: number,
  {weights, nowMs}: WaveInput,
): number {
  const isDeadlineNear = items.some(
    ({wave}) => wave.deadlineMs - nowMs < NEAR_DEADLINE_MS,
  );
  if (isDeadlineNear || pool.demandHosts <= pool.available) return budget;
  const fraction = weightFraction(weights.rollOut, weights.shareNearness);
  return Math.max(1, Math.ceil(budget * fraction));
}
