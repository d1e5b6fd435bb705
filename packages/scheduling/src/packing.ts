/** Trial packing of waiting tasks into the free room of hosts. */
import {add, ZERO_SIZE, subtract, type Size} from '@lentildrift/queue';
import type {WaitingTasks} from './demand.js';

/** A host as the division of hosts between pools sees it. */
export interface PoolHost {
  readonly id: string;
  /** Key of its worker, if one runs there. */
  readonly worker?: string | undefined;
  readonly capacity: Size;
  /** What no run has reserved. */
  readonly free: Size;
  readonly labels: readonly string[];
  /** Nothing runs on it, and nothing has for a while. */
  readonly idle: boolean;
  /** Expected time until nothing runs on it, if it gets nothing new. */
  readonly emptyInMs: number;
  /** It may not leave its pool. */
  readonly pinned: boolean;
  /** Pools that the provider does not let it join. */
  readonly excludedPools: ReadonlySet<string>;
}

/** What is left of a host in a trial. */
export interface TrialHost {
  readonly host: PoolHost;
  readonly free: Size;
  /** Whether a task of the trial is on it. */
  readonly hasPlacedTasks: boolean;
}

export function createTrialHost(host: PoolHost): TrialHost {
  return {host, free: host.free, hasPlacedTasks: false};
}

export interface Packing {
  readonly hosts: readonly TrialHost[];
  /** Tasks that fit nowhere. */
  readonly unplaced: readonly WaitingTasks[];
}

/** Places the tasks on the first hosts with room. */
export function packTasks(
  rooms: readonly TrialHost[],
  waiting: readonly WaitingTasks[],
): Packing {
  const next = [...rooms];
  const left: WaitingTasks[] = [];
  for (const row of waiting) {
    let {count} = row;
    for (let at = 0; at < next.length && count > 0; at++) {
      const placed = Math.min(count, roomFor(next[at]!, row));
      if (placed === 0) continue;
      count -= placed;
      next[at] = {
        ...next[at]!,
        free: subtract(next[at]!.free, times(row.size, placed)),
        hasPlacedTasks: true,
      };
    }
    if (count > 0) left.push({...row, count});
  }
  return {hosts: next, unplaced: left};
}

/** How many of the tasks a host takes. */
function roomFor({host, free}: TrialHost, row: WaitingTasks): number {
  const {size, label, maxPerWorker, running} = row;
  if (label !== undefined && !host.labels.includes(label)) return 0;
  const fit = Math.min(
    share(free.cpuMillis, size.cpuMillis),
    share(free.memoryMb, size.memoryMb),
    share(free.gpus, size.gpus),
  );
  if (maxPerWorker === 0) return fit;
  const there = host.worker === undefined ? 0 : running.get(host.worker);
  return Math.max(0, Math.min(fit, maxPerWorker - (there ?? 0)));
}

/** Whether a host that is empty could run one of the tasks. */
export function canHostTask(host: PoolHost, row: WaitingTasks): boolean {
  const empty = {host, free: host.capacity, hasPlacedTasks: false};
  return roomFor(empty, {...row, running: new Map()}) > 0;
}

function share(free: number, each: number): number {
  return each > 0 ? Math.max(0, Math.floor(free / each)) : Infinity;
}

function times(size: Size, count: number): Size {
  return {
    cpuMillis: size.cpuMillis * count,
    memoryMb: size.memoryMb * count,
    gpus: size.gpus * count,
  };
}

export function totalFree(rooms: readonly TrialHost[]): Size {
  return rooms.reduce((total, {free}) => add(total, free), ZERO_SIZE);
}
