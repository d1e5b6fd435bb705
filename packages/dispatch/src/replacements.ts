/**
 * Finds the workers that may replace those of hosts that a maintenance wave
 * empties, and the room that the tasks to be stopped next need.
 */
import {
  fits,
  subtract,
  taskName,
  workerKey,
  ZERO_SIZE,
  type Size,
} from '@lentildrift/queue';
import {
  availabilityBudget,
  reservation,
  type LiveRun,
  type StateView,
  type WaitingTasks,
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

/**
 * The long-running tasks on the hosts that may be stopped next, as many of each
 * step as its budget allows, by pool. They are described as tasks that wait for
 * workers outside the hosts: if room is sought only once a task has stopped, each
 * round of stops takes as long as the move of a host.
 */
export function listNextStops(
  hosts: Iterable<string>,
  {load, fleet}: StateView,
): ReadonlyMap<string, readonly WaitingTasks[]> {
  const excluded = new Set<string>();
  /** Runs on the hosts, by pool and step. */
  const stops = new Map<string, Map<string, LiveRun[]>>();
  for (const host of hosts) {
    const worker = fleet.newestOn(host);
    if (!worker) continue;
    const key = workerKey(worker);
    excluded.add(key);
    for (const live of load.runsByWorker.get(key) ?? NO_RUNS) {
      if (!live.step.lasting) continue;
      const steps = stops.get(worker.pool) ?? new Map<string, LiveRun[]>();
      const runs = steps.get(stepNameOf(live)) ?? [];
      steps.set(stepNameOf(live), [...runs, live]);
      stops.set(worker.pool, steps);
    }
  }
  const byPool = new Map<string, readonly WaitingTasks[]>();
  for (const [pool, steps] of stops) {
    const keys = fleet.workersIn(pool).map(workerKey);
    const tasks = [...steps].map(([name, runs]) => {
      const {step} = runs[0]!;
      const count = Math.min(runs.length, availabilityBudget(step));
      const maxPerWorker = step.maxPerWorker || count;
      const running = new Map<string, number>();
      for (const key of keys) {
        const onWorker = (load.runsByWorker.get(key) ?? NO_RUNS).filter(
          live => step.maxPerWorker > 0 && stepNameOf(live) === name,
        );
        running.set(key, excluded.has(key) ? maxPerWorker : onWorker.length);
      }
      return {
        count,
        size: reservation(step),
        label: step.label,
        maxPerWorker,
        running,
        late: false,
        lasting: true,
      };
    });
    byPool.set(pool, tasks);
  }
  return byPool;
}

function stepNameOf({job, key}: LiveRun): string {
  return taskName(job.spec.id, key.slice(0, key.lastIndexOf('.')));
}
