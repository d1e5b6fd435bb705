/** The room that a wave needs for the long-running tasks that it stops next. */
import {workerKey} from '@lentildrift/queue';
import {
  availabilityBudget,
  reservation,
  type LiveRun,
  type StateView,
  type WaitingTasks,
} from '@lentildrift/scheduling';
import {stepOf} from './host-selection.js';

const NO_RUNS: readonly LiveRun[] = [];

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
      const runs = steps.get(stepOf(live)) ?? [];
      steps.set(stepOf(live), [...runs, live]);
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
          live => step.maxPerWorker > 0 && stepOf(live) === name,
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
