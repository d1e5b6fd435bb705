/**
 * Jobs, their steps and tasks, and the runs of tasks on workers. A job has one
 * or more occurrences, each occurrence runs every step, and a step consists of
 * equal tasks.
 */
import {z} from 'zod';
import {Crash} from './crash.js';
import {Size} from './size.js';

export const Step = z.object({
  /** Number of tasks. */
  count: z.int().positive(),
  /** Resources that each task reserves. */
  size: Size,
  /**
   * The submitter's estimate of the duration of one task, often far off; 0
   * means no estimate.
   */
  estimateMs: z.number().nonnegative().default(0),
  /** Indexes of the steps that must have completed before this one. */
  after: z.array(z.int().nonnegative()).default([]),
  /** Tasks write checkpoints, from which later runs can continue. */
  checkpoints: z.boolean().default(false),
  /** All tasks start and end together, under one run number. */
  gang: z.boolean().default(false),
  /**
   * Prefers one rack for the whole gang, since a gang that spans racks is
   * slower.
   */
  sameRack: z.boolean().default(false),
  /** Label that a worker must have to run the tasks. */
  label: z.string().optional(),
  /** Rack that holds the data; tasks on other racks are slower. */
  rack: z.string().optional(),
  /**
   * Maximum number of tasks of one occurrence on one worker; 0 means no limit.
   */
  maxPerWorker: z.int().nonnegative().default(0),
  /** A task may have several runs at once; the first run to end counts. */
  speculative: z.boolean().default(false),
  /**
   * Long-running: runs until the job is cancelled, and is restarted however it
   * ends.
   */
  lasting: z.boolean().default(false),
  image: z.string().default(''),
  /**
   * Upper bound of the tail latency, in milliseconds, of a task that serves
   * users.
   */
  tailTargetMs: z.number().nonnegative().default(0),
  /**
   * Best-effort: reserves no cores and uses the CPU time that other tasks leave
   * idle.
   */
  filler: z.boolean().default(false),
  /**
   * Availability budget: number of tasks that the system may make unavailable
   * at once.
   */
  mayMiss: z.int().nonnegative().default(0),
});
export type Step = z.infer<typeof Step>;

/**
 * Occurrences of a job: occurrence k is due at `startAtMs + k * intervalMs`,
 * Unix time, for k from 0 to `times - 1`.
 */
export const Schedule = z.object({
  startAtMs: z.number(),
  intervalMs: z.number().nonnegative(),
  times: z.int().positive(),
});
export type Schedule = z.infer<typeof Schedule>;

export const JobSpec = z.object({
  id: z.string(),
  queue: z.string(),
  /** Absent for a job that was submitted without a key to an open queue. */
  team: z.string().optional(),
  /** Passed to the worker unchanged. */
  payload: z.string(),
  steps: z.array(Step).min(1),
  schedule: Schedule.optional(),
});
export type JobSpec = z.infer<typeof JobSpec>;

/** An attempt to run a task, which may be running on a worker. */
export const Run = z.object({
  number: z.int().positive(),
  /** Key of the worker's incarnation, see `workerKey`. */
  worker: z.string(),
});
export type Run = z.infer<typeof Run>;

/** Attempts to start earlier runs of a task that may still arrive at a worker. */
export const LateStart = z.object({
  /** Key of the worker's incarnation, see `workerKey`. */
  worker: z.string(),
  /** When the last one was made, see `State.ledMs`; absent if more may follow. */
  lastMs: z.number().optional(),
  /**
   * Whether the attempts count until a run that they start late has lapsed, and
   * not only until they cannot arrive any more.
   */
  mayRun: z.boolean(),
});
export type LateStart = z.infer<typeof LateStart>;

/** States of earlier versions name the workers only. */
const StoredLateStart = z.union([
  LateStart,
  z.string().transform((worker): LateStart => ({worker, mayRun: true})),
]);

export const Task = z.object({
  done: z.boolean(),
  /** Number of runs that failed. */
  failures: z.int().nonnegative(),
  /** Highest run number so far; 0 before the first run. */
  lastRun: z.int().nonnegative(),
  /** Latest checkpoint; empty if there is none. */
  checkpoint: z.string(),
  /** Runs that may be running. */
  runs: z.array(Run),
  /** Keys of the workers on which a run has failed. */
  failedOn: z.array(z.string()),
  /** Crashes of workers that may be due to the task; the latest is the last. */
  crashes: z.array(Crash).default([]),
  /**
   * Number of the last run that was stopped, or is to be, so that an urgent job
   * gets its room; absent if there is none.
   */
  displacedRun: z.int().positive().optional(),
  /** Attempts that may still arrive, one entry a worker; absent if none may. */
  lateOn: z.array(StoredLateStart).optional(),
});
export type Task = z.infer<typeof Task>;

