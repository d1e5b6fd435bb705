/**
 * Moves empty hosts between pools, with at most one order in flight per host.
 */
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
  type Fleet,
  type Load,
  type Move,
  type PoolHost,
  type PoolPolicy,
  type PoolView,
  type StateView,
} from '@lentildrift/scheduling';
import type {MoveStage} from './instruments.js';
import type {Inventory} from './inventory.js';
import type {HostProvider, OrderIssuer, ProvidedHost} from './provider.js';

export interface RebalancerOptions {
  readonly policy: PoolPolicy;
  readonly provider: HostProvider;
  readonly inventory: Inventory;
  readonly issuer: OrderIssuer;
  readonly log: Log;
  state(): State;
  /**
   * Records the order, for the next leader; rejects if it was not recorded.
   * Records are committed in the order of the calls.
   */
  recordOrder(order: Omit<HostOrder, 'by'>): Promise<unknown>;
  /**
   * Whether an order of an earlier leader to the host may still be in flight.
   */
  hasForeignOrder(host: string): boolean;
  isLeader(): boolean;
  /** Counts a move that has come to this stage. */
  recordMove(stage: MoveStage, outcome: string): void;
  /**
   * Called when a worker incarnation has ended because its host moves, and again
   * until the worker is removed.
   */
  onWorkerGone(worker: string): void;
  /** Whether the host is being emptied or is down for a maintenance wave. */
  isInWave(host: string): boolean;
  /**
   * Whether the worker can get runs, unless a move or the maintenance of its
   * host prevents that.
   */
  isUsable(worker: Worker): boolean;
  /** Keys of the workers that get no runs because runs failed on them. */
  avoidedWorkers(): ReadonlySet<string>;
  /** Whether a run on the worker is decided and not yet in the state. */
  hasPendingStart(worker: string): boolean;
  /** Expected time until all runs on the worker have ended. */
  emptyInMs(worker: string, load: Load): number;
  /** The durations of tasks learnt so far. */
  durations(): Durations;
}

export interface Rebalancer {
  /** Whether the host gets no new runs because it is to move. */
  isCordoned(host: string): boolean;
  /**
   * Advances the moves in progress and begins those that the policy chooses.
   */
  tick(view: StateView): void;
  stop(): void;
}

/**
 * How long a host must be idle before it may move to standby. A move costs
 * about as much as one second of the host in a pool.
 */
const MIN_IDLE_MS = 600;
/** Longest wait for the runs on a host to end that another pool needs. */
const MAX_EMPTYING_MS = 1500;
/**
 * How long a host may take to appear with a worker in its new pool. After that
 * the move ends, and the host is again treated as the provider lists it.
 */
const ARRIVAL_TIMEOUT_MS = 4000;
/** Pause before an order without an answer or with `slow-down` is repeated. */
const RETRY_PAUSE_MS = 500;
/** Interval of the log lines about the pools. */
const REPORT_INTERVAL_MS = 1000;

const NO_POOLS: ReadonlySet<string> = new Set();

/** A move in progress. Times are monotonic. */
interface OngoingMove {
  readonly move: Move;
  /** Time at which the move was chosen or adopted. */
  readonly sinceMs: number;
  /** Key of the worker incarnation on the host before the move. */
  readonly formerWorker: string | undefined;
  /** Whether the order is in the replicated state. */
  isRecorded: boolean;
  /** `waiting`: the order must not be sent yet. */
  phase: 'waiting' | 'ordering' | 'moving';
  /** Earliest time of the next order. */
  retryAtMs: number;
  /** Time at which the host provider accepted the order. */
  orderedMs: number;
}

