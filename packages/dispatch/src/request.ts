/** What callers, workers and operators ask of the queues, and the replies. */
import {Schedule, Step, Tables, Worker} from '@lentildrift/queue';
import {z} from 'zod';

/** Where a caller's request goes and the key that came with it. */
const call = {
  host: z.string(),
  /** Prefix of the queue and the job's ID. */
  path: z.string(),
  key: z.string().optional(),
};

export const Request = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('submit'),
    ...call,
    payload: z.string(),
    steps: z.array(Step),
    schedule: Schedule.optional(),
  }),
  /** The state of a job, or without an ID the number of waiting jobs. */
  z.object({type: z.literal('inspect'), ...call}),
  z.object({type: z.literal('cancel'), ...call}),
  z.object({type: z.literal('edit'), tables: Tables}),
  z.object({type: z.literal('tables')}),
  z.object({type: z.literal('announce'), worker: Worker}),
  z.object({type: z.literal('leave'), worker: z.string()}),
  z.object({
    type: z.literal('open-wave'),
    id: z.number(),
    hosts: z.array(z.string()),
    durationMs: z.number().nonnegative(),
    atOnce: z.int().positive(),
  }),
  z.object({type: z.literal('wave'), id: z.number()}),
]);
export type Request = z.infer<typeof Request>;
export type RequestOf<T extends Request['type']> = Extract<Request, {type: T}>;

export const Refusal = z.object({
  type: z.literal('refused'),
  reason: z.enum([
    'no-queue',
    'unauthorised',
    /** There is no such job or wave. */
    'unknown',
    'invalid',
    'conflict',
    'overloaded',
    /** No leader can answer at the moment. */
    'unavailable',
  ]),
  /** Whether the request may have had, or may yet have, its effect. */
  verdict: z.enum(['not-run', 'may-have-run']),
  detail: z.string(),
  /** When it is worth asking again. */
  retryAfterMs: z.number().optional(),
});
export type Refusal = z.infer<typeof Refusal>;

export const Reply = z.discriminatedUnion('type', [
  z.object({type: z.literal('done')}),
  z.object({
    type: z.literal('job'),
    phase: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
  }),
  z.object({type: z.literal('waiting'), count: z.number()}),
  z.object({type: z.literal('tables'), document: z.string()}),
  z.object({type: z.literal('wave'), done: z.boolean()}),
  Refusal,
]);
export type Reply = z.infer<typeof Reply>;

/** Whether the request changes nothing. */
export function isRead({type}: Request): boolean {
  return type === 'inspect' || type === 'tables' || type === 'wave';
}

/** The service of the queues, in this process or behind a link. */
export abstract class QueueService {
  /**
   * Never rejects: a failure is a refusal with its verdict, at the latest when
   * the budget is used up.
   */
  abstract handle(
    id: string,
    request: Request,
    budgetMs: number,
  ): Promise<Reply>;
}

export function refuse(
  reason: Refusal['reason'],
  detail: string,
  more: Partial<Refusal> = {},
): Refusal {
  return {type: 'refused', reason, verdict: 'not-run', detail, ...more};
}
