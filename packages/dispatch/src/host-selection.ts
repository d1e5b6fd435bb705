/** Selects the hosts that a maintenance wave empties next. */
import {workerKey, type Wave} from '@lentildrift/queue';
import type {Fleet, StateView} from '@lentildrift/scheduling';
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
}

export interface SelectedHost {
  readonly host: string;
  /** Whether nothing runs on the host. */
  readonly idle: boolean;
}

export interface HostSelection {
  /**
   * Selects at most `openSlots` hosts to empty: idle hosts at any time, and
   * hosts in use only if the wave would otherwise miss its deadline, few of one
   * pool at a time.
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