export function createRebalancer(options: RebalancerOptions): Rebalancer {
  const {inventory, log} = options;
  /** By host. */
  const ongoingMoves = collectRecordedMoves(options);
  /** Hosts whose last move has ended and whose record of this is undecided. */
  const endsBeingRecorded = new Set<string>();
  /** Monotonic time since which a host has been idle, by host. */
  const idleSinceMs = new Map<string, number>();
  /** Pools that the provider refused to move a host to, by host. */
  const excludedPools = new Map<string, ReadonlySet<string>>();
  let isStopped = false;
  /** Monotonic time of the last log lines about the pools. */
  let poolsLoggedMs = -Infinity;

  function tick(view: StateView): void {
    const {load, fleet} = view;
    inventory.refresh();
    const hosts = inventory.hosts();
    if (!hosts || isStopped) return;
    for (const [host, ongoing] of ongoingMoves) {
      advanceMove(host, ongoing, fleet, load);
    }
    recordEnds();
    const views = collectPoolViews(hosts, view);
    logPools(views);
    for (const move of options.policy.decide(views)) {
      beginMove(move, fleet.newestOn(move.host), load);
    }
  }

  /**
   * Records the end of each move that the state still lists as unfinished. A
   * rejected record is repeated, unless the host has begun its next move, which
   * replaces it.
   */
  function recordEnds(): void {
    for (const {host, to, done} of options
      .state()
      .hostOrders.unorderedValues()) {
      if (to === undefined || done || ongoingMoves.has(host)) continue;
      if (!endsBeingRecorded.has(host)) void recordEnd(host, to);
    }
  }

  async function recordEnd(host: string, to: string): Promise<void> {
    endsBeingRecorded.add(host);
    try {
      await options.recordOrder({host, to, done: true, atMs: Date.now()});
    } catch (error) {
      const reason = (error as Error).message;
      log.info('host-order-unrecorded', {host, reason});
    }
    endsBeingRecorded.delete(host);
  }

  /** Logs the sizes and the demand of the pools at intervals. */
  function logPools(views: readonly PoolView[]): void {
    const nowMs = performance.now();
    if (nowMs - poolsLoggedMs < REPORT_INTERVAL_MS) return;
    poolsLoggedMs = nowMs;
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

  function collectPoolViews(
    hosts: ReadonlyMap<string, ProvidedHost>,
    view: StateView,
  ): PoolView[] {
    const {tables} = options.state();
    const demands = measureDemand(
      options.state(),
      view.load,
      view.backlog,
      Date.now(),
      options.durations(),
    );
    const views = tables.pools.map(({name, standby}) => ({
      name,
      standby,
      serving: [] as PoolHost[],
      arriving: [] as PoolHost[],
      demand: demands.get(name) ?? NO_DEMAND,
    }));
    const byName = new Map(views.map(pool => [pool.name, pool]));
    const avoided = options.avoidedWorkers();
    for (const host of hosts.values()) {
      const serving = findServingHost(host, view, byName, avoided);
      if (serving) byName.get(serving.pool)!.serving.push(serving.host);
    }
    for (const [id, {move}] of ongoingMoves) {
      const host = hosts.get(id);
      if (host) byName.get(move.to)?.arriving.push(toPoolHost(host));
    }
    return views;
  }

  /**
   * The host with the pool that it serves, in which it can get runs or, if the
   * pool is a standby pool, can be moved; undefined if there is none.
   */
  function findServingHost(
    host: ProvidedHost,
    {load, fleet}: StateView,
    pools: ReadonlyMap<string, {readonly standby: boolean}>,
    avoided: ReadonlySet<string>,
  ): {pool: string; host: PoolHost} | undefined {
    const {id} = host;
    if (ongoingMoves.has(id) || options.isInWave(id)) return undefined;
    const worker = fleet.newestOn(id);
    if (!worker) {
      if (!pools.get(host.pool)?.standby || host.state !== 'up')
        return undefined;
      if (options.hasForeignOrder(id)) return undefined;
      return {pool: host.pool, host: {...toPoolHost(host), idle: true}};
    }
    const pool = pools.get(worker.pool);
    if (!pool || pool.standby || !options.isUsable(worker)) return undefined;
    const key = workerKey(worker);
    const {capacity, labels} = host;
    const reserved = load.byWorker.get(key) ?? ZERO_SIZE;
    const isAvoided = avoided.has(key);
    // Built for every host on each tick, hence without a copy of another object.
    const poolHost: PoolHost = {
      id,
      worker: key,
      capacity,
      free: isAvoided ? ZERO_SIZE : subtract(capacity, reserved),
      labels,
      idle: isIdle(id, worker, load),
      emptyInMs: options.emptyInMs(key, load),
      // A worker that is avoided is of no use to another pool either.
      pinned:
        isAvoided ||
        options.hasForeignOrder(id) ||
        load.workersWithLongRunningTasks.has(key),
      excludedPools: excludedPools.get(id) ?? NO_POOLS,
    };
    return {pool: worker.pool, host: poolHost};
  }

  /** The host as the policy sees it while nothing runs on it. */
  function toPoolHost({id, capacity, labels}: ProvidedHost): PoolHost {
    return {
      id,
      capacity,
      labels,
      free: capacity,
      idle: false,
      emptyInMs: 0,
      pinned: false,
      excludedPools: excludedPools.get(id) ?? NO_POOLS,
    };
  }

  /** Whether the worker has no runs, and gets none once its host is cordoned. */
  function isEmpty(worker: string, load: Load): boolean {
    return !load.byWorker.has(worker) && !options.hasPendingStart(worker);
  }

  /** Whether the worker has had no runs for `MIN_IDLE_MS`. */
  function isIdle(host: string, worker: Worker, load: Load): boolean {
    const nowMs = performance.now();
    if (!isEmpty(workerKey(worker), load)) {
      idleSinceMs.delete(host);
      return false;
    }
    const since = idleSinceMs.get(host) ?? nowMs;
    idleSinceMs.set(host, since);
    return nowMs - since >= MIN_IDLE_MS;
  }

  function beginMove(move: Move, worker: Worker | undefined, load: Load): void {
    log.info('move-chosen', {...move});
    options.recordMove('chosen', 'chosen');
    const ongoing = createOngoingMove(move, worker && workerKey(worker));
    ongoingMoves.set(move.host, ongoing);
    orderIfReady(move.host, ongoing, load);
  }

  function advanceMove(
    host: string,
    ongoing: OngoingMove,
    fleet: Fleet,
    load: Load,
  ): void {
    if (ongoing.phase === 'waiting') {
      orderIfReady(host, ongoing, load);
      return;
    }
    if (ongoing.phase !== 'moving') return;
    const worker = fleet.newestOn(host);
    if (worker && workerKey(worker) === ongoing.formerWorker) {
      options.onWorkerGone(ongoing.formerWorker);
    }
    if (isMoveOver(host, ongoing, worker)) {
      endMove(host, 'arrived');
    }
  }

  /** Orders the move once the host is empty and no other order is in flight. */
  function orderIfReady(host: string, ongoing: OngoingMove, load: Load): void {
    const nowMs = performance.now();
    const {formerWorker, sinceMs, isRecorded} = ongoing;
    if (isRecorded && isListedIn(host, ongoing.move.to, sinceMs)) {
      endMove(host, 'arrived');
      return;
    }
    if (nowMs < ongoing.retryAtMs || options.hasForeignOrder(host)) return;
    if (formerWorker !== undefined && !isRecorded) {
      if (!isEmpty(formerWorker, load)) {
        if (nowMs - sinceMs > MAX_EMPTYING_MS)
          endMove(host, 'not empty in time');
        return;
      }
    }
    void orderMove(host, ongoing);
  }

  /** Whether a list requested after `sinceMs` shows the host up in the pool. */
  function isListedIn(host: string, pool: string, sinceMs: number): boolean {
    if (inventory.requestedMs() < sinceMs) return false;
    const listed = inventory.hosts()?.get(host);
    return listed?.pool === pool && listed.state === 'up';
  }

  /** Whether the host has completed its move, or is no longer expected to. */
  function isMoveOver(
    host: string,
    {move, formerWorker, orderedMs}: OngoingMove,
    worker: Worker | undefined,
  ): boolean {
    if (worker && workerKey(worker) !== formerWorker) return true;
    const listed = inventory.hosts()?.get(host);
    if (inventory.requestedMs() < orderedMs) return false;
    if (!listed) return true;
    if (listed.state === 'up' && listed.pool === move.to && !worker) {
      // No worker announces itself in standby; elsewhere one may still do so.
      return (
        listed.worker === '' ||
        performance.now() - orderedMs > ARRIVAL_TIMEOUT_MS
      );
    }
    return performance.now() - orderedMs > 2 * ARRIVAL_TIMEOUT_MS;
  }

  async function orderMove(host: string, ongoing: OngoingMove): Promise<void> {
    ongoing.phase = 'ordering';
    try {
      const {to} = ongoing.move;
      // The commit shows a process that was frozen that it no longer leads.
      await options.recordOrder({host, to, done: false, atMs: Date.now()});
      ongoing.isRecorded = true;
      if (isStopped) return;
      // The leadership may be confirmed again, so the move is not dropped.
      if (!options.isLeader()) {
        scheduleRetry(ongoing);
        return;
      }
      const answer = await options.provider.move(host, to, options.issuer);
      log.info('move-ordered', {...ongoing.move, answer});
      options.recordMove('ordered', answer);
      if (answer === 'accepted') {
        ongoing.phase = 'moving';
        ongoing.orderedMs = performance.now();
        if (ongoing.formerWorker !== undefined) {
          options.onWorkerGone(ongoing.formerWorker);
        }
      } else if (answer === 'slow-down') {
        scheduleRetry(ongoing);
      } else {
        if (answer === 'refused') excludePool(host, to);
        endMove(host, answer);
      }
    } catch (error) {
      // The order may have been carried out. The host therefore stays cordoned
      // and the order is repeated, which has no effect on a host already in the
      // pool.
      log.info('move-unanswered', {host, reason: (error as Error).message});
      options.recordMove('ordered', 'unanswered');
      scheduleRetry(ongoing);
    }
  }

  function scheduleRetry(ongoing: OngoingMove): void {
    ongoing.phase = 'waiting';
    ongoing.retryAtMs = performance.now() + RETRY_PAUSE_MS;
  }

  function excludePool(host: string, pool: string): void {
    excludedPools.set(
      host,
      new Set([...(excludedPools.get(host) ?? NO_POOLS), pool]),
    );
  }

  /** Ends the move; the next tick records its end if the order was recorded. */
  function endMove(host: string, reason: string): void {
    log.info('move-ended', {host, reason});
    options.recordMove('ended', reason);
    ongoingMoves.delete(host);
    idleSinceMs.delete(host);
  }

  return {
    isCordoned: host => ongoingMoves.has(host),
    tick,
    stop() {
      isStopped = true;
    },
  };
}

/**
 * Returns the unfinished moves that earlier leaders recorded, to order them
 * again. They are read once, before this leader records moves of its own: later
 * the state lags behind this leader's moves, so an unfinished move in it may
 * have ended.
 */
function collectRecordedMoves({
  state,
  log,
  recordMove,
}: RebalancerOptions): Map<string, OngoingMove> {
  const moves = new Map<string, OngoingMove>();
  for (const {host, to, done} of state().hostOrders.values()) {
    if (to === undefined || done) continue;
    log.info('move-inherited', {host, to});
    recordMove('adopted', 'adopted');
    moves.set(host, {
      ...createOngoingMove({host, from: '', to}, undefined),
      isRecorded: true,
    });
  }
  return moves;
}

function createOngoingMove(
  move: Move,
  worker: string | undefined,
): OngoingMove {
  return {
    move,
    sinceMs: performance.now(),
    formerWorker: worker,
    isRecorded: false,
    phase: 'waiting',
    retryAtMs: 0,
    orderedMs: 0,
  };
}
