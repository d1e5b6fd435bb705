/** The hosts of a trial: their pools, moves and what they cost. */
import {
  ZERO_SIZE,
  subtract,
  type Event,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {
  measureDemand,
  NO_DEMAND,
  type Durations,
  type Load,
  type PoolHost,
  type PoolPolicy,
  type PoolView,
} from '@lentildrift/scheduling';
import type {TrafficShape} from './shape.js';

export const STANDBY = 'standby';
/** Switching a host from pool to pool, and its announcement. */
const MOVE_MS = 1550;
/** A host is idle once nothing has run on it for so long. */
const IDLE_MS = 600;
/** A host that is not empty by then stays. */
const EMPTYING_MS = 1500;
const NO_POOLS: ReadonlySet<string> = new Set();

interface Host {
  readonly id: string;
  pool: string;
  /** Where it goes, and from when on it is on its way. */
  move: {to: string; chosenMs: number; leftMs: number | undefined} | undefined;
  worker: string | undefined;
  busyMs: number;
  lives: number;
}

export interface SimulatedHosts {
  /** Workers that are up at the start. */
  readonly initialEvents: readonly Event[];
  /** Whether the worker gets no new runs, because its host is to move. */
  isMoving(worker: string): boolean;
  /** Carries moves on, and returns what that does to the directory. */
  advance(nowMs: number, load: Load): Event[];
  /** Lets the policy choose. */
  applyPolicy(
    policy: PoolPolicy,
    state: State,
    load: Load,
    nowMs: number,
    durations: Durations,
    emptyInMs: (worker: string) => number,
  ): void;
  readonly moves: number;
  readonly hostSeconds: number;
  /** Counts the hosts in pools for so long. */
  addHostTime(forMs: number): void;
}

export function createSimulatedHosts(shape: TrafficShape): SimulatedHosts {
  const capacity = {
    cpuMillis: shape.hostCores * 1000,
    memoryMb: shape.hostMemoryMb,
    gpus: 0,
  };
  const hosts: Host[] = [];
  let moves = 0;
  let hostMs = 0;

  function add(pool: string): void {
    const id = `m${hosts.length}`;
    const move = undefined;
    hosts.push({id, pool, move, worker: undefined, busyMs: 0, lives: 0});
  }

  for (const {name} of shape.queues) {
    for (let n = 0; n < shape.hostsPerPool; n++) add(name);
  }
  for (let n = 0; n < shape.standbyHosts; n++) add(STANDBY);

  function bear(host: Host): Event {
    const worker: Worker = {
      id: `${host.id}-${++host.lives}`,
      bornMs: 1,
      host: host.id,
      pool: host.pool,
      address: `${host.id}:${host.lives}`,
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

  function viewOf(
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
      idle: nowMs - host.busyMs >= IDLE_MS,
      emptyInMs: worker === undefined ? 0 : emptyInMs(worker),
      pinned:
        worker !== undefined && load.workersWithLongRunningTasks.has(worker),
      excludedPools: NO_POOLS,
    };
  }

  return {
    initialEvents: hosts.filter(({pool}) => pool !== STANDBY).map(bear),
    isMoving: worker =>
      hosts.some(host => host.worker === worker && host.move !== undefined),
    advance(nowMs, load) {
      const events: Event[] = [];
      for (const host of hosts) {
        const busy =
          host.worker !== undefined && load.byWorker.has(host.worker);
        if (busy) host.busyMs = nowMs;
        const {move} = host;
        if (!move) continue;
        if (move.leftMs === undefined) {
          if (busy) {
            if (nowMs - move.chosenMs > EMPTYING_MS) host.move = undefined;
            continue;
          }
          move.leftMs = nowMs;
          moves++;
          host.pool = move.to;
          if (host.worker !== undefined) {
            events.push({type: 'worker-gone', worker: host.worker});
            host.worker = undefined;
          }
        } else if (nowMs - move.leftMs >= MOVE_MS) {
          host.move = undefined;
          host.busyMs = nowMs;
          if (host.pool !== STANDBY) events.push(bear(host));
        }
      }
      return events;
    },
    applyPolicy(policy, state, load, nowMs, durations, emptyInMs) {
      const demands = measureDemand(state, load, nowMs, durations);
      const views = state.tables.pools.map(({name, standby}): PoolView => {
        const own = hosts.filter(({pool, move}) => pool === name && !move);
        const coming = hosts.filter(({move}) => move?.to === name);
        return {
          name,
          standby,
          serving: own.map(host => viewOf(host, load, nowMs, emptyInMs)),
          arriving: coming.map(host => ({
            ...viewOf(host, load, nowMs, emptyInMs),
            emptyInMs: 0,
            worker: undefined,
            free: capacity,
          })),
          demand: demands.get(name) ?? NO_DEMAND,
        };
      });
      for (const {host: id, to} of policy.decide(views)) {
        const host = hosts.find(each => each.id === id)!;
        host.move = {to, chosenMs: nowMs, leftMs: undefined};
      }
    },
    get moves() {
      return moves;
    },
    get hostSeconds() {
      return hostMs / 1000;
    },
    addHostTime(forMs) {
      const paid = hosts.filter(({pool}) => pool !== STANDBY);
      hostMs += paid.length * forMs;
    },
  };
}
