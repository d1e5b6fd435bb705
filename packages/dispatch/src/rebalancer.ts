/** Moves hosts between pools: only idle ones, one order at a time each. */
import type {Log} from '@lentildrift/observe';
import {
  ZERO_SIZE,
  subtract,
  workerKey,
  type HostOrder,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {
  measureDemand,
  NO_DEMAND,
  type Durations,
  type Load,
  type Move,
  type PoolHost,
  type PoolPolicy,
  type PoolView,
} from '@lentildrift/scheduling';
import type {Inventory} from './inventory.js';
import type {HostProvider, OrderIssuer, ProvidedHost} from './provider.js';

export interface RebalancerOptions {
  readonly policy: PoolPolicy;
  readonly provider: HostProvider;
  readonly inventory: Inventory;
  readonly issuer: OrderIssuer;
  readonly log: Log;
  state(): State;
  /** Makes the order known to the next leader; rejects if it cannot. */
  recordOrder(order: Omit<HostOrder, 'by'>): Promise<unknown>;
  /** Whether an order of an earlier leader may still be under way. */
  hasForeignOrder(host: string): boolean;
  isLeader(): boolean;
  /** The incarnation has ended with its host's move. */
  onWorkerGone(worker: string): void;
  /** Whether a wave empties the host or has it down. */
  isInWave(host: string): boolean;
  /** Whether the worker can get runs, apart from its host's duties. */
  isUsable(worker: Worker): boolean;
  /** Expected time until nothing runs on the worker. */
  emptyInMs(worker: string, load: Load): number;
  /** What is known of the durations of tasks. */
  durations(): Durations;
}

export interface Rebalancer {
  /** Whether the host gets no new runs because it is to be moved. */
  isCordoned(host: string): boolean;
  tick(load: Load): void;
  stop(): void;
}

/**
 * A host has to be idle this long before it may go to standby: a move costs
 * about as much as a second in a pool.
 */
const IDLE_MS = 600;
/** A start may be on its way to the record when a host is chosen. */
const SETTLE_MS = 150;
/** Longest wait for the tasks of a host that another pool needs. */
const EMPTYING_MS = 1500;
/** A host that does not appear in its new pool by then is looked up again. */
const ARRIVAL_MS = 4000;
const RETRY_MS = 500;
/** Interval of the log lines on the pools. */
const REPORT_MS = 1000;

const NO_POOLS: ReadonlySet<string> = new Set();

interface Transfer {
  readonly move: Move;
  readonly sinceMs: number;
  /** Incarnation that ran on the host before. */
  readonly worker: string | undefined;
  /** Whether the next leader would know of it. */
  recorded: boolean;
  phase: 'settling' | 'ordering' | 'moving';
  retryAtMs: number;
  orderedMs: number;
}

export function createRebalancer(options: RebalancerOptions): Rebalancer {
  const {inventory, log} = options;
  const transfers = new Map<string, Transfer>();
  const idleSince = new Map<string, number>();
  /** Pools that the provider has refused to let a host join. */
  const barred = new Map<string, ReadonlySet<string>>();
  let ended = false;
  let reportedMs = -Infinity;

  function tick(load: Load): void {
    inventory.refresh();
    const hosts = inventory.hosts();
    if (!hosts || ended) return;
    const byHost = workersByHost(options.state());
    inherit();
    for (const [host, transfer] of transfers) {
      advance(host, transfer, byHost, load);
    }
    const views = survey(hosts, byHost, load);
    report(views);
    for (const move of options.policy.decide(views)) {
      begin(move, byHost.get(move.host), load);
    }
  }

  /** Moves that an earlier leader ordered are held and ordered again. */
  function inherit(): void {
    for (const {host, to, done} of options.state().hostOrders.values()) {
      if (to === undefined || done || transfers.has(host)) continue;
      log.info('move-inherited', {host, to});
      transfers.set(host, {
        ...newTransfer({host, from: '', to}, undefined),
        recorded: true,
      });
    }
  }

  /** Sizes and demand of the pools, for the log. */
  function report(views: readonly PoolView[]): void {
    const nowMs = performance.now();
    if (nowMs - reportedMs < REPORT_MS) return;
    reportedMs = nowMs;
    for (const {name, serving, arriving, demand} of views) {
      const waitingMillis = demand.waiting.reduce(
        (sum, {size, count}) => sum + size.cpuMillis * count,
        0,
      );
      log.info('pool', {
        pool: name,
        serving: serving.length,
        idle: serving.filter(({idle}) => idle).length,
        arriving: arriving.length,
        reservedCores: Math.round(demand.reserved.cpuMillis / 1000),
        waitingCores: Math.round(waitingMillis / 1000),
        inflowCores: Math.round(demand.inflowCpuMillis / 1000),
        reservedMb: demand.reserved.memoryMb,
      });
    }
  }

  function survey(
    hosts: ReadonlyMap<string, ProvidedHost>,
    byHost: ReadonlyMap<string, Worker>,
    load: Load,
  ): PoolView[] {
    const {tables} = options.state();
    const demands = measureDemand(
      options.state(),
      load,
      Date.now(),
      options.durations(),
    );
    return tables.pools.map(({name, standby}) => ({
      name,
      standby,
      serving: servingIn(name, standby, hosts, byHost, load),
      arriving: arrivingIn(name, hosts),
      demand: demands.get(name) ?? NO_DEMAND,
    }));
  }

  function servingIn(
    pool: string,
    standby: boolean,
    hosts: ReadonlyMap<string, ProvidedHost>,
    byHost: ReadonlyMap<string, Worker>,
    load: Load,
  ): PoolHost[] {
    const serving: PoolHost[] = [];
    for (const host of hosts.values()) {
      const {id} = host;
      if (transfers.has(id) || options.isInWave(id)) continue;
      const guarded = options.hasForeignOrder(id);
      const worker = byHost.get(id);
      if (standby) {
        if (host.pool !== pool || host.state !== 'up') continue;
        if (worker || guarded) continue;
        serving.push({...emptyHost(host), idle: true});
        continue;
      }
      if (worker?.pool !== pool || !options.isUsable(worker)) continue;
      const key = workerKey(worker);
      serving.push({
        ...emptyHost(host),
        worker: key,
        free: subtract(host.capacity, load.byWorker.get(key) ?? ZERO_SIZE),
        idle: isIdle(id, worker, load),
        emptyInMs: options.emptyInMs(key, load),
        pinned: guarded || load.workersWithLongRunningTasks.has(key),
      });
    }
    return serving;
  }

  function arrivingIn(
    pool: string,
    hosts: ReadonlyMap<string, ProvidedHost>,
  ): PoolHost[] {
    const arriving: PoolHost[] = [];
    for (const [id, {move}] of transfers) {
      const host = hosts.get(id);
      if (move.to === pool && host) arriving.push(emptyHost(host));
    }
    return arriving;
  }

  function emptyHost({id, capacity, labels}: ProvidedHost): PoolHost {
    return {
      id,
      capacity,
      labels,
      free: capacity,
      idle: false,
      emptyInMs: 0,
      pinned: false,
      excludedPools: barred.get(id) ?? NO_POOLS,
    };
  }

  function isIdle(host: string, worker: Worker, load: Load): boolean {
    const nowMs = performance.now();
    if (load.byWorker.has(workerKey(worker))) {
      idleSince.delete(host);
      return false;
    }
    const since = idleSince.get(host) ?? nowMs;
    idleSince.set(host, since);
    return nowMs - since >= IDLE_MS;
  }

  function begin(move: Move, worker: Worker | undefined, load: Load): void {
    log.info('move-chosen', {...move});
    const transfer = newTransfer(move, worker && workerKey(worker));
    transfers.set(move.host, transfer);
    settle(move.host, transfer, load);
  }

  function advance(
    host: string,
    transfer: Transfer,
    byHost: ReadonlyMap<string, Worker>,
    load: Load,
  ): void {
    if (transfer.phase === 'settling') {
      settle(host, transfer, load);
      return;
    }
    if (transfer.phase !== 'moving') return;
    if (hasArrived(host, transfer, byHost.get(host))) {
      drop(host, 'arrived');
    }
  }

  function settle(host: string, transfer: Transfer, load: Load): void {
    const nowMs = performance.now();
    const {worker, sinceMs, recorded} = transfer;
    if (recorded && isThere(host, transfer.move.to, sinceMs)) {
      drop(host, 'arrived');
      return;
    }
    if (nowMs < transfer.retryAtMs || options.hasForeignOrder(host)) return;
    if (worker !== undefined && !recorded) {
      if (nowMs - sinceMs < SETTLE_MS) return;
      if (load.byWorker.has(worker)) {
        if (nowMs - sinceMs > EMPTYING_MS) drop(host, 'not empty in time');
        return;
      }
    }
    void order(host, transfer);
  }

  /** Whether a list that was asked for since then has the host in the pool. */
  function isThere(host: string, pool: string, sinceMs: number): boolean {
    if (inventory.requestedMs() < sinceMs) return false;
    const listed = inventory.hosts()?.get(host);
    return listed?.pool === pool && listed.state === 'up';
  }

  function hasArrived(
    host: string,
    {move, worker: before, orderedMs}: Transfer,
    worker: Worker | undefined,
  ): boolean {
    if (worker && workerKey(worker) !== before) return true;
    const listed = inventory.hosts()?.get(host);
    if (inventory.requestedMs() < orderedMs) return false;
    if (!listed) return true;
    if (listed.state === 'up' && listed.pool === move.to && !worker) {
      // In standby nothing announces itself.
      return listed.worker === '' || performance.now() - orderedMs > ARRIVAL_MS;
    }
    return performance.now() - orderedMs > 2 * ARRIVAL_MS;
  }

  async function order(host: string, transfer: Transfer): Promise<void> {
    transfer.phase = 'ordering';
    try {
      const {to} = transfer.move;
      // A process that was frozen finds out here that it no longer leads.
      await options.recordOrder({host, to, done: false, atMs: Date.now()});
      transfer.recorded = true;
      if (!options.isLeader() || ended) return;
      const answer = await options.provider.move(host, to, options.issuer);
      log.info('move-ordered', {...transfer.move, answer});
      if (answer === 'accepted') {
        transfer.phase = 'moving';
        transfer.orderedMs = performance.now();
        if (transfer.worker !== undefined) {
          options.onWorkerGone(transfer.worker);
        }
      } else if (answer === 'slow-down') {
        retry(transfer);
      } else {
        if (answer === 'refused') bar(host, to);
        drop(host, answer);
      }
    } catch (error) {
      // It may have been carried out: the host stays held, and the order is
      // repeated, which has no effect on a host that is there already.
      log.info('move-unanswered', {host, reason: (error as Error).message});
      retry(transfer);
    }
  }

  function retry(transfer: Transfer): void {
    transfer.phase = 'settling';
    transfer.retryAtMs = performance.now() + RETRY_MS;
  }

  function bar(host: string, pool: string): void {
    barred.set(host, new Set([...(barred.get(host) ?? NO_POOLS), pool]));
  }

  function drop(host: string, reason: string): void {
    log.info('move-ended', {host, reason});
    const {recorded, move} = transfers.get(host)!;
    transfers.delete(host);
    idleSince.delete(host);
    if (!recorded) return;
    const record = {host, to: move.to, done: true, atMs: Date.now()};
    options.recordOrder(record).catch((error: Error) =>
      // The next leader orders the move again, which changes nothing.
      log.info('host-order-unrecorded', {host, reason: error.message}),
    );
  }

  return {
    isCordoned: host => transfers.has(host),
    tick,
    stop() {
      ended = true;
    },
  };
}

function newTransfer(move: Move, worker: string | undefined): Transfer {
  return {
    move,
    sinceMs: performance.now(),
    worker,
    recorded: false,
    phase: 'settling',
    retryAtMs: 0,
    orderedMs: 0,
  };
}

function workersByHost(state: State): Map<string, Worker> {
  const byHost = new Map<string, Worker>();
  for (const worker of state.workers.values()) {
    if (worker.host === '' || worker.phase === 'gone') continue;
    const known = byHost.get(worker.host);
    if (!known || worker.bornMs > known.bornMs) byHost.set(worker.host, worker);
  }
  return byHost;
}
