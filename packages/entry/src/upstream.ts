/** The task that owns the connections, slots and health of upstreams. */
import {
  refuse,
  type Pool,
  type Refusal,
  type RosterRecord,
} from '@lentildrift/model';
import type {Task, TaskSystem} from '@lentildrift/task';
import type {Connection, Connector} from './connection.js';

/** An unreachable upstream is excluded from selection, with backoff. */
const FIRST_EXCLUSION_MS = 250;
const LONGEST_EXCLUSION_MS = 10_000;
const RETRY_AFTER_MS = 1000;

/** How the use of a lease ended, which determines the upstream's health. */
export type LeaseOutcome = 'reached' | 'unreachable' | 'unused';

/** A lease of one slot of an upstream, with a connection for one call. */
export interface Lease {
  readonly address: string;
  readonly host: string;
  readonly connection: Connection;
}

export type UpstreamMessage =
  | {
      type: 'acquire';
      candidates: readonly RosterRecord[];
      pool: Pool;
      /** Addresses that the call has already tried. */
      tried: readonly string[];
      answer: (result: Lease | Refusal) => void;
    }
  | {type: 'release'; lease: Lease; outcome: LeaseOutcome}
  /** Closes idle connections to all other addresses. */
  | {type: 'retain'; addresses: ReadonlySet<string>};

interface UpstreamState {
  incarnation: number;
  /** Leases that have not been released. */
  busy: number;
  readonly idle: Connection[];
  /** Consecutive failures to connect. */
  failures: number;
  /** No lease is granted before this time, on the monotonic clock. */
  excludedUntilMs: number;
}

interface UpstreamsState {
  /** Upstreams by address. */
  readonly upstreams: Map<string, UpstreamState>;
  /** Leases that have not been released, by host. */
  readonly busyByHost: Map<string, number>;
  /** Every connection that has not been destroyed. */
  readonly connections: Set<Connection>;
  readonly connector: Connector;
}

export function isLease(result: Lease | Refusal): result is Lease {
  return 'connection' in result;
}

/**
 * Creates the upstreams task. `random` returns numbers from 0 (inclusive) to 1
 * (exclusive) and picks the two candidates of `pickLessLoaded`.
 */
export function createUpstreams(
  tasks: TaskSystem,
  connector: Connector,
  random: () => number = Math.random,
): Task<UpstreamMessage> {
  return tasks.spawn<UpstreamsState, UpstreamMessage>({
    name: 'upstreams',
    initial: {
      upstreams: new Map(),
      busyByHost: new Map(),
      connections: new Set(),
      connector,
    },
    handle(state, message) {
      switch (message.type) {
        case 'acquire':
          message.answer(acquire(state, message, random));
          break;
        case 'release':
          release(state, message.lease, message.outcome);
          break;
        case 'retain':
          retain(state, message.addresses);
          break;
      }
      return state;
    },
    async afterStop(state) {
      await Promise.all([...state.connections].map(each => each.destroy()));
    },
  });
}

function acquire(
  state: UpstreamsState,
  message: UpstreamMessage & {type: 'acquire'},
  random: () => number,
): Lease | Refusal {
  const {candidates, pool, tried} = message;
  const now = performance.now();
  const reachable = candidates.filter(record => {
    const {address, incarnation} = record.announcement;
    if (tried.includes(address)) return false;
    return getUpstream(state, address, incarnation).excludedUntilMs <= now;
  });
  if (reachable.length === 0) {
    const text = `pool "${pool.name}" has no reachable upstream`;
    return refuse('no-upstream', text, {retryAfterMs: RETRY_AFTER_MS});
  }
  const free = reachable.filter(record => hasSlot(state, record, pool));
  if (free.length === 0) {
    const text = `every slot of pool "${pool.name}" is in use`;
    return refuse('overloaded', text, {retryAfterMs: RETRY_AFTER_MS});
  }
  return takeLease(state, pickLessLoaded(state, free, random));
}

function getUpstream(
  state: UpstreamsState,
  address: string,
  incarnation?: number,
): UpstreamState {
  let upstream = state.upstreams.get(address);
  if (!upstream) {
    upstream = {
      incarnation: 0,
      busy: 0,
      idle: [],
      failures: 0,
      excludedUntilMs: -Infinity,
    };
    state.upstreams.set(address, upstream);
  }
  // A restarted upstream has a higher incarnation and is no longer excluded.
  if (incarnation !== undefined && incarnation > upstream.incarnation) {
    upstream.incarnation = incarnation;
    upstream.failures = 0;
    upstream.excludedUntilMs = -Infinity;
  }
  return upstream;
}

function hasSlot(
  state: UpstreamsState,
  record: RosterRecord,
  pool: Pool,
): boolean {
  const {address, host} = record.announcement;
  const busy = state.busyByHost.get(host) ?? 0;
  if (busy >= pool.slotsPerHost) return false;
  return getUpstream(state, address).busy < pool.connectionsPerHost;
}

/**
 * Returns the less loaded of two random candidates. If every entry host chose
 * the least loaded candidate of all, their calls would pile up on one host.
 */
function pickLessLoaded(
  state: UpstreamsState,
  free: readonly RosterRecord[],
  random: () => number,
): RosterRecord {
  const first = Math.floor(random() * free.length);
  if (free.length === 1) return free[first]!;
  const step = 1 + Math.floor(random() * (free.length - 1));
  const one = free[first]!;
  const other = free[(first + step) % free.length]!;
  return countBusySlots(state, one) <= countBusySlots(state, other)
    ? one
    : other;
}

function countBusySlots(state: UpstreamsState, record: RosterRecord): number {
  return state.busyByHost.get(record.announcement.host) ?? 0;
}

function takeLease(state: UpstreamsState, record: RosterRecord): Lease {
  const {address, host} = record.announcement;
  const upstream = getUpstream(state, address);
  upstream.busy += 1;
  state.busyByHost.set(host, countBusySlots(state, record) + 1);
  // The connection used most recently is the least likely to be closed.
  const connection = upstream.idle.pop() ?? state.connector.connect(address);
  state.connections.add(connection);
  return {address, host, connection};
}

function release(
  state: UpstreamsState,
  lease: Lease,
  outcome: LeaseOutcome,
): void {
  const upstream = getUpstream(state, lease.address);
  upstream.busy -= 1;
  const {connection} = lease;
  if (connection.destroyed) state.connections.delete(connection);
  else upstream.idle.push(connection);
  const busy = (state.busyByHost.get(lease.host) ?? 1) - 1;
  if (busy === 0) state.busyByHost.delete(lease.host);
  else state.busyByHost.set(lease.host, busy);
  if (outcome === 'unreachable') exclude(upstream);
  if (outcome === 'reached') upstream.failures = 0;
}

function exclude(upstream: UpstreamState): void {
  const now = performance.now();
  // Concurrent calls that fail count as one failure.
  if (upstream.excludedUntilMs > now) return;
  const delay = FIRST_EXCLUSION_MS * 2 ** upstream.failures;
  upstream.excludedUntilMs = now + Math.min(delay, LONGEST_EXCLUSION_MS);
  upstream.failures = Math.min(upstream.failures + 1, 16);
}

function retain(state: UpstreamsState, addresses: ReadonlySet<string>): void {
  for (const [address, upstream] of state.upstreams) {
    if (addresses.has(address)) continue;
    for (const connection of upstream.idle.splice(0)) {
      state.connections.delete(connection);
      void connection.destroy();
    }
    if (upstream.busy === 0) state.upstreams.delete(address);
  }
}
