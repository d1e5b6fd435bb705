/** Jobs in queues and their life on the platform's workers. */
import {z} from 'zod';
import {nameSchema} from './table.js';

export const sizeSchema = z.object({
  cores: z.number().positive(),
  memoryMiB: z.number().int().positive(),
  accelerators: z.number().int().nonnegative().default(0),
});
export type Size = z.infer<typeof sizeSchema>;

export const jobSpecSchema = z.strictObject({
  /** No leading underscore, since `__proto__` is no key of a record. */
  id: z.string().regex(/^[A-Za-z0-9.-][A-Za-z0-9._-]{0,79}$/),
  /** Name of the route that leads to the pool of workers. */
  queue: nameSchema,
  declared: sizeSchema,
  runTimeMs: z.number().int().positive(),
  urgent: z.boolean().default(false),
  /** Opaque to lentildrift; handed to the platform. */
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
  host: z.string().optional(),
  /** Fencing token of the current attempt. */
  token: z.number().int().optional(),
  placedAtMs: z.number().optional(),
  startedAtMs: z.number().optional(),
  endedAtMs: z.number().optional(),
  /** Workers on which the job has failed. */
  failedOn: z.array(z.string()),
  /** Set when a cancel arrived while an attempt was on a worker. */
  cancelRequested: z.boolean().default(false),
  checkpointed: z.boolean().default(false),
  reason: z.string().optional(),
});
export type Job = z.infer<typeof jobSchema>;

/** Whether the job holds a worker's resources. */
export function isOccupyingWorker(job: Job): boolean {
  return job.phase === 'starting' || job.phase === 'running';
}

/** Whether the job has ended for good. */
export function isFinal({phase}: Job): boolean {
  return phase === 'done' || phase === 'failed' || phase === 'cancelled';
}
