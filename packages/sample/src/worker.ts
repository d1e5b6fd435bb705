/** Workers of the platform stand-in: tasks that run, end and use resources. */
import type {ObservedHost, Size} from '@lentildrift/model';
import {createHash} from 'node:crypto';

/** Part of its speed that a throttled task keeps. */
const THROTTLED_SPEED = 0.25;

/** What a task does in truth, whatever was declared. */
export interface TaskBehaviour {
  readonly size: Size;
  readonly runTimeMs: number;
  /** Fails on every worker. */
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
  progressMs: number;
  throttled: boolean;
  /** When a checkpoint under way is complete. */
  checkpointAtMs?: number;
  endedAtMs?: number;
  /** End of the lease, set while the worker cannot be reached. */
  leaseEndsAtMs?: number;
  readonly leaseMs: number;
}

export interface SampleWorker {
  readonly hostInfo: Omit<ObservedHost, 'healthy'>;
  /** `cut`: it runs, but cannot be reached. */
  condition: 'up' | 'cut' | 'down';
  /** Fails every task that it starts. */
  faulty: boolean;
  draining: boolean;
  highestToken: number;
  rebootedToken?: number;
  /** When a reboot or an outage ends. */
  recoversAtMs?: number;
  rebootToken?: number;
  readonly tasks: Map<string, SampleTask>;
  advancedAtMs: number;
}

export function createWorker(
  facts: SampleWorker['hostInfo'],
  nowMs: number,
): SampleWorker {
  return {
    hostInfo: facts,
    condition: 'up',
    faulty: false,
    draining: false,
    highestToken: 0,
    tasks: new Map(),
    advancedAtMs: nowMs,
  };
}

/** Brings the worker up to `nowMs`; returns the tasks that have ended. */
export function advanceWorker(
  worker: SampleWorker,
  nowMs: number,
): SampleTask[] {
  const ended: SampleTask[] = [];
  if (worker.condition !== 'down') {
    ended.push(...run(worker, nowMs - worker.advancedAtMs, nowMs));
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

/** Ends every task of the worker, as an outage or a reboot does. */
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

function run(
  worker: SampleWorker,
  spanMs: number,
  nowMs: number,
): SampleTask[] {
  const ended: SampleTask[] = [];
  const speed = Math.min(1, worker.hostInfo.cores / (coresUsed(worker) || 1));
  for (const task of [...worker.tasks.values()]) {
    const outcome = step(worker, task, spanMs * speed, nowMs);
    if (outcome) ended.push(endTask(worker, task, ...outcome));
  }
  const victim = memoryVictim(worker);
  if (victim)
    ended.push(endTask(worker, victim, 'failed', nowMs, 'out of memory'));
  return ended;
}

type Outcome = [phase: SampleTask['phase'], nowMs: number, reason?: string];

function step(
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
  const saved = task.checkpointAtMs;
  return saved !== undefined && nowMs >= saved
    ? ['checkpointed', nowMs]
    : undefined;
}

function coresUsed(worker: SampleWorker): number {
  let cores = 0;
  for (const task of worker.tasks.values()) cores += usageOf(task).cores;
  return cores;
}

/** The task with the most memory, when the worker has too little. */
function memoryVictim(worker: SampleWorker): SampleTask | undefined {
  let used = 0;
  let victim: SampleTask | undefined;
  for (const task of worker.tasks.values()) {
    const {memoryMiB} = task.behaviour.size;
    used += memoryMiB;
    if (memoryMiB > (victim?.behaviour.size.memoryMiB ?? 0)) victim = task;
  }
  return used > worker.hostInfo.memoryMiB ? victim : undefined;
}

export function usageOf({behaviour: truth, throttled}: SampleTask): Size {
  const {size} = truth;
  if (!throttled) return size;
  return {...size, cores: size.cores * THROTTLED_SPEED};
}

/** A number from 0 to 1 that depends on the seed and the name alone. */
export function seededUnit(seed: number, name: string): number {
  const digest = createHash('sha256').update(`${seed}/${name}`).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}

const SLEEP = /^sleep (\d+)$/;
const DEFAULT_RUN_TIME_MS = 10_000;

/**
 * Truth of a task by its command (`sleep MS` or `fail`) and a seed: real sizes
 * are between 0.4 and 1.6 times the declared ones.
 */
export function seededBehaviour(
  seed: number,
  job: string,
  command: string,
  declared: Size,
): TaskBehaviour {
  const factor = (what: string) => 0.4 + 1.2 * seededUnit(seed, job + what);
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
