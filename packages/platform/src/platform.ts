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
  /**
   * Tasks that run on reachable hosts, and the last attempt of each job for a
   * while after it has ended, also when it was stopped before it began.
   */
  tasks: z.array(observedTaskSchema),
  /** Hosts that the platform has drained: nothing runs on them. */
  drained: z.array(z.string()),
  /** Last reboot of each host that has ended, by its command's token. */
  rebooted: z
    .array(z.object({host: z.string(), token: z.number().int()}))
    .default([]),
});
export type Observation = z.infer<typeof observationSchema>;

const everyCommand = {
  /** Token of the planner; a command of an older planner is fenced. */
  leader: z.number().int(),
  /** Token of the attempt or permit that the command belongs to. */
  token: z.number().int(),
  host: z.string(),
};
const taskCommand = {...everyCommand, job: z.string()};

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
  z.object({type: z.literal('drain'), ...everyCommand}),
  z.object({type: z.literal('undrain'), ...everyCommand}),
  z.object({type: z.literal('reboot'), ...everyCommand}),
]);
export type PlatformCommand = z.infer<typeof platformCommandSchema>;

/** `fenced`: a newer token has been seen, and the command had no effect. */
export const platformAnswerSchema = z.enum(['done', 'fenced', 'refused']);
export type PlatformAnswer = z.infer<typeof platformAnswerSchema>;

export abstract class Platform {
  /**
   * What the platform sees. From then on, commands of planners older than
   * `leader` are fenced. Rejects when the platform cannot be reached.
   */
  abstract observe(leader: number): Promise<Observation>;
  /**
   * Runs commands in order, with one answer for each. A command is idempotent
   * under its token. A rejection says nothing about what has taken effect.
   */
  abstract command(
    commands: readonly PlatformCommand[],
  ): Promise<PlatformAnswer[]>;
}
