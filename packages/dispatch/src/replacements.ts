/**
 * Finds the workers that may replace those of hosts that a maintenance wave
 * empties.
 */
import {
  fits,
  subtract,
  workerKey,
  ZERO_SIZE,
  type Size,
} from '@lentildrift/queue';
import {
  reservation,
  type LiveRun,
  type StateView,
} from '@lentildrift/scheduling';

/**
 * Number of workers of a pool, without long-running tasks, that are expected to
 * get one. More frequent reports of each worker of a pool in a burst would take
 * the leader's time.
 */
const MAX_SPARE_WORKERS = 16;

const NO_RUNS: readonly LiveRun[] = [];

export interface Replacements {
  /** Pools of the hosts with long-running tasks. */
  readonly pools: ReadonlySet<string>;
  /**
   * Keys of the workers in these pools, outside the cordoned hosts, that run
   * long-running tasks or have room for one of those on the hosts.
   */
  readonly workers: ReadonlySet<string>;
}

export const NO_REPLACEMENTS: Replacements = {
  pools: new Set(),
  workers: new Set(),
};

export function findReplacements(
  hosts: Iterable<string>,
  isCordoned: (host: string) => boolean,
  {load, fleet}: StateView,
): Replacements {
  const runsOn = (worker: string) =>
    (load.runsByWorker.get(worker) ?? NO_RUNS).filter(({step}) => step.lasting);
  /** Sizes of the tasks that are to be stopped, by pool. */
  const sizes = new Map<string, Size[]>();
  for (const host of hosts) {
    const worker = fleet.newestOn(host);
    const runs = worker ? runsOn(workerKey(worker)) : NO_RUNS;
    if (!worker || runs.length === 0) continue;
    const known = sizes.get(worker.pool) ?? [];
    sizes.set(worker.pool, [
      ...known,
      ...runs.map(({step}) => reservation(step)),
    ]);
  }
  const replacements = new Set<string>();
  for (const [pool, poolSizes] of sizes) {
    let spare = 0;
    for (const worker of fleet.workersIn(pool)) {
      const key = workerKey(worker);
      if (isCordoned(worker.host)) continue;
      if (runsOn(key).length > 0) {
        replacements.add(key);
        continue;
      }
      const used = load.byWorker.get(key) ?? ZERO_SIZE;
      const free = subtract(worker.capacity, used);
      if (spare >= MAX_SPARE_WORKERS) continue;
      if (!poolSizes.some(size => fits(size, free))) continue;
      replacements.add(key);
      spare++;
    }
  }
  return {pools: new Set(sizes.keys()), workers: replacements};
}
