/**
 * Decides through which control process the leader calls a worker.
 *
 * A worker keeps its relay while the relay works. A relay that leaves a call
 * unanswered is not used for a while; one call then tries whether it works
 * again, so that a frozen relay does not cost every worker another call.
 */
import type {Log} from '@lentildrift/observe';
import type {Target} from './driver.js';
import type {Peer} from './mesh.js';

/** Time for which a relay that left a call unanswered is not used. */
export const RELAY_PAUSE_MS = 3000;
/**
 * Time for which a worker is called directly after a single call through its
 * relay has failed and a direct one was answered. The answer of the first call
 * may just have been lost. Long enough for a direct hold that renews the lease.
 */
const SINGLE_FAILURE_PERIOD_MS = 500;
/**
 * The same after two such failures in a row, which show that the relay cannot
 * reach the worker. Doubles, up to the maximum, with each further one.
 */
export const DIRECT_PERIOD_MS = 3000;
const MAX_DIRECT_PERIOD_MS = 24_000;
/** Workers that are not called for this long no longer count. */
const WORKER_IDLE_MS = 30_000;
const SWEEP_INTERVAL_MS = 10_000;
/**
 * A relay in the data centre of the worker is preferred unless it has twice as
 * many workers as the least used relay and this number more.
 */
const IMBALANCE_WORKERS = 16;

export interface RelayChoiceOptions {
  /** The control processes that may be used, by address. */
  peers(): ReadonlyMap<string, Peer>;
  /** Largest number of workers that are all called without a relay. */
  readonly maxDirectWorkers: number;
  readonly log: Log;
}

export interface RelayChoice {
  /** Relay of the next call to the worker; undefined if there is none. */
  choose(target: Target): Peer | undefined;
  /** Notes that the worker answered a call that was made without a relay. */
  recordDirectAnswer(target: Target): void;
  /** Notes that the relay reported the worker's answer. */
  recordAnswer(target: Target, relay: Peer): void;
  /** Notes that the relay reported that it got no answer of the worker. */
  recordFailure(target: Target, relay: Peer): void;
  /**
   * Notes that the relay did not answer a call that was made at `sentMs`. A
   * relay that has answered other calls meanwhile is slow and is used further.
   */
  recordNoAnswer(
    target: Target,
    relay: Peer,
    sentMs: number,
    reason: string,
  ): void;
  forget(target: Target): void;
}

interface WorkerEntry {
  /** Address of the worker's relay. */
  relay: string | undefined;
  /** Monotonic time until which the worker is called directly. */
  directUntilMs: number;
  /** Failures in a row after which the worker answered a direct call. */
  relayFailures: number;
  /** Whether no direct call was answered since the last failure. */
  awaitsDirectAnswer: boolean;
  lastCallMs: number;
}

interface RelayEntry {
  workers: number;
  /** `trial`: one call is on its way to see whether the relay works again. */
  state: 'used' | 'paused' | 'trial';
  pausedUntilMs: number;
  /** Monotonic time of the last answer. */
  answeredMs: number;
}

