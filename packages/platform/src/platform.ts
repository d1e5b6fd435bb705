/** The platform that runs tasks on workers, drains hosts and reboots them. */
import {observedHostSchema, sizeSchema} from '@lentildrift/model';
import {z} from 'zod';

export const observedTaskSchema = z.object({
  job: z.string(),
  host: z.string(),
  /** Fencing token of the attempt. */
  token: z.number().int(),
  phase: z.enum(['running', 'done', 'failed', 'stopped', 'checkpointed']),
  reason: z.string().optional(),
  /** Measured use; it lags. */
  usage: sizeSchema.optional(),
  throttled: z.boolean().default(false),
});
export type ObservedTask = z.infer<typeof observedTaskSchema>;

export const observationSchema = z.object({
  hosts: z.array(observedHostSchema),
  tasks: z.array(observedTaskSchema),
  /** Hosts that the platform has drained: nothing runs on them. */
  drained: z.array(z.string()),
});
export type Observation = z.infer<typeof observationSchema>;

const hostCommand = {host: z.string(), token: z.number().int()};
const taskCommand = {...hostCommand, job: z.string()};

export const platformCommandSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('start'),
    ...taskCommand,
    command: z.string(),
    size: sizeSchema,
    leaseMs: z.number().int().positive(),
  }),
  z.object({type: z.literal('stop'), ...taskCommand}),
  z.object({type: z.literal('checkpoint'), ...taskCommand}),
  z.object({type: z.literal('throttle'), ...taskCommand, on: z.boolean()}),
  z.object({type: z.literal('drain'), ...hostCommand}),
  z.object({type: z.literal('undrain'), ...hostCommand}),
  z.object({type: z.literal('reboot'), ...hostCommand}),
]);
export type PlatformCommand = z.infer<typeof platformCommandSchema>;

/** `fenced`: a newer token has been seen, and the command had no effect. */
export const platformAnswerSchema = z.enum(['done', 'fenced', 'refused']);
export type PlatformAnswer = z.infer<typeof platformAnswerSchema>;

export abstract class Platform {
  /** Rejects when the platform cannot be reached. */
  abstract observe(): Promise<Observation>;
  /** Commands are idempotent under one token. */
  abstract command(command: PlatformCommand): Promise<PlatformAnswer>;
}
