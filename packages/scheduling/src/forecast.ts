/**
 * Forecasts when a pool will have worked off what waits for it. Answers a burst
 * of one queue: whether hosts that are on their way, on standby or unused
 * elsewhere come in time, or whether the queue only grows.
 */
import type {PoolHost} from './packing.js';
import type {PoolView} from './pools.js';

export interface PoolForecast {
  /**
   * Time from now, in milliseconds, until the pool has done what waits and can
   * be in time, and `workMs` core milliseconds more; infinite if it never has.
   */
  doneInMs(workMs: number): number;
  /** See `Demand.inflowCpuMillis`. */
  readonly inflowCpuMillis: number;
  /**
   * Capacity for tasks that end, in thousandths of a core, with hosts on their
   * way and without what other pools might spare.
   */
  readonly cpuMillis: number;
}

/** Capacity that a pool gains. */
interface Gain {
  /** Time from now. */
  readonly atMs: number;
  readonly cpuMillis: number;
}

/** Mean time until a task that runs now has ended. */
const RUNNING_MS = 600;
/** Mean time until a host that is on its way to a pool has arrived. */
const ARRIVAL_MS = 1000;
/** Time from the decision to move an idle host until it runs tasks. */
const MOVE_MS = 1700;
/** The same for a host that has to be emptied first. */
const EMPTY_AND_MOVE_MS = 3500;

/** Makes a forecast for each pool, by pool name. */
export function forecastPools(
  pools: readonly PoolView[],
): ReadonlyMap<string, PoolForecast> {
  const capacities = pools.map(measureCapacity);
  const idle = sum(capacities, each => each.idleCpuMillis);
  const emptied = sum(capacities, each => each.emptiedCpuMillis);
  // Pools that are short at the same time get equal parts of what others spare.
  const shortCount = capacities.filter(({isShort}) => isShort).length;
  const divisor = Math.max(1, shortCount);
  const forecasts = pools.map((pool, at): [string, PoolForecast] => {
    const own = capacities[at]!;
    const gains: Gain[] = [
      {atMs: 0, cpuMillis: own.freeCpuMillis},
      {atMs: RUNNING_MS, cpuMillis: own.runningCpuMillis},
      {atMs: ARRIVAL_MS, cpuMillis: own.arrivingCpuMillis},
      {atMs: MOVE_MS, cpuMillis: (idle - own.idleCpuMillis) / divisor},
      {
        atMs: EMPTY_AND_MOVE_MS,
        cpuMillis: (emptied - own.emptiedCpuMillis) / divisor,
      },
    ];
    const {inTimeWorkMs, inflowCpuMillis} = pool.demand;
    const forecast = {
      ...createForecast(gains, inTimeWorkMs),
      inflowCpuMillis,
      cpuMillis:
        own.freeCpuMillis + own.runningCpuMillis + own.arrivingCpuMillis,
    };
    return [pool.name, forecast];
  });
  return new Map(forecasts);
}

/** The capacity of a pool, and what it can spare for other pools. */
interface PoolCapacity {
  readonly freeCpuMillis: number;
  /** In use by tasks that end. */
  readonly runningCpuMillis: number;
  readonly arrivingCpuMillis: number;
  /** Of hosts that other pools can get at once. */
  readonly idleCpuMillis: number;
  /** Of hosts that other pools can get once these are empty. */
  readonly emptiedCpuMillis: number;
  /** Whether tasks that can be in time lack capacity. */
  readonly isShort: boolean;
}

function measureCapacity(pool: PoolView): PoolCapacity {
  const {standby, serving, arriving, demand} = pool;
  const total = sum(serving, ({capacity}) => capacity.cpuMillis);
  const arrivingCpuMillis = sum(arriving, ({capacity}) => capacity.cpuMillis);
  if (standby) {
    return {
      freeCpuMillis: 0,
      runningCpuMillis: 0,
      arrivingCpuMillis: 0,
      idleCpuMillis: total + arrivingCpuMillis,
      emptiedCpuMillis: 0,
      isShort: false,
    };
  }
  const free = sum(serving, freeCpuMillis);
  const waiting = sum(
    demand.waiting.filter(({late}) => !late),
    ({size, count}) => size.cpuMillis * count,
  );
  const movable = serving.filter(({pinned}) => !pinned);
  const movableTotal = sum(movable, ({capacity}) => capacity.cpuMillis);
  const needed = Math.max(waiting, demand.inflowCpuMillis);
  const idle = Math.max(
    0,
    Math.min(movableTotal, free - Math.max(waiting, needed - (total - free))),
  );
  return {
    freeCpuMillis: free,
    // The tasks that keep their hosts in the pool do not end.
    runningCpuMillis: sum(
      movable,
      host => host.capacity.cpuMillis - freeCpuMillis(host),
    ),
    arrivingCpuMillis,
    idleCpuMillis: idle,
    emptiedCpuMillis: Math.max(0, movableTotal - idle - needed),
    isShort: waiting > free,
  };
}

function freeCpuMillis({free}: PoolHost): number {
  return Math.max(0, free.cpuMillis);
}

function createForecast(
  gains: readonly Gain[],
  waitingWorkMs: number,
): Pick<PoolForecast, 'doneInMs'> {
  return {
    doneInMs(workMs) {
      let leftMs = waitingWorkMs + workMs;
      let cores = 0;
      for (const [at, {atMs, cpuMillis}] of gains.entries()) {
        cores += cpuMillis / 1000;
        const nextMs = gains[at + 1]?.atMs ?? Infinity;
        const neededMs = leftMs > 0 ? leftMs / cores : 0;
        if (atMs + neededMs <= nextMs) return atMs + neededMs;
        leftMs -= cores * (nextMs - atMs);
      }
      return Infinity;
    },
  };
}

function sum<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((total, item) => total + valueOf(item), 0);
}
