/** Trial packing of waiting tasks into the free capacity of hosts. */
import {add, subtract, ZERO_SIZE, type Size} from '@lentildrift/queue';
import {LazyNumber} from './candidate.js';
import type {WaitingTasks} from './demand.js';
import {createUnfitSizes} from './unfit.js';

/** A host as the pool policy sees it. */
export interface PoolHost {
  readonly id: string;
  /** Key of the worker on the host, if there is one. */
  readonly worker?: string | undefined;
  readonly capacity: Size;
  /** Capacity that no run has reserved. */
  readonly free: Size;
  readonly labels: readonly string[];
  /** Whether the host has had no runs for a while. */
  readonly idle: boolean;
  /**
   * Expected time until the host is idle if it gets no new runs; may be infinite
   * if it is longer than `MAX_TIME_TO_IDLE_MS`. May be computed on the first
   * read, from the runs on the host.
   */
  readonly emptyInMs: number;
  /** Whether the host must stay in its pool. */
  readonly pinned: boolean;
  /** Pools that the provider does not let the host join. */
  readonly excludedPools: ReadonlySet<string>;
}

class LazyPoolHost implements PoolHost {
  readonly id: string;
  readonly worker: string | undefined;
  readonly capacity: Size;
  readonly free: Size;
  readonly labels: readonly string[];
  readonly idle: boolean;
  readonly pinned: boolean;
  readonly excludedPools: ReadonlySet<string>;

  constructor(
    fields: Omit<PoolHost, 'emptyInMs'>,
    private readonly emptyTimeMs: LazyNumber,
  ) {
    this.id = fields.id;
    this.worker = fields.worker;
    this.capacity = fields.capacity;
    this.free = fields.free;
    this.labels = fields.labels;
    this.idle = fields.idle;
    this.pinned = fields.pinned;
    this.excludedPools = fields.excludedPools;
  }

  get emptyInMs(): number {
    return this.emptyTimeMs.read();
  }
}

/**
 * Creates a host whose `emptyInMs` takes a walk of its runs, and matters only if
 * the host may be moved.
 */
export function createPoolHost(
  fields: Omit<PoolHost, 'emptyInMs'>,
  emptyInMs: () => number,
): PoolHost {
  return new LazyPoolHost(fields, new LazyNumber(emptyInMs));
}

/** The host as it is while it is being moved. */
export function emptied(host: PoolHost): PoolHost {
  return {...host, worker: undefined, free: host.capacity, emptyInMs: 0};
}

/** A host with the capacity that remains during trial packing. */
export interface TrialHost {
  readonly host: PoolHost;
  readonly free: Size;
  /** Whether the trial has placed a task on the host. */
  readonly hasPlacedTasks: boolean;
}

export function createTrialHost(host: PoolHost): TrialHost {
  return {host, free: host.free, hasPlacedTasks: false};
}

export interface Packing {
  readonly hosts: readonly TrialHost[];
  /** Tasks that fit on none of the hosts. */
  readonly unplaced: readonly WaitingTasks[];
}

/** Places each task on the first host with enough free capacity. */
export function packTasks(
  hosts: readonly TrialHost[],
  waiting: readonly WaitingTasks[],
): Packing {
  const packed = [...hosts];
  const unplaced: WaitingTasks[] = [];
  const unfit = createUnfitSizes();
  for (const tasks of waiting) {
    if (unfit.covers(tasks.size, tasks.label)) {
      unplaced.push(tasks);
      continue;
    }
    let {count} = tasks;
    for (let index = 0; index < packed.length && count > 0; index++) {
      const placed = Math.min(count, countFittingTasks(packed[index]!, tasks));
      if (placed === 0) continue;
      count -= placed;
      packed[index] = {
        ...packed[index]!,
        free: subtract(packed[index]!.free, multiply(tasks.size, placed)),
        hasPlacedTasks: true,
      };
    }
    if (count === 0) continue;
    unplaced.push({...tasks, count});
    // A limit for each worker depends on where the step runs.
    if (tasks.maxPerWorker === 0) unfit.add(tasks.size, tasks.label);
  }
  return {hosts: packed, unplaced};
}

/**
 * Number of tasks that fit into the free capacity of a host, within their
 * limits.
 */
function countFittingTasks(
  {host, free}: TrialHost,
  tasks: WaitingTasks,
): number {
  const {size, label, maxPerWorker, running} = tasks;
  if (label !== undefined && !host.labels.includes(label)) return 0;
  const fitting = Math.min(
    countFitting(free.cpuMillis, size.cpuMillis),
    countFitting(free.memoryMb, size.memoryMb),
    countFitting(free.gpus, size.gpus),
  );
  if (maxPerWorker === 0) return fitting;
  const runningOnHost =
    host.worker === undefined ? 0 : running.get(host.worker);
  return Math.max(0, Math.min(fitting, maxPerWorker - (runningOnHost ?? 0)));
}

/** Whether the host could run one of the tasks if it had no runs. */
export function canHostTask(host: PoolHost, tasks: WaitingTasks): boolean {
  const empty = {host, free: host.capacity, hasPlacedTasks: false};
  return countFittingTasks(empty, {...tasks, running: new Map()}) > 0;
}

function countFitting(free: number, each: number): number {
  return each > 0 ? Math.max(0, Math.floor(free / each)) : Infinity;
}

function multiply(size: Size, count: number): Size {
  return {
    cpuMillis: size.cpuMillis * count,
    memoryMb: size.memoryMb * count,
    gpus: size.gpus * count,
  };
}

/**
 * Sum of the free capacity of the hosts. A host whose runs exceed the capacity,
 * since its worker has shrunk, takes nothing from the others.
 */
export function totalFree(hosts: readonly TrialHost[]): Size {
  return hosts.reduce(
    (total, {free}) => add(total, atLeastZero(free)),
    ZERO_SIZE,
  );
}

function atLeastZero({cpuMillis, memoryMb, gpus}: Size): Size {
  return {
    cpuMillis: Math.max(0, cpuMillis),
    memoryMb: Math.max(0, memoryMb),
    gpus: Math.max(0, gpus),
  };
}
