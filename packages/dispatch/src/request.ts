/** The requests of callers, workers and operators, and the replies to them. */
import {
  Schedule,
  Step,
  Tables,
  TablesDifference,
  Worker,
} from '@lentildrift/queue';
import {z} from 'zod';
import {EvacuationProgress} from './evacuation-report.js';
import {WaitReason} from './wait-reason.js';

/** Fields of the requests that callers address to a queue or job. */
const callFields = {
  /** Host name that the caller addressed. */
  host: z.string(),
  /** Prefix of the queue, followed by the job's ID. */
  path: z.string(),
  /** API key of the caller. */
  key: z.string().optional(),
};

export const Request = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('submit'),
    ...callFields,
    payload: z.string(),
    steps: z.array(Step),
    schedule: Schedule.optional(),
  }),
  /**
   * Asks for the phase of a job or, if the path has no job ID, for the number
   * of waiting jobs in the queue.
   */
  z.object({type: z.literal('inspect'), ...callFields}),
  z.object({type: z.literal('cancel'), ...callFields}),
  /** Replaces the tables of queues, pools and teams. */
  z.object({type: z.literal('edit'), tables: Tables}),
  /**
   * The same, as a control process sends it to the leader: by the difference to
   * tables that are recorded.
   */
  z.object({
    type: z.literal('edit-difference'),
    difference: TablesDifference,
  }),
  /** Asks for the document of the current tables. */
  z.object({type: z.literal('tables')}),
  /** Announces a worker to the leader. */
  z.object({
    type: z.literal('announce'),
    worker: Worker,
    /**
     * How much longer the worker stays slow after its start; absent if it is
     * not. Not recorded, since it changes with each announcement.
     */
    coldLeftMs: z.number().nonnegative().optional(),
  }),
  /** Reports that the worker with this ID has left. */
  z.object({type: z.literal('leave'), worker: z.string()}),
  /** Opens a maintenance wave. */
  z.object({
    type: z.literal('open-wave'),
    id: z.number(),
    hosts: z.array(z.string()),
    /** Time within which every host is to be maintained. */
    durationMs: z.number().nonnegative(),
    /** Maximum number of hosts that may be down for the wave at once. */
    atOnce: z.int().positive(),
  }),
  /** Asks whether a maintenance wave is done. */
  z.object({type: z.literal('wave'), id: z.number()}),
  /** Puts a data centre out of use for new runs. */
  z.object({type: z.literal('evacuate'), dataCentre: z.string().min(1)}),
  /** Puts a data centre back into use. */
  z.object({type: z.literal('end-evacuation'), dataCentre: z.string().min(1)}),
  /** Asks which data centres are out of use. */
  z.object({type: z.literal('evacuations')}),
]);
export type Request = z.infer<typeof Request>;
export type RequestOf<T extends Request['type']> = Extract<Request, {type: T}>;

export const Refusal = z.object({
  type: z.literal('refused'),
  reason: z.enum([
    'no-queue',
    'unauthorised',
    /** The job or wave does not exist. */
    'unknown',
    'invalid',
    'conflict',
    'overloaded',
    /** No leader answered, or there are no tables yet. */
    'unavailable',
  ]),
  /** Whether the request may have taken effect or may still do so. */
  verdict: z.enum(['not-run', 'may-have-run']),
  detail: z.string(),
  /** Time after which the caller should retry. */
  retryAfterMs: z.number().optional(),
});
export type Refusal = z.infer<typeof Refusal>;

export const Reply = z.discriminatedUnion('type', [
  z.object({type: z.literal('done')}),
  z.object({
    type: z.literal('job'),
    phase: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
    /** Why the job waits, if there is a cause that an operator can end. */
    waitReason: WaitReason.optional(),
  }),
  z.object({type: z.literal('waiting'), count: z.number()}),
  z.object({type: z.literal('tables'), document: z.string()}),
  z.object({type: z.literal('wave'), done: z.boolean()}),
  z.object({
    type: z.literal('evacuations'),
    dataCentres: z.array(EvacuationProgress),
  }),
  Refusal,
]);
export type Reply = z.infer<typeof Reply>;

/** Whether the request changes nothing. */
export function isRead({type}: Request): boolean {
  return (
    type === 'inspect' ||
    type === 'tables' ||
    type === 'wave' ||
    type === 'evacuations'
  );
}

/** Handles requests to the queues, in this process or through a link. */
export abstract class QueueService {
  /**
   * Resolves within `budgetMs`. Never rejects: a failure resolves with a
   * refusal, whose verdict says whether the request may have run. `id` is for
   * the logs.
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
  extra: Partial<Refusal> = {},
): Refusal {
  return {type: 'refused', reason, verdict: 'not-run', detail, ...extra};
}
