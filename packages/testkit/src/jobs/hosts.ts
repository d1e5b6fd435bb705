/** Simulates the hosts of a trial: their pools, moves and cost. */
import {
  ZERO_SIZE,
  subtract,
  type Event,
  type Size,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {
  forecastPools,
  measureDemand,
  NO_DEMAND,
  type Durations,
  type Load,
  type PoolForecast,
  type PoolHost,
  type PoolPolicy,
  type PoolView,
  type StateView,
} from '@lentildrift/scheduling';
import type {TrafficShape} from './shape.js';

/** Name of the pool of hosts that run no tasks. */
export const STANDBY = 'standby';
/** Time to switch a host to another pool, including its announcement. */
const MOVE_DURATION_MS = 1550;
/** Time without tasks after which a host counts as idle. */
const IDLE_MS = 600;
/** A move is cancelled if its host is not empty after this time. */
const MAX_EMPTYING_MS = 1500;
const NO_POOLS: ReadonlySet<string> = new Set();

interface Host {
  readonly id: string;
  pool: string;
  /**
   * Planned or running move; `departedMs` is set once the host has left its
   * pool.
   */
  move:
    | {
        targetPool: string;
        decidedMs: number;
        departedMs: number | undefined;
      }
    | undefined;
  /** Key of the worker that runs on the host. */
  worker: string | undefined;
  lastBusyAtMs: number;
  /** Time until which the host is down after a crash. */
  downUntilMs: number;
  /** Number of workers started on the host so far. */
  startCount: number;
}

export interface SimulatedHosts {
  /** Events that add the workers that are ready at the start. */
  readonly initialEvents: readonly Event[];
  /**
   * Whether the host of the worker has a planned move, so that the worker gets
   * no new tasks.
   */
  isMoving(worker: string): boolean;
  /** Returns the workers that a crash ends now. */
  crash(nowMs: number): ReadonlySet<string>;
  /** Advances the moves and returns the events of workers added and removed. */
  advance(nowMs: number, load: Load): Event[];
  /**
   * Plans the moves that the policy decides on, and forecasts the pools as they
   * were before.
   */
  applyPolicy(
    policy: PoolPolicy,
    state: State,
    view: Pick<StateView, 'load' | 'backlog'>,
    nowMs: number,
    durations: Durations,
    emptyInMs: (worker: string) => number,
  ): ReadonlyMap<string, PoolForecast>;
  /** Number of moves that have left their pool. */
  readonly moves: number;
  /** Total host time outside the standby pool. */
  readonly hostSeconds: number;
  /** Adds `forMs` of host time for each host outside the standby pool. */
  addHostTime(forMs: number): void;
}

/** Whole capacity of each host. */
export function hostCapacity({hostCores, hostMemoryMb}: TrafficShape): Size {
  return {cpuMillis: hostCores * 1000, memoryMb: hostMemoryMb, gpus: 0};
}

/** Pools of the queues of a shape. */
export function poolNames({queues}: TrafficShape): string[] {
  return [...new Set(queues.map(({name, pool}) => pool ?? name))];
}

export function createSimulatedHosts(shape: TrafficShape): SimulatedHosts {
  const capacity = hostCapacity(shape);
  const hosts: Host[] = [];
  let moves = 0;
  let poolHostMs = 0;
  const pendingCrashes = [...(shape.crashes ?? [])];

  function addHost(pool: string): void {
    const id = `m${hosts.length}`;
    const move = undefined;
    hosts.push({
      id,
      pool,
      move,
      worker: undefined,
      lastBusyAtMs: 0,
      downUntilMs: 0,
      startCount: 0,
    });
  }

  for (const name of poolNames(shape)) {
    for (let n = 0; n < shape.hostsPerPool; n++) addHost(name);
  }
  for (let n = 0; n < shape.standbyHosts; n++) addHost(STANDBY);

  function startWorker(host: Host): Event {
    const worker: Worker = {
      id: `${host.id}-${++host.startCount}`,
      bornMs: 1,
      host: host.id,
      pool: host.pool,
      address: `${host.id}:${host.startCount}`,
      dataCentre: 'a',
      capacity,
      labels: [],
      phase: 'ready',
      sequence: 1,
      cursor: 0,
    };
    host.worker = `${worker.id}@1`;
    return {type: 'worker', worker};
  }

  function toPoolHost(
    host: Host,
    load: Load,
    nowMs: number,
    emptyInMs: (worker: string) => number,
  ): PoolHost {
    const {id, worker} = host;
    const used = worker === undefined ? undefined : load.byWorker.get(worker);
    return {
      id,
      worker,
      capacity,
      free: subtract(capacity, used ?? ZERO_SIZE),
      labels: [],
      idle: nowMs - host.lastBusyAtMs >= IDLE_MS,
      emptyInMs: worker === undefined ? 0 : emptyInMs(worker),
      pinned:
        worker !== undefined && load.workersWithLongRunningTasks.has(worker),
      excludedPools: NO_POOLS,
    };
  }

  return {
    initialEvents: hosts.filter(({pool}) => pool !== STANDBY).map(startWorker),
    isMoving: worker =>
      hosts.some(host => host.worker === worker && host.move !== undefined),
    crash(nowMs) {
      const crashed = new Set<string>();
      while (pendingCrashes[0] && pendingCrashes[0].fromMs <= nowMs) {
        const {untilMs, share} = pendingCrashes.shift()!;
        for (const name of poolNames(shape)) {
          const inPool = hosts.filter(
            ({pool, worker}) => pool === name && worker !== undefined,
          );
          for (const host of inPool.slice(
            0,
            Math.round(share * inPool.length),
          )) {
            crashed.add(host.worker!);
            host.worker = undefined;
            host.move = undefined;
            host.downUntilMs = untilMs;
          }
        }
      }
      return crashed;
    },
    advance(nowMs, load) {
      const events: Event[] = [];
      for (const host of hosts) {
        if (host.downUntilMs > nowMs) continue;
        if (host.downUntilMs > 0) {
          host.downUntilMs = 0;
          events.push(startWorker(host));
        }
        const busy =
          host.worker !== undefined && load.byWorker.has(host.worker);
        if (busy) host.lastBusyAtMs = nowMs;
        const {move} = host;
        if (!move) continue;
        if (move.departedMs === undefined) {
          if (busy) {
            if (nowMs - move.decidedMs > MAX_EMPTYING_MS) host.move = undefined;
            continue;
          }
          move.departedMs = nowMs;
          moves++;
          host.pool = move.targetPool;
          if (host.worker !== undefined) {
            events.push({type: 'worker-gone', worker: host.worker});
            host.worker = undefined;
          }
        } else if (nowMs - move.departedMs >= MOVE_DURATION_MS) {
          host.move = undefined;
          host.lastBusyAtMs = nowMs;
          if (host.pool !== STANDBY) events.push(startWorker(host));
        }
      }
      return events;
    },
    applyPolicy(policy, state, {load, backlog}, nowMs, durations, emptyInMs) {
      const demands = measureDemand(state, load, backlog, nowMs, durations);
      const views = state.tables.pools.map(({name, standby}): PoolView => {
        const serving = hosts.filter(
          ({pool, move, downUntilMs}) =>
            pool === name && !move && downUntilMs === 0,
        );
        const arriving = hosts.filter(({move}) => move?.targetPool === name);
        return {
          name,
          standby,
          serving: serving.map(host =>
            toPoolHost(host, load, nowMs, emptyInMs),
          ),
          arriving: arriving.map(host => ({
            ...toPoolHost(host, load, nowMs, emptyInMs),
            emptyInMs: 0,
            worker: undefined,
            free: capacity,
          })),
          demand: demands.get(name) ?? NO_DEMAND,
        };
      });
      for (const {host: id, to} of policy.decide(views)) {
        const host = hosts.find(each => each.id === id)!;
        host.move = {
          targetPool: to,
          decidedMs: nowMs,
          departedMs: undefined,
        };
      }
      return forecastPools(views);
    },
    get moves() {
      return moves;
    },
    get hostSeconds() {
      return poolHostMs / 1000;
    },
    addHostTime(forMs) {
      const poolHosts = hosts.filter(({pool}) => pool !== STANDBY);
      poolHostMs += poolHosts.length * forMs;
    },
  };
}
