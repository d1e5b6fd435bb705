/** Learns from usage and ends of tasks; corrects declared sizes. */
import {findJob, type Job, type Size, type State} from '@lentildrift/model';
import type {SoftState, UsageRatio} from './soft-state.js';
import {
  indexTasksByJob,
  type PlatformObservation,
  type ObservedTask,
} from './decision-input.js';

/** Weight of one sample in the moving averages. */
const SMOOTHING = 0.05;
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;
/** Samples before a ratio is trusted below the declared size. */
const TRUSTED_SAMPLES = 20;
/** Room kept above the estimate, since memory cannot be shared out late. */
const MEMORY_MARGIN = 1.15;

/** Sizes as estimated; `declared` is the size that the job asked for. */
export interface Estimator {
  /** Size of a job by its declaration and others like it. */
  estimateSize(job: Job): Size;
  /** Size of a running job: its own usage, once that has been reported. */
  estimateRunningSize(job: Job): Size;
  isThrottled(job: Job): boolean;
}

/** Updates the averages and the failure streaks from an observation. */
export function learnFromObservation(
  memory: SoftState,
  before: State,
  sight: PlatformObservation,
): SoftState {
  const ratios = new Map(memory.usageRatios);
  const ended = new Map<string, number>();
  const learnt = new Map<string, number>();
  const streaks = new Map(memory.failureStreaks);
  for (const task of sight.tasks) {
    if (task.phase !== 'running') {
      ended.set(task.job, task.token);
      if (memory.countedEnds.get(task.job) !== task.token)
        countEnd(streaks, task);
    } else if (task.usage && !task.throttled) {
      learnt.set(task.job, task.token);
      if (memory.sampledAttempts.get(task.job) === task.token) continue;
      const job = findJob(before.jobs, task.job);
      if (!job) continue;
      const key = `${job.team}/${job.queue}`;
      ratios.set(key, blended(ratios.get(key), job.declared, task.usage));
    }
  }
  return {
    ...memory,
    usageRatios: ratios,
    countedEnds: ended,
    sampledAttempts: learnt,
    failureStreaks: streaks,
  };
}

function blended(
  old: UsageRatio | undefined,
  declared: Size,
  usage: Size,
): UsageRatio {
  const cores = usage.cores / declared.cores;
  const memory = usage.memoryMiB / declared.memoryMiB;
  if (!old) return {cores, memory, samples: 1};
  return {
    cores: old.cores + SMOOTHING * (cores - old.cores),
    memory: old.memory + SMOOTHING * (memory - old.memory),
    samples: old.samples + 1,
  };
}

function countEnd(
  streaks: Map<string, ReadonlySet<string>>,
  task: ObservedTask,
): void {
  if (task.phase === 'done') streaks.delete(task.host);
  if (task.phase !== 'failed') return;
  const streak = new Set(streaks.get(task.host));
  streaks.set(task.host, streak.add(task.job));
}

export function createEstimator(
  memory: SoftState,
  sight: PlatformObservation,
): Estimator {
  const tasks = indexTasksByJob(sight);

  const corrections = new Map<Job, Size>();

  function corrected(job: Job): Size {
    let size = corrections.get(job);
    if (!size) corrections.set(job, (size = correct(job)));
    return size;
  }

  function correct(job: Job): Size {
    const ratio = memory.usageRatios.get(`${job.team}/${job.queue}`);
    const {declared} = job;
    if (!ratio) return declared;
    const least = ratio.samples < TRUSTED_SAMPLES ? 1 : MIN_RATIO;
    return {
      cores: declared.cores * clamp(ratio.cores, least),
      memoryMiB: Math.ceil(
        declared.memoryMiB * clamp(ratio.memory * MEMORY_MARGIN, least),
      ),
      accelerators: declared.accelerators,
    };
  }

  const known = new Map<Job, Size>();

  function running(job: Job): Size {
    let size = known.get(job);
    if (!size) known.set(job, (size = measured(job)));
    return size;
  }

  function measured(job: Job): Size {
    const task = tasks.get(job.id);
    if (!task?.usage || task.token !== job.token) return corrected(job);
    const memoryMiB = Math.ceil(task.usage.memoryMiB);
    return {...task.usage, memoryMiB, accelerators: job.declared.accelerators};
  }

  function throttled(job: Job): boolean {
    const task = tasks.get(job.id);
    return task?.token === job.token && task?.throttled === true;
  }

  return {
    estimateSize: corrected,
    estimateRunningSize: running,
    isThrottled: throttled,
  };
}

function clamp(ratio: number, least: number): number {
  return Math.min(MAX_RATIO, Math.max(least, ratio));
}
