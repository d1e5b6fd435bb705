/**
 * Interface to the platform that runs tasks on workers, drains hosts and
 * reboots them.
 */
import {observedHostSchema, sizeSchema} from '@lentildrift/model';
import {z} from 'zod';

export const observedTaskSchema = z.object({
  job: z.string(),
  host: z.string(),
  /** Fencing token of the attempt. */
  token: z.number().int(),
  phase: z.enum(['running', 'done', 'failed', 'stopped', 'checkpointed']),
  reason: z.string().optional(),
  /** Measured resource usage; the platform updates it with a delay. */
  usage: sizeSchema.optional(),
  throttled: z.boolean().default(false),
});
export type ObservedTask = z.infer<typeof observedTaskSchema>;

export const observationSchema = z.object({
  hosts: z.array(observedHostSchema),
  /**
   * Running tasks on reachable hosts, and the most recent attempt of each job
   * for some time after its end, even if the attempt was stopped before it
   * started.
   */
  tasks: z.array(observedTaskSchema),
  /** Hosts that the platform has drained; no task runs on them. */
  drained: z.array(z.string()),
  /** Last completed reboot of each host, with the token of its command. */
  rebooted: z
    .array(z.object({host: z.string(), token: z.number().int()}))
    .default([]),
});
export type Observation = z.infer<typeof observationSchema>;

const commandFields = {
  /** Fencing token of the planner; commands of older planners are fenced. */
  leader: z.number().int(),
  /** Fencing token of the job attempt or host permit. */
  token: z.number().int(),
  host: z.string(),
};
const taskCommandFields = {...commandFields, job: z.string()};

export const platformCommandSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('start'),
    ...taskCommandFields,
    command: z.string(),
    size: sizeSchema,
    leaseMs: z.number().int().positive(),
  }),
  z.object({type: z.literal('stop'), ...taskCommandFields}),
  z.object({type: z.literal('checkpoint'), ...taskCommandFields}),
  z.object({
    type: z.literal('throttle'),
    ...taskCommandFields,
    on: z.boolean(),
  }),
  z.object({type: z.literal('drain'), ...commandFields}),
  z.object({type: z.literal('undrain'), ...commandFields}),
  z.object({type: z.literal('reboot'), ...commandFields}),
]);
export type PlatformCommand = z.infer<typeof platformCommandSchema>;

/** `fenced`: the platform knows a newer token, and the command had no effect. */
export const platformAnswerSchema = z.enum(['done', 'fenced', 'refused']);
export type PlatformAnswer = z.infer<typeof platformAnswerSchema>;

export abstract class Platform {
  /**
   * Reads the state of hosts and tasks. After this call, the platform fences
   * commands of planners with a token lower than `leader`. Rejects if the
   * platform cannot be reached.
   */
  abstract observe(leader: number): Promise<Observation>;
  /**
   * Executes the commands in order and resolves to one answer for each. A
   * command is idempotent under its token. After a rejection, any of the
   * commands may have taken effect.
   */
  abstract command(
    commands: readonly PlatformCommand[],
  ): Promise<PlatformAnswer[]>;
}
