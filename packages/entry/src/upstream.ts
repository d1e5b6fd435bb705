/** The task that owns the connections to upstreams, their slots and health. */
import {
  refuse,
  type Pool,
  type Refusal,
  type RosterRecord,
} from '@lentildrift/model';
import type {Task, TaskSystem} from '@lentildrift/task';
import type {Connection, Connector} from './connection.js';

const FIRST_EXCLUSION_MS = 250;
const LONGEST_EXCLUSION_MS = 10_000;
const RETRY_AFTER_MS = 1000;

/** How a use of a lease ended, for the upstream's health. */
export type LeaseOutcome = 'reached' | 'unreachable' | 'unused';

/** One slot of an upstream, with a connection of its own. */
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
      /** Addresses that this call has tried already. */
      tried: readonly string[];
      answer: (result: Lease | Refusal) => void;
    }
  | {type: 'release'; lease: Lease; outcome: LeaseOutcome}
  /** Closes idle connections to all other addresses. */
  | {type: 'retain'; addresses: ReadonlySet<string>};

interface UpstreamState {
  incarnation: number;
  busy: number;
  readonly idle: Connection[];
  failures: number;
  excludedUntilMs: number;
}

interface UpstreamsState {
  readonly upstreams: Map<string, UpstreamState>;
  readonly busyByHost: Map<string, number>;
  /** Every connection that has not been destroyed. */
  readonly connections: Set<Connection>;
  readonly connector: Connector;
}

export function isLease(result: Lease | Refusal): result is Lease {
  return 'connection' in result;
}

/** `random` yields numbers from 0 up to 1 for the choice of two. */
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
  let found = state.upstreams.get(address);
  if (!found) {
    found = {
      incarnation: 0,
      busy: 0,
      idle: [],
      failures: 0,
      excludedUntilMs: -Infinity,
    };
    state.upstreams.set(address, found);
  }
  // A restarted upstream is tried at once.
  if (incarnation !== undefined && incarnation > found.incarnation) {
    found.incarnation = incarnation;
    found.failures = 0;
    found.excludedUntilMs = -Infinity;
  }
  return found;
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

/** The less loaded of two at random, which avoids herds on the least loaded. */
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
  return busySlots(state, one) <= busySlots(state, other) ? one : other;
}

function busySlots(state: UpstreamsState, record: RosterRecord): number {
  return state.busyByHost.get(record.announcement.host) ?? 0;
}

function takeLease(state: UpstreamsState, record: RosterRecord): Lease {
  const {address, host} = record.announcement;
  const held = getUpstream(state, address);
  held.busy += 1;
  state.busyByHost.set(host, busySlots(state, record) + 1);
  // The connection used last is the least likely to have been closed.
  const connection = held.idle.pop() ?? state.connector.connect(address);
  state.connections.add(connection);
  return {address, host, connection};
}

function release(
  state: UpstreamsState,
  lease: Lease,
  outcome: LeaseOutcome,
): void {
  const held = getUpstream(state, lease.address);
  held.busy -= 1;
  const {connection} = lease;
  if (connection.destroyed) state.connections.delete(connection);
  else held.idle.push(connection);
  const busy = (state.busyByHost.get(lease.host) ?? 1) - 1;
  if (busy === 0) state.busyByHost.delete(lease.host);
  else state.busyByHost.set(lease.host, busy);
  if (outcome === 'unreachable') exclude(held);
  if (outcome === 'reached') held.failures = 0;
}

function exclude(held: UpstreamState): void {
  const now = performance.now();
  // Calls that failed together count as one failure.
  if (held.excludedUntilMs > now) return;
  const delay = FIRST_EXCLUSION_MS * 2 ** held.failures;
  held.excludedUntilMs = now + Math.min(delay, LONGEST_EXCLUSION_MS);
  held.failures = Math.min(held.failures + 1, 16);
}

function retain(state: UpstreamsState, addresses: ReadonlySet<string>): void {
  for (const [address, held] of state.upstreams) {
    if (addresses.has(address)) continue;
    for (const connection of held.idle.splice(0)) {
      state.connections.delete(connection);
      void connection.destroy();
    }
    if (held.busy === 0) state.upstreams.delete(address);
  }
}
