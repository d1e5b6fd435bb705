/**
 * Adds up where the time of a job goes. Each step counts by the task that ends
 * it, whose run passes `decided → ordered → started → reported → recorded`.
 */
import {
  NEW_TASK,
  parseTaskKey,
  splitTaskName,
  stepKey,
  type EndRow,
  type State,
} from '@lentildrift/queue';
import {runId} from '@lentildrift/scheduling';
import type {RunTracker} from './tracker.js';

/** Parts of the time from the arrival of a job at the leader to its end. */
export interface JobStages {
  /** Until the job was recorded. */
  intakeMs: number;
  /** Steps that were ready, and had tasks without room. */
  roomMs: number;
  /** Starts that were decided, until they were recorded and ordered. */
  commitMs: number;
  /** Orders, until their workers confirmed them. */
  orderMs: number;
  runMs: number;
  /** Ends that a worker had reported, until they were recorded. */
  recordMs: number;
}

export interface JobStagesOptions {
  readonly runs: Pick<RunTracker, 'timesOf' | 'startedMs'>;
  state(): State;
}

export interface JobStagesRecorder {
  /** Notes that a job has arrived. */
  recordArrival(job: string): void;
  /** Notes that the job is recorded, so that its first steps are ready. */
  recordAccepted(job: string): void;
  /** Notes ends that are recorded now, before their runs are forgotten. */
  recordEnds(ends: readonly EndRow[]): void;
  /** Returns the stages of a job that has ended, and drops them. */
  take(job: string): JobStages | undefined;
}

/** A job that has not ended. Times are monotonic. */
interface OpenJob {
  readonly arrivedMs: number;
  /** When its current step became ready. */
  readyMs: number;
  readonly stages: JobStages;
  /** Steps that were added to the stages, by `stepKey`. */
  readonly addedSteps: Set<string>;
}

/** Jobs whose stages are kept; those of others are not logged. */
const MAX_JOBS = 10_000;

export function createJobStages(options: JobStagesOptions): JobStagesRecorder {
  const {runs, state} = options;
  const open = new Map<string, OpenJob>();

  function recordArrival(job: string): void {
    if (open.has(job) || open.size >= MAX_JOBS) return;
    const arrivedMs = performance.now();
    const stages = {
      intakeMs: 0,
      roomMs: 0,
      commitMs: 0,
      orderMs: 0,
      runMs: 0,
      recordMs: 0,
    };
    const addedSteps = new Set<string>();
    open.set(job, {arrivedMs, readyMs: arrivedMs, stages, addedSteps});
  }

  function recordAccepted(id: string): void {
    const job = open.get(id);
    if (!job) return;
    job.readyMs = performance.now();
    job.stages.intakeMs = job.readyMs - job.arrivedMs;
  }

  function recordEnds(ends: readonly EndRow[]): void {
    const nowMs = performance.now();
    for (const [name, run, how] of ends) {
      const {job: id, key} = splitTaskName(name);
      const job = open.get(id);
      if (!job || how !== 'done' || !endsStep(id, key)) continue;
      const {occurrence, step} = parseTaskKey(key);
      // The ends of a step may be recorded together, by several workers.
      if (job.addedSteps.has(stepKey(occurrence, step))) continue;
      job.addedSteps.add(stepKey(occurrence, step));
      addRun(job, runId(name, run), nowMs);
      job.readyMs = nowMs;
    }
  }

  /** Whether the step of the task is done; jobs that have ended keep no tasks. */
  function endsStep(id: string, key: string): boolean {
    const job = state().jobs.get(id);
    if (!job) return false;
    if (job.phase !== 'active') return true;
    const {occurrence, step} = parseTaskKey(key);
    const done = job.done[stepKey(occurrence, step)] ?? 0;
    const {done: isDone} = job.tasks[key] ?? NEW_TASK;
    return isDone && done >= job.spec.steps[step]!.count;
  }

  function addRun({stages, readyMs}: OpenJob, id: string, nowMs: number): void {
    const {decidedMs, orderedMs, reportedEndMs} = runs.timesOf(id);
    const startedMs = runs.startedMs(id);
    if (
      decidedMs === undefined ||
      orderedMs === undefined ||
      startedMs === undefined ||
      reportedEndMs === undefined
    ) {
      // Ordered by an earlier leader, or its answer was lost.
      stages.runMs += nowMs - readyMs;
      return;
    }
    stages.roomMs += Math.max(0, decidedMs - readyMs);
    stages.commitMs += orderedMs - decidedMs;
    stages.orderMs += startedMs - orderedMs;
    stages.runMs += reportedEndMs - startedMs;
    stages.recordMs += nowMs - reportedEndMs;
  }

  return {
    recordArrival,
    recordAccepted,
    recordEnds,
    take(id) {
      const job = open.get(id);
      open.delete(id);
      return job?.stages;
    },
  };
}