/** State of a task that was never started. */
export const NEW_TASK: Task = {
  done: false,
  failures: 0,
  lastRun: 0,
  checkpoint: '',
  runs: [],
  failedOn: [],
  crashes: [],
};

export const JobPhase = z.enum(['active', 'completed', 'failed', 'cancelled']);
export type JobPhase = z.infer<typeof JobPhase>;

export const Job = z.object({
  spec: JobSpec,
  /** Unix time, by the clock of the leader that accepted the job. */
  acceptedAtMs: z.number(),
  phase: JobPhase,
  /** Whether any task has ever been started. */
  started: z.boolean(),
  /** Tasks that have been started at least once, by `taskKey`. */
  tasks: z.record(z.string(), Task),
  /** Number of completed tasks, by `stepKey`. */
  done: z.record(z.string(), z.int().nonnegative()),
});
export type Job = z.infer<typeof Job>;

/** Position of a task in its job. All numbers start at 0. */
export interface TaskPosition {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Key of a step of one occurrence, unique within the job. */
export function stepKey(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

/** Key of a task, unique within the job. */
export function taskKey({occurrence, step, index}: TaskPosition): string {
  return `${occurrence}.${step}.${index}`;
}

/** Parses a key made by `taskKey`. Parts that are no whole numbers become NaN. */
export function parseTaskKey(key: string): TaskPosition {
  // Without arrays, since it is called for each run in each round.
  const first = key.indexOf('.');
  const second = key.indexOf('.', first + 1);
  if (first < 0 || second < 0) return {occurrence: NaN, step: NaN, index: NaN};
  return {
    occurrence: toIndex(key.slice(0, first)),
    step: toIndex(key.slice(first + 1, second)),
    index: toIndex(key.slice(second + 1)),
  };
}

function toIndex(text: string): number {
  const index = Number(text);
  return text !== '' && Number.isInteger(index) ? index : NaN;
}

/** Name of a task, unique among all jobs. */
export function taskName(job: string, key: string): string {
  return `${job}.${key}`;
}

/** Splits a name made by `taskName`. */
export function splitTaskName(name: string): {job: string; key: string} {
  const dot = name.indexOf('.');
  return {job: name.slice(0, dot), key: name.slice(dot + 1)};
}

export function occurrenceCount({schedule}: JobSpec): number {
  return schedule?.times ?? 1;
}

/** Unix time at which the occurrence is due. */
export function dueAtMs(job: Job, occurrence: number): number {
  const {schedule} = job.spec;
  if (!schedule) return job.acceptedAtMs;
  return schedule.startAtMs + occurrence * schedule.intervalMs;
}

/**
 * Whether the occurrence may start. A job without a schedule may do so from its
 * acceptance on, even if the clock was set back since, or if it was accepted by
 * a leader whose clock is ahead.
 */
export function isDue(job: Job, occurrence: number, nowMs: number): boolean {
  return !job.spec.schedule || dueAtMs(job, occurrence) <= nowMs;
}

/** Whether all tasks of the step have completed. */
export function isStepDone(job: Job, occurrence: number, step: number) {
  const total = job.spec.steps[step]?.count ?? Infinity;
  return (job.done[stepKey(occurrence, step)] ?? 0) >= total;
}

/** Whether every step that `step` depends on has completed. */
export function isStepReady(job: Job, occurrence: number, step: number) {
  const {after} = job.spec.steps[step]!;
  return after.every(earlier => isStepDone(job, occurrence, earlier));
}

/** Whether all steps of all occurrences have completed. */
export function isComplete(job: Job): boolean {
  const {spec} = job;
  for (let occurrence = 0; occurrence < occurrenceCount(spec); occurrence++) {
    for (let step = 0; step < spec.steps.length; step++) {
      if (!isStepDone(job, occurrence, step)) return false;
    }
  }
  return true;
}

/** Whether any step of the job runs until the job is cancelled. */
export function isLongRunning({spec}: Job): boolean {
  return spec.steps.some(step => step.lasting);
}
