/**
 * Estimates job sizes from declared sizes and from the usage of observed tasks.
 */
import {findJob, type Job, type Size, type State} from '@lentildrift/model';
import type {SoftState, UsageRatio} from './soft-state.js';
import {
  indexTasksByJob,
  type PlatformObservation,
  type ObservedTask,
} from './decision-input.js';

/** Weight of one sample in the exponential moving averages. */
const SMOOTHING = 0.05;
/** Bounds of the ratio of estimated to declared size. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;
/** Samples needed before an estimate may fall below the declared size. */
const MIN_TRUSTED_SAMPLES = 20;
/**
 * Factor on estimated memory, since memory cannot be redistributed afterwards.
 */
const MEMORY_MARGIN = 1.15;

/**
 * Estimates sizes of jobs; the size that a job asks for is its `declared` size.
 */
export interface Estimator {
  /**
   * Estimates from the declared size and the usage of the team's jobs in the
   * queue.
   */
  estimateSize(job: Job): Size;
  /**
   * Returns a running job's reported usage, or the estimate if there is none
   * yet.
   */
  estimateRunningSize(job: Job): Size;
  /** Whether the platform reports the job's current attempt as throttled. */
  isThrottled(job: Job): boolean;
}

/**
 * Updates the average usage ratios and the failure streaks from an observation.
 * `before` is the state that does not include the observation yet.
 */
export function learnFromObservation(
  softState: SoftState,
  before: State,
  observation: PlatformObservation,
): SoftState {
  const usageRatios = new Map(softState.usageRatios);
  const countedEnds = new Map<string, number>();
  const sampledAttempts = new Map<string, number>();
  const failureStreaks = new Map(softState.failureStreaks);
  for (const task of observation.tasks) {
    if (task.phase !== 'running') {
      countedEnds.set(task.job, task.token);
      if (softState.countedEnds.get(task.job) !== task.token)
        updateFailureStreak(failureStreaks, task);
    } else if (task.usage && !task.throttled) {
      sampledAttempts.set(task.job, task.token);
      if (softState.sampledAttempts.get(task.job) === task.token) continue;
      const job = findJob(before.jobs, task.job);
      if (!job) continue;
      const key = `${job.team}/${job.queue}`;
      usageRatios.set(
        key,
        updateRatio(usageRatios.get(key), job.declared, task.usage),
      );
    }
  }
  return {
    ...softState,
    usageRatios,
    countedEnds,
    sampledAttempts,
    failureStreaks,
  };
}

/** Adds a sample to the moving averages of a usage ratio. */
function updateRatio(
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

/** Extends the worker's streak by a failed task; a completed task ends it. */
function updateFailureStreak(
  streaks: Map<string, ReadonlySet<string>>,
  task: ObservedTask,
): void {
  if (task.phase === 'done') streaks.delete(task.host);
  if (task.phase !== 'failed') return;
  const streak = new Set(streaks.get(task.host));
  streaks.set(task.host, streak.add(task.job));
}

/** Creates an estimator, which caches the sizes that it has computed. */
export function createEstimator(
  softState: SoftState,
  observation: PlatformObservation,
): Estimator {
  const tasks = indexTasksByJob(observation);

  const estimatedSizes = new Map<Job, Size>();

  function estimateSize(job: Job): Size {
    let size = estimatedSizes.get(job);
    if (!size) estimatedSizes.set(job, (size = computeSize(job)));
    return size;
  }

  function computeSize(job: Job): Size {
    const ratio = softState.usageRatios.get(`${job.team}/${job.queue}`);
    const {declared} = job;
    if (!ratio) return declared;
    const least = ratio.samples < MIN_TRUSTED_SAMPLES ? 1 : MIN_RATIO;
    return {
      cores: declared.cores * clamp(ratio.cores, least),
      memoryMiB: Math.ceil(
        declared.memoryMiB * clamp(ratio.memory * MEMORY_MARGIN, least),
      ),
      accelerators: declared.accelerators,
    };
  }

  const runningSizes = new Map<Job, Size>();

  function estimateRunningSize(job: Job): Size {
    let size = runningSizes.get(job);
    if (!size) runningSizes.set(job, (size = computeRunningSize(job)));
    return size;
  }

  function computeRunningSize(job: Job): Size {
    const task = tasks.get(job.id);
    if (!task?.usage || task.token !== job.token) return estimateSize(job);
    const memoryMiB = Math.ceil(task.usage.memoryMiB);
    return {...task.usage, memoryMiB, accelerators: job.declared.accelerators};
  }

  function isThrottled(job: Job): boolean {
    const task = tasks.get(job.id);
    return task?.token === job.token && task?.throttled === true;
  }

  return {
    estimateSize,
    estimateRunningSize,
    isThrottled,
  };
}

function clamp(ratio: number, least: number): number {
  return Math.min(MAX_RATIO, Math.max(least, ratio));
}
