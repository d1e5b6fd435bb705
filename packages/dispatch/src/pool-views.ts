/**
 * Describes the pools to the pool policy: the hosts that serve in each, those
 * that arrive, and the demand for them.
 */
import {
  ZERO_SIZE,
  subtract,
  workerKey,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {
  createPoolHost,
  MAX_TIME_TO_IDLE_MS,
  measureDemand,
  NO_DEMAND,
  type IntakePause,
  type Load,
  type PoolHost,
  type PoolView,
  type StateView,
} from '@lentildrift/scheduling';
import type {Availability} from './availability.js';
import {isHostEvacuated} from './data-centres.js';
import type {HostMoves} from './host-moves.js';
import type {ProvidedHost} from './provider.js';
import type {RunEstimates} from './run-estimates.js';

export interface PoolViewsOptions {
  readonly moves: HostMoves;
  readonly availability: Availability;
  readonly estimates: RunEstimates;
  /** Time before the begin of this leader in which nobody accepted jobs. */
  readonly intakePause: IntakePause;
  state(): State;
  /** Whether the host is being emptied or is down for a maintenance wave. */
  isInWave(host: string): boolean;
  /** Whether a maintenance wave is going to empty the host. */
  isDue(host: string): boolean;
  /**
   * Whether an order of an earlier leader to the host may still be in flight.
   */
  hasForeignOrder(host: string): boolean;
}

export interface PoolViews {
  /**
   * Describes all pools, with the hosts that the provider lists. Valid while
   * the view is.
   */
  collect(
    hosts: ReadonlyMap<string, ProvidedHost>,
    view: StateView,
  ): PoolView[];
  /** Has the idle time of a host counted anew. */
  resetIdleTime(host: string): void;
}

/**
 * How long a host must be idle before it may move to standby. A move costs
 * about as much as one second of the host in a pool.
 */
const MIN_IDLE_MS = 600;

export function createPoolViews(options: PoolViewsOptions): PoolViews {
  const {moves, availability, estimates} = options;
  /** Monotonic time since which a host has been idle, by host. */
  const idleSinceMs = new Map<string, number>();

  function collect(
    hosts: ReadonlyMap<string, ProvidedHost>,
    view: StateView,
  ): PoolView[] {
    const {tables} = options.state();
    const demands = measureDemand(
      options.state(),
      view.load,
      view.backlog,
      Date.now(),
      estimates.durations(),
      options.intakePause,
    );
    const views = tables.pools.map(({name, standby}) => ({
      name,
      standby,
      serving: [] as PoolHost[],
      arriving: [] as PoolHost[],
      demand: demands.get(name) ?? NO_DEMAND,
    }));
    const byName = new Map(views.map(pool => [pool.name, pool]));
    const avoided = availability.avoidedWorkers();
    const dueOnStandby: {pool: (typeof views)[number]; host: PoolHost}[] = [];
    for (const host of hosts.values()) {
      const serving = findServingHost(host, view, byName, avoided);
      if (!serving) continue;
      const pool = byName.get(serving.pool)!;
      if (pool.standby && options.isDue(host.id)) {
        dueOnStandby.push({pool, host: serving.host});
      } else {
        pool.serving.push(serving.host);
      }
    }
    // The policy takes standby hosts in this order. A host that stays on standby
    // is maintained without an effect on any pool.
    for (const {pool, host} of dueOnStandby) pool.serving.push(host);
    for (const [id, move] of moves.inProgress()) {
      const host = hosts.get(id);
      if (!host || isHostEvacuated(host, id, view)) continue;
      byName.get(move.to)?.arriving.push(toPoolHost(host));
    }
    return views;
  }

  /**
   * The host with the pool that it serves, in which it can get runs or, if the
   * pool is a standby pool, can be moved; undefined if there is none.
   */
  function findServingHost(
    host: ProvidedHost,
    view: StateView,
    pools: ReadonlyMap<string, {readonly standby: boolean}>,
    avoided: ReadonlySet<string>,
  ): {pool: string; host: PoolHost} | undefined {
    const {id} = host;
    if (moves.isMoving(id) || options.isInWave(id)) return undefined;
    // Neither capacity nor a source of hosts, whatever runs there to its end.
    if (isHostEvacuated(host, id, view)) return undefined;
    const {load, fleet} = view;
    const worker = fleet.newestOn(id);
    if (!worker) {
      if (!pools.get(host.pool)?.standby || host.state !== 'up')
        return undefined;
      if (options.hasForeignOrder(id)) return undefined;
      return {pool: host.pool, host: {...toPoolHost(host), idle: true}};
    }
    const pool = pools.get(worker.pool);
    if (!pool || pool.standby || !availability.isUsable(worker))
      return undefined;
    const key = workerKey(worker);
    const {labels} = host;
    // May have shrunk or grown, unlike what the provider lists.
    const {capacity} = worker;
    const reserved = load.byWorker.get(key) ?? ZERO_SIZE;
    const isAvoided = avoided.has(key);
    const fields = {
      id,
      worker: key,
      capacity,
      free: isAvoided ? ZERO_SIZE : subtract(capacity, reserved),
      labels,
      idle: isIdle(id, worker, load),
      // A worker that is avoided is of no use to another pool either.
      pinned:
        isAvoided ||
        options.hasForeignOrder(id) ||
        load.workersWithLongRunningTasks.has(key),
      excludedPools: moves.excludedPools(id),
    };
    const poolHost = createPoolHost(fields, () =>
      estimates.emptyInMs(key, load, MAX_TIME_TO_IDLE_MS),
    );
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
      excludedPools: moves.excludedPools(id),
    };
  }

  /** Whether the worker has had no runs for `MIN_IDLE_MS`. */
  function isIdle(host: string, worker: Worker, load: Load): boolean {
    const nowMs = performance.now();
    if (!moves.isEmpty(workerKey(worker), load)) {
      idleSinceMs.delete(host);
      return false;
    }
    const since = idleSinceMs.get(host) ?? nowMs;
    idleSinceMs.set(host, since);
    return nowMs - since >= MIN_IDLE_MS;
  }

  return {
    collect,
    resetIdleTime: host => void idleSinceMs.delete(host),
  };
}
