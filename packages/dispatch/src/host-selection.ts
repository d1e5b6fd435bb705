/**
 * Describes a maintenance wave to the policy that selects the hosts to empty
 * next.
 */
import {taskName, workerKey, type Wave, type Worker} from '@lentildrift/queue';
import {
  availabilityBudget,
  countUnavailable,
  type Fleet,
  type HostWaitReason,
  type IsRunActive,
  type LiveRun,
  type PoolSize,
  type StateView,
  type StepBudget,
  type WaveDecision,
  type WaveHost,
  type WavePolicy,
  type WaveView,
} from '@lentildrift/scheduling';
import type {Inventory} from './inventory.js';

export interface HostSelectionOptions {
  readonly policy: WavePolicy;
  readonly inventory: Inventory;
  /** Whether the host is being moved between pools. */
  isMoving(host: string): boolean;
  /**
   * Whether an order of an earlier leader to the host may still be in flight.
   */
  hasForeignOrder(host: string): boolean;
  /** Whether the host is emptied or maintained, or the result is unrecorded. */
  hasOperation(host: string): boolean;
  /** Whether the host gets no new runs because it is emptied or maintained. */
  isCordoned(host: string): boolean;
  /** Whether the run of a long-running task is ready. */
  readonly isReady: IsRunActive;
}

/** What the operations in progress take of a wave's limits. */
export type WaveProgress = Pick<
  WaveView,
  'hostTimeMs' | 'down' | 'emptying' | 'emptyingLasting'
>;

export interface HostSelection {
  /**
   * Selects the hosts of a wave to empty next, and gives the reason for each due
   * host without an operation that is not selected.
   */
  select(wave: Wave, progress: WaveProgress, view: StateView): WaveDecision;
}

export function createHostSelection(
  options: HostSelectionOptions,
): HostSelection {
  function select(
    wave: Wave,
    progress: WaveProgress,
    view: StateView,
  ): WaveDecision {
    const absent = new Map<string, HostWaitReason>();
    const due: WaveHost[] = [];
    for (const [id, upkeep] of Object.entries(wave.hosts)) {
      if (upkeep !== 'due' || options.hasOperation(id)) continue;
      const reason = findAbsence(id);
      if (reason === undefined) due.push(describeHost(id, view));
      else absent.set(id, reason);
    }
    const {selected, waiting} = options.policy.select({
      ...progress,
      remainingMs: wave.acceptedAtMs + wave.durationMs - Date.now(),
      atOnce: wave.atOnce,
      due,
      pools: measurePools(due, view.fleet),
      budgets: measureBudgets(due, view),
    });
    return {selected, waiting: new Map([...absent, ...waiting])};
  }

  /** Why the host cannot be emptied now, whatever runs on it. */
  function findAbsence(host: string): HostWaitReason | undefined {
    if (options.isMoving(host)) return 'moving';
    if (options.inventory.hosts()?.get(host)?.state !== 'up') return 'not-up';
    return options.hasForeignOrder(host) ? 'foreign-order' : undefined;
  }

  function describeHost(id: string, {load, fleet}: StateView): WaveHost {
    const worker = fleet.newestOn(id);
    const runs = worker && load.runsByWorker.get(workerKey(worker));
    const lastingTasks = new Map<string, number>();
    const readyTasks = new Map<string, number>();
    for (const live of runs ?? []) {
      if (!live.step.lasting) continue;
      const step = stepOf(live);
      lastingTasks.set(step, (lastingTasks.get(step) ?? 0) + 1);
      if (!isReadyRun(live)) continue;
      readyTasks.set(step, (readyTasks.get(step) ?? 0) + 1);
    }
    const idle = runs === undefined || runs.length === 0;
    return {id, pool: worker?.pool, idle, lastingTasks, readyTasks};
  }

  function isReadyRun({job, key, run}: LiveRun): boolean {
    return options.isReady(taskName(job.spec.id, key), run);
  }

  function measurePools(
    due: readonly WaveHost[],
    fleet: Fleet,
  ): ReadonlyMap<string, PoolSize> {
    const pools = new Map<string, PoolSize>();
    for (const {pool, idle} of due) {
      if (pool === undefined || idle || pools.has(pool)) continue;
      const workers = fleet.workersIn(pool);
      const cordoned = workers.filter(({host}) => options.isCordoned(host));
      pools.set(pool, {workers: workers.length, cordoned: cordoned.length});
    }
    return pools;
  }

  /** The budgets of the steps with tasks on the hosts. */
  function measureBudgets(
    due: readonly WaveHost[],
    {load, fleet}: StateView,
  ): ReadonlyMap<string, StepBudget> {
    const budgets = new Map<string, StepBudget>();
    if (due.every(({lastingTasks}) => lastingTasks.size === 0)) return budgets;
    const lastingOn = (worker: Worker): LiveRun[] => {
      const runs = load.runsByWorker.get(workerKey(worker)) ?? [];
      return runs.filter(({step}) => step.lasting);
    };
    for (const {id} of due) {
      const worker = fleet.newestOn(id);
      for (const live of worker ? lastingOn(worker) : []) {
        const step = stepOf(live);
        if (budgets.has(step)) continue;
        const limit = availabilityBudget(live.step);
        const free = limit - countUnavailable(live, options.isReady);
        budgets.set(step, {limit, free});
      }
    }
    // Their tasks are still ready, and will be stopped one after the other.
    for (const worker of fleet.workers) {
      if (!options.isCordoned(worker.host)) continue;
      for (const live of lastingOn(worker)) {
        const budget = budgets.get(stepOf(live));
        if (!budget || !isReadyRun(live)) continue;
        budgets.set(stepOf(live), {...budget, free: budget.free - 1});
      }
    }
    return budgets;
  }

  return {select};
}

/** Identifies the step of a run among the steps of all jobs. */
export function stepOf({job, key}: LiveRun): string {
  return taskName(job.spec.id, key.slice(0, key.lastIndexOf('.')));
}
