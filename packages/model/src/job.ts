/** Jobs, their specifications and the phases that they pass through. */
import {z} from 'zod';
import {nameSchema} from './table.js';

export const sizeSchema = z.object({
  cores: z.number().positive(),
  memoryMiB: z.number().int().positive(),
  accelerators: z.number().int().nonnegative().default(0),
});
export type Size = z.infer<typeof sizeSchema>;

export const jobSpecSchema = z.strictObject({
  /** No leading underscore, since `__proto__` cannot be a key of a record. */
  id: z.string().regex(/^[A-Za-z0-9.-][A-Za-z0-9._-]{0,79}$/),
  /** Name of the route whose pool runs the job. */
  queue: nameSchema,
  /** Resources that the job asks for. */
  declared: sizeSchema,
  /** Expected run time, in milliseconds. */
  runTimeMs: z.number().int().positive(),
  urgent: z.boolean().default(false),
  /** Passed to the platform uninterpreted. */
  command: z.string().max(4096).default(''),
});
export type JobSpec = z.infer<typeof jobSpecSchema>;

export const jobPhaseSchema = z.enum([
  'queued',
  'starting',
  'running',
  'parked',
  'done',
  'failed',
  'cancelled',
]);
export type JobPhase = z.infer<typeof jobPhaseSchema>;

export const jobSchema = z.object({
  ...jobSpecSchema.shape,
  team: z.string(),
  phase: jobPhaseSchema,
  submittedAtMs: z.number(),
  /** Worker of the current attempt. */
  host: z.string().optional(),
  /** Fencing token of the current attempt. */
  token: z.number().int().optional(),
  placedAtMs: z.number().optional(),
  startedAtMs: z.number().optional(),
  endedAtMs: z.number().optional(),
  /** Workers on which the job has failed. */
  failedOn: z.array(z.string()),
  /** Set if the job was cancelled while an attempt occupied a worker. */
  cancelRequested: z.boolean().default(false),
  checkpointed: z.boolean().default(false),
  /** Why the last attempt failed or the job was parked. */
  reason: z.string().optional(),
});
export type Job = z.infer<typeof jobSchema>;

/** Whether an attempt of the job uses resources of a worker. */
export function isOccupyingWorker(job: Job): boolean {
  return job.phase === 'starting' || job.phase === 'running';
}

/** Whether the job is in a final phase. */
export function isFinal({phase}: Job): boolean {
  return phase === 'done' || phase === 'failed' || phase === 'cancelled';
}
