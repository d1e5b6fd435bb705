/** Moves hosts between pools, as the pool policy decides. */
import type {
  PoolPolicy,
  PoolView,
  StateView,
  WaitingTasks,
} from '@lentildrift/scheduling';
import {
  createHostMoves,
  type HostMoves,
  type HostMovesOptions,
} from './host-moves.js';
import {createMoveRecords, type MoveRecordsOptions} from './move-records.js';
import {
  createPoolViews,
  type PoolViews,
  type PoolViewsOptions,
} from './pool-views.js';

/** The options of the rebalancer's parts, except those parts themselves. */
export interface RebalancerOptions
  extends
    MoveRecordsOptions,
    Omit<HostMovesOptions, 'records' | 'onEnded'>,
    Omit<PoolViewsOptions, 'moves'> {
  readonly policy: PoolPolicy;
  /** Called with the pools before each decision about them. */
  onPools(pools: readonly PoolView[]): void;
  /** Tasks that are going to need room in a pool, by pool. */
  nextStops(): ReadonlyMap<string, readonly WaitingTasks[]>;
}

export interface Rebalancer {
  /** Whether the host gets no new runs because it is to move. */
  isCordoned(host: string): boolean;
  /** Advances the moves in progress. */
  advance(view: StateView): void;
  /** Begins the moves that the policy chooses. */
  rebalance(view: StateView): void;
  stop(): void;
}

/** Interval of the log lines about the pools. */
const REPORT_INTERVAL_MS = 1000;

export function createRebalancer(options: RebalancerOptions): Rebalancer {
  const {inventory, log} = options;
  const moves: HostMoves = createHostMoves({
    ...options,
    records: createMoveRecords(options),
    onEnded: host => poolViews.resetIdleTime(host),
  });
  const poolViews: PoolViews = createPoolViews({...options, moves});
  let isStopped = false;
  /** Monotonic time of the last log lines about the pools. */
  let poolsLoggedMs = -Infinity;

  function advance(view: StateView): void {
    inventory.refresh();
    if (inventory.hosts() && !isStopped) moves.advance(view);
  }

  function rebalance(view: StateView): void {
    const hosts = inventory.hosts();
    if (!hosts || isStopped) return;
    const pools = poolViews.collect(hosts, view);
    logPools(pools);
    options.onPools(pools);
    const decided = options.policy.decide(withNextStops(pools));
    for (const move of decided) moves.begin(move, view);
  }

  /** The pools with the room that tasks need which are about to be stopped. */
  function withNextStops(pools: readonly PoolView[]): readonly PoolView[] {
    const nextStops = options.nextStops();
    if (nextStops.size === 0) return pools;
    return pools.map(pool => {
      const tasks = nextStops.get(pool.name);
      if (!tasks) return pool;
      const waiting = [...pool.demand.waiting, ...tasks];
      return {...pool, demand: {...pool.demand, waiting}};
    });
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

  return {
    isCordoned: moves.isMoving,
    advance,
    rebalance,
    stop() {
      isStopped = true;
      moves.stop();
    },
  };
}
