/**
 * Finds the workers whose reports are awaited, since they run the tasks of steps
 * of which a maintenance wave stops others, or may get a stopped task.
 */
import {
  fits,
  subtract,
  workerKey,
  ZERO_SIZE,
  type Size,
  type Worker,
} from '@lentildrift/queue';
import {
  reservation,
  type LiveRun,
  type StateView,
} from '@lentildrift/scheduling';
import {stepOf} from './host-selection.js';

/**
 * Largest number of awaited workers. Each reports five times a second, of 1,200
 * reports a second in all that a leader asks for.
 */
const MAX_AWAITED_WORKERS = 64;
/**
 * Number of workers of a pool, without tasks of the steps, that are expected to
 * get one, and the part of the limit that is left to such workers.
 */
const MAX_SPARE_WORKERS = 16;
/** Looking at all workers of a pool in each tick took 5 to 9 ms for 2,200. */
const UPDATE_INTERVAL_MS = 500;

const NO_RUNS: readonly LiveRun[] = [];

export interface Replacements {
  /**
   * Determines the workers for the hosts that are being emptied or could be
   * next, unless the hosts are the same as a short time ago.
   */
  update(hosts: ReadonlySet<string>, view: StateView): void;
  /** Whether reports of the worker are awaited. `isIdle`: nothing runs on it. */
  isAwaited(worker: Worker, isIdle: boolean): boolean;
}

/** What the tasks on the hosts of one pool require. */
interface PoolTasks {
  readonly steps: Set<string>;
  /** The different sizes of the tasks, by text. */
  readonly sizes: Map<string, Size>;
}

export function createReplacements(
  isCordoned: (host: string) => boolean,
): Replacements {
  let hosts: ReadonlySet<string> = new Set();
  let updatedMs = -Infinity;
  /** Pools of the tasks on the hosts. */
  let pools: ReadonlyMap<string, PoolTasks> = new Map();
  /** Keys of the awaited workers. */
  let awaited = new Set<string>();

  function update(next: ReadonlySet<string>, view: StateView): void {
    const nowMs = performance.now();
    const isRecent = nowMs - updatedMs < UPDATE_INTERVAL_MS;
    if (isRecent && isSameSet(hosts, next)) return;
    hosts = next;
    updatedMs = nowMs;
    pools = findTasks(hosts, view);
    awaited = new Set();
    for (const [pool, tasks] of pools) addWorkers(pool, tasks, view);
  }

  function addWorkers(
    pool: string,
    {steps, sizes}: PoolTasks,
    {load, fleet}: StateView,
  ): void {
    const idle: string[] = [];
    const inUse: string[] = [];
    for (const worker of fleet.workersIn(pool)) {
      if (isCordoned(worker.host)) continue;
      const key = workerKey(worker);
      const isRunning =
        load.workersWithLongRunningTasks.has(key) &&
        load.runsByWorker
          .get(key)
          ?.some(live => live.step.lasting && steps.has(stepOf(live)));
      if (isRunning) {
        if (awaited.size < MAX_AWAITED_WORKERS - MAX_SPARE_WORKERS) {
          awaited.add(key);
        }
        continue;
      }
      const used = load.byWorker.get(key);
      const spare = used ? inUse : idle;
      if (spare.length >= MAX_SPARE_WORKERS) continue;
      const free = subtract(worker.capacity, used ?? ZERO_SIZE);
      if (fitsAny(sizes.values(), free)) spare.push(key);
    }
    for (const key of [...idle, ...inUse].slice(0, MAX_SPARE_WORKERS)) {
      if (awaited.size < MAX_AWAITED_WORKERS) awaited.add(key);
    }
  }

  return {
    update,
    isAwaited(worker, isIdle) {
      const key = workerKey(worker);
      if (awaited.has(key)) return true;
      // A worker that has just joined the pool may get a task before the next
      // update.
      if (!isIdle || !pools.has(worker.pool)) return false;
      if (awaited.size >= MAX_AWAITED_WORKERS) return false;
      awaited.add(key);
      return true;
    },
  };
}

/** The long-running tasks on the hosts, by pool. */
function findTasks(
  hosts: Iterable<string>,
  {load, fleet}: StateView,
): ReadonlyMap<string, PoolTasks> {
  const pools = new Map<string, PoolTasks>();
  for (const host of hosts) {
    const worker = fleet.newestOn(host);
    if (!worker) continue;
    for (const live of load.runsByWorker.get(workerKey(worker)) ?? NO_RUNS) {
      if (!live.step.lasting) continue;
      let tasks = pools.get(worker.pool);
      if (!tasks) {
        tasks = {steps: new Set(), sizes: new Map()};
        pools.set(worker.pool, tasks);
      }
      const size = reservation(live.step);
      tasks.steps.add(stepOf(live));
      tasks.sizes.set(`${size.cpuMillis} ${size.memoryMb} ${size.gpus}`, size);
    }
  }
  return pools;
}

function fitsAny(sizes: Iterable<Size>, free: Size): boolean {
  for (const size of sizes) {
    if (fits(size, free)) return true;
  }
  return false;
}

function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  if (a.size !== b.size) return false;
  for (const each of a) {
    if (!b.has(each)) return false;
  }
  return true;
}