export function createRelayChoice({
  peers,
  maxDirectWorkers,
  log,
}: RelayChoiceOptions): RelayChoice {
  const workers = new Map<string, WorkerEntry>();
  const relays = new Map<string, RelayEntry>();
  /** Number of relays whose state is not `used`. */
  let pausedCount = 0;
  let nextSweepMs = 0;

  function choose(target: Target): Peer | undefined {
    const nowMs = performance.now();
    if (nowMs >= nextSweepMs) sweep(nowMs);
    const worker = getWorker(target);
    worker.lastCallMs = nowMs;
    if (workers.size <= maxDirectWorkers) return undefined;
    if (nowMs < worker.directUntilMs) return undefined;
    const trial = pausedCount > 0 ? findTrial(nowMs) : undefined;
    if (trial) return trial;
    const assigned =
      worker.relay === undefined ? undefined : peers().get(worker.relay);
    if (assigned && isUsed(assigned)) return assigned;
    release(worker);
    const relay = pick(target);
    if (relay) {
      worker.relay = relay.address;
      getRelay(relay.address).workers++;
    }
    return relay;
  }

  function getWorker(target: Target): WorkerEntry {
    const key = keyOf(target);
    const known = workers.get(key);
    if (known) return known;
    const created: WorkerEntry = {
      relay: undefined,
      directUntilMs: 0,
      relayFailures: 0,
      awaitsDirectAnswer: false,
      lastCallMs: 0,
    };
    workers.set(key, created);
    return created;
  }

  function getRelay(address: string): RelayEntry {
    const known = relays.get(address);
    if (known) return known;
    const created: RelayEntry = {
      workers: 0,
      state: 'used',
      pausedUntilMs: 0,
      answeredMs: -Infinity,
    };
    relays.set(address, created);
    return created;
  }

  function isUsed({address}: Peer): boolean {
    return getRelay(address).state === 'used';
  }

  /** Returns a relay whose pause is over, and marks it as being tried. */
  function findTrial(nowMs: number): Peer | undefined {
    for (const peer of peers().values()) {
      const relay = getRelay(peer.address);
      if (relay.state !== 'paused' || nowMs < relay.pausedUntilMs) continue;
      relay.state = 'trial';
      return peer;
    }
    return undefined;
  }

  function pick({dataCentre}: Target): Peer | undefined {
    let least: Peer | undefined;
    let near: Peer | undefined;
    for (const peer of peers().values()) {
      if (!isUsed(peer)) continue;
      if (!least || countOf(peer) < countOf(least)) least = peer;
      if (peer.dataCentre !== dataCentre) continue;
      if (!near || countOf(peer) < countOf(near)) near = peer;
    }
    if (!least || !near) return least;
    return countOf(near) <= 2 * countOf(least) + IMBALANCE_WORKERS
      ? near
      : least;
  }

  function countOf({address}: Peer): number {
    return getRelay(address).workers;
  }

  function release(worker: WorkerEntry): void {
    if (worker.relay !== undefined) getRelay(worker.relay).workers--;
    worker.relay = undefined;
  }

  /**
   * Removes what is no longer in use, and takes workers away from relays that
   * have far more than others, as after the start of another relay.
   */
  function sweep(nowMs: number): void {
    nextSweepMs = nowMs + SWEEP_INTERVAL_MS;
    for (const [key, worker] of workers) {
      if (nowMs - worker.lastCallMs > WORKER_IDLE_MS) remove(key, worker);
    }
    const open = peers();
    for (const [address, relay] of relays) {
      if (open.has(address) || relay.workers > 0) continue;
      if (relay.state !== 'used') pausedCount--;
      relays.delete(address);
    }
    const counts = [...open.values()].filter(isUsed).map(countOf);
    const limit = 2 * Math.min(...counts) + 2 * IMBALANCE_WORKERS;
    for (const worker of workers.values()) {
      if (worker.relay === undefined) continue;
      if (getRelay(worker.relay).workers > limit) release(worker);
    }
  }

  function remove(key: string, worker: WorkerEntry): void {
    release(worker);
    workers.delete(key);
  }

  function confirm({address}: Peer): void {
    const relay = getRelay(address);
    relay.answeredMs = performance.now();
    if (relay.state !== 'trial') return;
    relay.state = 'used';
    pausedCount--;
    log.info('relay-resumed', {relay: address});
  }

  function callDirectly(target: Target): void {
    const worker = workers.get(keyOf(target));
    if (!worker) return;
    worker.awaitsDirectAnswer = true;
    worker.directUntilMs = performance.now() + DIRECT_PERIOD_MS;
  }

  return {
    choose,
    recordDirectAnswer(target) {
      const worker = workers.get(keyOf(target));
      if (!worker?.awaitsDirectAnswer) return;
      worker.awaitsDirectAnswer = false;
      const periodMs = directPeriodMs(++worker.relayFailures);
      worker.directUntilMs = performance.now() + periodMs;
    },
    recordAnswer(target, relay) {
      confirm(relay);
      const worker = workers.get(keyOf(target));
      if (worker) worker.relayFailures = 0;
    },
    recordFailure(target, relay) {
      confirm(relay);
      callDirectly(target);
    },
    recordNoAnswer(target, peer, sentMs, reason) {
      const relay = getRelay(peer.address);
      const isSlow =
        relay.state === 'used' &&
        relay.answeredMs > sentMs &&
        peer.link.isOpen();
      if (isSlow) {
        callDirectly(target);
        return;
      }
      if (relay.state === 'used') {
        pausedCount++;
        log.info('relay-paused', {relay: peer.address, reason});
      }
      relay.state = 'paused';
      relay.pausedUntilMs = performance.now() + RELAY_PAUSE_MS;
    },
    forget(target) {
      const key = keyOf(target);
      const worker = workers.get(key);
      if (worker) remove(key, worker);
    },
  };
}

/** `failures` is the number in a row, see `WorkerEntry.relayFailures`. */
function directPeriodMs(failures: number): number {
  if (failures === 1) return SINGLE_FAILURE_PERIOD_MS;
  return Math.min(DIRECT_PERIOD_MS * 2 ** (failures - 2), MAX_DIRECT_PERIOD_MS);
}

function keyOf({id, address}: Target): string {
  return `${id} ${address}`;
}
