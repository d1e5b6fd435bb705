/** Selects the hosts that a maintenance wave empties next. */
import {taskName, workerKey, type Wave, type Worker} from '@lentildrift/queue';
import {
  availabilityBudget,
  countUnavailable,
  type Fleet,
  type IsRunActive,
  type LiveRun,
  type StateView,
} from '@lentildrift/scheduling';
import type {Inventory} from './inventory.js';

export interface HostSelectionOptions {
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

export interface SelectedHost {
  readonly host: string;
  /** Whether nothing runs on the host. */
  readonly idle: boolean;
}

export interface HostSelection {
  /**
   * Selects at most `openSlots` hosts to empty: idle hosts at any time, those
   * with long-running tasks as far as the budgets of these allow, since such
   * hosts are never idle and wait for each other, and other hosts in use only if
   * the wave would otherwise miss its deadline, few of one pool at a time.
   */
  select(wave: Wave, openSlots: number, view: StateView): SelectedHost[];
}

/** Estimated time to maintain one host, including the time to empty it. */
const HOST_MAINTENANCE_MS = 5000;
/** How long before its deadline a wave should be done. */
const DEADLINE_RESERVE_MS = 7000;
/** Largest share of a pool's hosts that are emptied at once while in use. */
const MAX_EMPTYING_SHARE = 1 / 3;

export function createHostSelection(
  options: HostSelectionOptions,
): HostSelection {
  function select(
    wave: Wave,
    openSlots: number,
    view: StateView,
  ): SelectedHost[] {
    const due = listDueHosts(wave);
    const idle = due.filter(host => !isInUse(host, view));
    const busy = isDeadlineNear(wave, due.length)
      ? due.filter(host => isInUse(host, view))
      : [];
    const selected = new Set(idle.slice(0, Math.max(0, openSlots)));
    const budgets = createBudgets(view, options);
    for (const host of due) {
      if (selected.size >= openSlots) break;
      if (budgets.canEmpty(host)) selected.add(host);
    }
    for (const host of busy) {
      if (selected.size >= openSlots) break;
      if (canEmptyOneMore(host, view.fleet, selected)) selected.add(host);
    }
    const idleHosts = new Set(idle);
    return [...selected].map(host => ({host, idle: idleHosts.has(host)}));
  }

  function listDueHosts(wave: Wave): string[] {
    const hosts = Object.entries(wave.hosts)
      .filter(([, upkeep]) => upkeep === 'due')
      .map(([host]) => host);
    return hosts.filter(host => {
      const state = options.inventory.hosts()?.get(host)?.state;
      if (options.hasOperation(host) || options.isMoving(host)) return false;
      return state === 'up' && !options.hasForeignOrder(host);
    });
  }

  function isInUse(host: string, {load, fleet}: StateView): boolean {
    const worker = fleet.newestOn(host);
    return worker !== undefined && load.byWorker.has(workerKey(worker));
  }

  /** Whether the wave has too little time left to wait for idle hosts. */
  function isDeadlineNear(
    {acceptedAtMs, durationMs, atOnce}: Wave,
    due: number,
  ) {
    const remainingMs = acceptedAtMs + durationMs - Date.now();
    return (
      remainingMs <
      Math.ceil(due / atOnce) * HOST_MAINTENANCE_MS + DEADLINE_RESERVE_MS
    );
  }

  /**
   * Whether one more host of this host's pool may be emptied while in use,
   * beside those that are `selected`.
   */
  function canEmptyOneMore(
    host: string,
    fleet: Fleet,
    selected: ReadonlySet<string>,
  ): boolean {
    const pool = fleet.newestOn(host)?.pool;
    const poolWorkers = pool === undefined ? [] : fleet.workersIn(pool);
    const cordonedCount = poolWorkers.filter(
      worker => options.isCordoned(worker.host) || selected.has(worker.host),
    ).length;
    return (
      cordonedCount + 1 <=
      Math.max(1, Math.floor(poolWorkers.length * MAX_EMPTYING_SHARE))
    );
  }

  return {select};
}

interface Budgets {
  /**
   * Whether the host has long-running tasks, and all of them may be stopped
   * beside those that are, or are about to be; if so, they count from then on.
   */
  canEmpty(host: string): boolean;
}

/** The budgets of long-running steps while hosts are selected. */
function createBudgets(
  {load, fleet}: StateView,
  {isReady, isCordoned}: HostSelectionOptions,
): Budgets {
  /** Tasks that may still be stopped, by job and step. */
  const left = new Map<string, number>();

  function runsOn(worker: Worker): LiveRun[] {
    const runs = load.runsByWorker.get(workerKey(worker)) ?? [];
    return runs.filter(({step}) => step.lasting);
  }

  function stepOf({job, key}: LiveRun): string {
    return taskName(job.spec.id, key.slice(0, key.lastIndexOf('.')));
  }

  function leftFor(live: LiveRun): number {
    const name = stepOf(live);
    const known = left.get(name);
    if (known !== undefined) return known;
    const budget = availabilityBudget(live.step);
    const free = budget - countUnavailable(live, isReady);
    left.set(name, free);
    return free;
  }

  function take(live: LiveRun): void {
    left.set(stepOf(live), leftFor(live) - 1);
  }

  // Their tasks are still ready, and will be stopped one after the other.
  for (const worker of fleet.workers) {
    if (!isCordoned(worker.host)) continue;
    for (const live of runsOn(worker)) {
      const task = taskName(live.job.spec.id, live.key);
      if (isReady(task, live.run)) take(live);
    }
  }

  return {
    canEmpty(host) {
      const worker = fleet.newestOn(host);
      const runs = worker ? runsOn(worker) : [];
      if (runs.length === 0) return false;
      // A host may have more tasks of a step than may be missing at once; they
      // are stopped in turn.
      const isAllowed = runs.every(live => leftFor(live) > 0);
      if (isAllowed) for (const live of runs) take(live);
      return isAllowed;
    },
  };
}
