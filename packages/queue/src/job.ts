/** Jobs, their steps and tasks, and the runs of tasks on workers. */
import {z} from 'zod';
import {Size} from './size.js';

export const Step = z.object({
  count: z.int().positive(),
  size: Size,
  /** The submitter's estimate of one task's duration; often far off. */
  estimateMs: z.number().nonnegative().default(0),
  /** Steps that must have completed before this one. */
  after: z.array(z.int().nonnegative()).default([]),
  checkpoints: z.boolean().default(false),
  /** All tasks work together, under one run number, and end together. */
  gang: z.boolean().default(false),
  /** A gang that spans racks is slower. */
  sameRack: z.boolean().default(false),
  /** Label that the worker must have. */
  label: z.string().optional(),
  /** Rack that holds the data; other racks are slower. */
  rack: z.string().optional(),
  /** Most tasks of one occurrence on one worker; 0 means no limit. */
  maxPerWorker: z.int().nonnegative().default(0),
  /** Several runs of a task may be under way; the first to end counts. */
  speculative: z.boolean().default(false),
  /** Runs until the job is cancelled and is restarted however it ends. */
  lasting: z.boolean().default(false),
  image: z.string().default(''),
  /** Bound on the tail of response times of a task that serves users. */
  tailTargetMs: z.number().nonnegative().default(0),
  /** Uses the processor time that other tasks leave; reserves no cores. */
  filler: z.boolean().default(false),
  /** Tasks that may be unavailable at once because of the system. */
  mayMiss: z.int().nonnegative().default(0),
});
export type Step = z.infer<typeof Step>;

/** Occurrence k is due at `startAtMs + k * intervalMs`, Unix time. */
export const Schedule = z.object({
  startAtMs: z.number(),
  intervalMs: z.number().nonnegative(),
  times: z.int().positive(),
});
export type Schedule = z.infer<typeof Schedule>;

export const JobSpec = z.object({
  id: z.string(),
  queue: z.string(),
  /** Absent for a job that came without a key through an open queue. */
  team: z.string().optional(),
  /** Passed to the worker as it is. */
  payload: z.string(),
  steps: z.array(Step).min(1),
  schedule: Schedule.optional(),
});
export type JobSpec = z.infer<typeof JobSpec>;

/** A run that may be under way on a worker. */
export const Run = z.object({
  number: z.int().positive(),
  /** Key of the worker's incarnation, see `workerKey`. */
  worker: z.string(),
});
export type Run = z.infer<typeof Run>;

export const Task = z.object({
  done: z.boolean(),
  failures: z.int().nonnegative(),
  lastRun: z.int().nonnegative(),
  /** Empty if there is none. */
  checkpoint: z.string(),
  runs: z.array(Run),
  /** Workers on which a run has failed. */
  failedOn: z.array(z.string()),
});
export type Task = z.infer<typeof Task>;

export const NEW_TASK: Task = {
  done: false,
  failures: 0,
  lastRun: 0,
  checkpoint: '',
  runs: [],
  failedOn: [],
};

export const JobPhase = z.enum(['active', 'completed', 'failed', 'cancelled']);
export type JobPhase = z.infer<typeof JobPhase>;

export const Job = z.object({
  spec: JobSpec,
  /** Unix time at the leader that accepted the job. */
  acceptedAtMs: z.number(),
  phase: JobPhase,
  /** Whether any task was ever started. */
  started: z.boolean(),
  /** Tasks that were started at least once, by `taskKey`. */
  tasks: z.record(z.string(), Task),
  /** Completed tasks by `stepKey`. */
  done: z.record(z.string(), z.int().nonnegative()),
});
export type Job = z.infer<typeof Job>;

/** Position of a task: occurrence, step and index in the step. */
export interface TaskPosition {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

export function stepKey(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

export function taskKey({occurrence, step, index}: TaskPosition): string {
  return `${occurrence}.${step}.${index}`;
}

export function parseTaskKey(key: string): TaskPosition {
  const [occurrence = NaN, step = NaN, index = NaN] = key
    .split('.')
    .map(Number);
  return {occurrence, step, index};
}

/** Name of a task across all jobs. */
export function taskName(job: string, key: string): string {
  return `${job}.${key}`;
}

export function splitTaskName(name: string): {job: string; key: string} {
  const dot = name.indexOf('.');
  return {job: name.slice(0, dot), key: name.slice(dot + 1)};
}

export function occurrenceCount({schedule}: JobSpec): number {
  return schedule?.times ?? 1;
}

/** When the occurrence is due, Unix time. */
export function dueAtMs(job: Job, occurrence: number): number {
  const {schedule} = job.spec;
  if (!schedule) return job.acceptedAtMs;
  return schedule.startAtMs + occurrence * schedule.intervalMs;
}

export function isStepDone(job: Job, occurrence: number, step: number) {
  const total = job.spec.steps[step]?.count ?? Infinity;
  return (job.done[stepKey(occurrence, step)] ?? 0) >= total;
}

/** Whether every step that `step` waits for has completed. */
export function isStepReady(job: Job, occurrence: number, step: number) {
  const {after} = job.spec.steps[step]!;
  return after.every(earlier => isStepDone(job, occurrence, earlier));
}

export function isComplete(job: Job): boolean {
  const {spec} = job;
  for (let occurrence = 0; occurrence < occurrenceCount(spec); occurrence++) {
    for (let step = 0; step < spec.steps.length; step++) {
      if (!isStepDone(job, occurrence, step)) return false;
    }
  }
  return true;
}

export function isLongRunning({spec}: Job): boolean {
  return spec.steps.some(step => step.lasting);
}
