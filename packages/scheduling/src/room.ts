/** Trial packing of waiting tasks into the free room of hosts. */
import {add, NO_SIZE, subtract, type Size} from '@lentildrift/queue';
import type {Waiting} from './demand.js';

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
  readonly barredFrom: ReadonlySet<string>;
}

/** What is left of a host in a trial. */
export interface Room {
  readonly host: PoolHost;
  readonly free: Size;
  /** Whether a task of the trial is on it. */
  readonly taken: boolean;
}

export function openRoom(host: PoolHost): Room {
  return {host, free: host.free, taken: false};
}

export interface Packing {
  readonly rooms: readonly Room[];
  /** Tasks that fit nowhere. */
  readonly left: readonly Waiting[];
}

/** Places the tasks on the first hosts with room. */
export function pack(
  rooms: readonly Room[],
  waiting: readonly Waiting[],
): Packing {
  const next = [...rooms];
  const left: Waiting[] = [];
  for (const row of waiting) {
    let {count} = row;
    for (let at = 0; at < next.length && count > 0; at++) {
      const placed = Math.min(count, roomFor(next[at]!, row));
      if (placed === 0) continue;
      count -= placed;
      next[at] = {
        ...next[at]!,
        free: subtract(next[at]!.free, times(row.size, placed)),
        taken: true,
      };
    }
    if (count > 0) left.push({...row, count});
  }
  return {rooms: next, left};
}

/** How many of the tasks a host takes. */
function roomFor({host, free}: Room, row: Waiting): number {
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
export function isSuitable(host: PoolHost, row: Waiting): boolean {
  const empty = {host, free: host.capacity, taken: false};
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

export function totalFree(rooms: readonly Room[]): Size {
  return rooms.reduce((total, {free}) => add(total, free), NO_SIZE);
}
