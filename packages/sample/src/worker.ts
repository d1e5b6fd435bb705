/** Workers of the fake platform: simulated tasks and their resource usage. */
import type {ObservedHost, Size} from '@lentildrift/model';
import {createHash} from 'node:crypto';

/** Speed of a throttled task, as a fraction of its normal speed. */
const THROTTLED_SPEED = 0.25;

/**
 * Actual resource usage and outcome of a task, independent of the declared
 * ones.
 */
export interface TaskBehaviour {
  readonly size: Size;
  readonly runTimeMs: number;
  /** Whether the task fails on every worker. */
  readonly fails: boolean;
}

export interface SampleTask {
  readonly job: string;
  readonly host: string;
  readonly token: number;
  readonly behaviour: TaskBehaviour;
  readonly startedAtMs: number;
  phase: 'running' | 'done' | 'failed' | 'stopped' | 'checkpointed';
  reason?: string;
  /** Completed part of the run time. */
  progressMs: number;
  throttled: boolean;
  /** Time at which the pending checkpoint is complete. */
  checkpointAtMs?: number;
  endedAtMs?: number;
  /** Expiry of the lease, set while the worker is unreachable. */
  leaseEndsAtMs?: number;
  readonly leaseMs: number;
}

export interface SampleWorker {
  readonly hostInfo: Omit<ObservedHost, 'healthy'>;
  /** `cut` means that the worker runs but is unreachable. */
  condition: 'up' | 'cut' | 'down';
  /** Whether the worker fails all of its tasks. */
  faulty: boolean;
  draining: boolean;
  /** Highest fencing token of a host command so far. */
  highestToken: number;
  /** Token of the last completed reboot. */
  rebootedToken?: number;
  /** End of the current reboot or outage. */
  recoversAtMs?: number;
  /** Token of the reboot in progress. */
  rebootToken?: number;
  readonly tasks: Map<string, SampleTask>;
  /** Time up to which the tasks have been simulated. */
  advancedAtMs: number;
}

export function createWorker(
  hostInfo: SampleWorker['hostInfo'],
  nowMs: number,
): SampleWorker {
  return {
    hostInfo,
    condition: 'up',
    faulty: false,
    draining: false,
    highestToken: 0,
    tasks: new Map(),
    advancedAtMs: nowMs,
  };
}

/** Simulates the worker up to `nowMs` and returns the tasks that ended. */
export function advanceWorker(
  worker: SampleWorker,
  nowMs: number,
): SampleTask[] {
  const ended: SampleTask[] = [];
  if (worker.condition !== 'down') {
    ended.push(...advanceTasks(worker, nowMs - worker.advancedAtMs, nowMs));
  }
  worker.advancedAtMs = nowMs;
  if (worker.recoversAtMs !== undefined && nowMs >= worker.recoversAtMs) {
    delete worker.recoversAtMs;
    worker.condition = 'up';
    if (worker.rebootToken !== undefined) {
      worker.rebootedToken = worker.rebootToken;
      delete worker.rebootToken;
    }
  }
  return ended;
}

/** Ends all tasks of the worker, as an outage or a reboot does. */
export function endAllTasks(worker: SampleWorker, nowMs: number): SampleTask[] {
  return [...worker.tasks.values()].map(task =>
    endTask(worker, task, 'stopped', nowMs, 'the worker was lost'),
  );
}

export function endTask(
  worker: SampleWorker,
  task: SampleTask,
  phase: SampleTask['phase'],
  nowMs: number,
  reason?: string,
): SampleTask {
  worker.tasks.delete(task.job);
  task.phase = phase;
  task.endedAtMs = nowMs;
  if (reason !== undefined) task.reason = reason;
  return task;
}

function advanceTasks(
  worker: SampleWorker,
  spanMs: number,
  nowMs: number,
): SampleTask[] {
  const ended: SampleTask[] = [];
  const speed = Math.min(
    1,
    worker.hostInfo.cores / (countUsedCores(worker) || 1),
  );
  for (const task of [...worker.tasks.values()]) {
    const outcome = advanceTask(worker, task, spanMs * speed, nowMs);
    if (outcome) ended.push(endTask(worker, task, ...outcome));
  }
  const task = findOutOfMemoryTask(worker);
  if (task) ended.push(endTask(worker, task, 'failed', nowMs, 'out of memory'));
  return ended;
}

type Outcome = [phase: SampleTask['phase'], nowMs: number, reason?: string];

function advanceTask(
  worker: SampleWorker,
  task: SampleTask,
  spanMs: number,
  nowMs: number,
): Outcome | undefined {
  if (worker.faulty) return ['failed', nowMs, 'the worker is faulty'];
  if (task.behaviour.fails) return ['failed', nowMs, 'the program fails'];
  if (worker.condition === 'cut' && nowMs >= (task.leaseEndsAtMs ?? Infinity)) {
    return ['stopped', nowMs, 'the lease has lapsed'];
  }
  task.progressMs += spanMs * (task.throttled ? THROTTLED_SPEED : 1);
  if (task.progressMs >= task.behaviour.runTimeMs) return ['done', nowMs];
  const checkpointAtMs = task.checkpointAtMs;
  return checkpointAtMs !== undefined && nowMs >= checkpointAtMs
    ? ['checkpointed', nowMs]
    : undefined;
}

function countUsedCores(worker: SampleWorker): number {
  let cores = 0;
  for (const task of worker.tasks.values()) cores += usageOf(task).cores;
  return cores;
}

/** The task that uses the most memory, if the worker has run out of memory. */
function findOutOfMemoryTask(worker: SampleWorker): SampleTask | undefined {
  let used = 0;
  let largest: SampleTask | undefined;
  for (const task of worker.tasks.values()) {
    const {memoryMiB} = task.behaviour.size;
    used += memoryMiB;
    if (memoryMiB > (largest?.behaviour.size.memoryMiB ?? 0)) largest = task;
  }
  return used > worker.hostInfo.memoryMiB ? largest : undefined;
}

export function usageOf({behaviour, throttled}: SampleTask): Size {
  const {size} = behaviour;
  if (!throttled) return size;
  return {...size, cores: size.cores * THROTTLED_SPEED};
}

/** A deterministic number from 0 to 1, derived from the seed and the name. */
export function seededUnit(seed: number, name: string): number {
  const digest = createHash('sha256').update(`${seed}/${name}`).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}

const SLEEP = /^sleep (\d+)$/;
const DEFAULT_RUN_TIME_MS = 10_000;

/**
 * Derives the behaviour of a task from its command (`sleep MS` or `fail`) and a
 * seed. Actual sizes are between 0.4 and 1.6 times the declared ones.
 */
export function seededBehaviour(
  seed: number,
  job: string,
  command: string,
  declared: Size,
): TaskBehaviour {
  const factor = (name: string) => 0.4 + 1.2 * seededUnit(seed, job + name);
  const runTimeMs = Number(SLEEP.exec(command)?.[1] ?? DEFAULT_RUN_TIME_MS);
  return {
    size: {
      cores: declared.cores * factor('cores'),
      memoryMiB: Math.ceil(declared.memoryMiB * factor('memory')),
      accelerators: declared.accelerators,
    },
    runTimeMs,
    fails: command === 'fail',
  };
}
