/** What happened in a run, as events that checkers judge afterwards. */
import {answerSchema, commandSchema, verdictSchema} from '@lentildrift/model';
import {z} from 'zod';

const at = {atMs: z.number()};
const call = {...at, call: z.string()};

export const eventSchema = z.discriminatedUnion('type', [
  /** A caller sent a request. */
  z.object({
    type: z.literal('call-sent'),
    ...call,
    entry: z.string(),
    team: z.string(),
    /** ID of the key shown; absent on a queue open to all. */
    keyId: z.string().optional(),
    /** Requests that share an identity may run once together. */
    once: z.string().optional(),
  }),
  /** An upstream began to execute a request. */
  z.object({
    type: z.literal('run-began'),
    ...call,
    upstream: z.string(),
    entry: z.string(),
    team: z.string(),
    /** Version of the tables under which the entry admitted the call. */
    version: z.number().int(),
  }),
  z.object({type: z.literal('run-ended'), ...call, upstream: z.string()}),
  /** The caller got an answer to the end, or a connection that broke. */
  z.object({
    type: z.literal('call-answered'),
    ...call,
    status: z.number().int(),
    verdict: verdictSchema,
    /** The answer ended as the upstream ended it. */
    whole: z.boolean(),
    /** The call to which the upstream says that the answer belongs. */
    answerTo: z.string().optional(),
  }),
  z.object({type: z.literal('call-broken'), ...call}),
  z.object({
    type: z.literal('command-sent'),
    ...at,
    requestId: z.string(),
    command: commandSchema,
  }),
  z.object({
    type: z.literal('command-answered'),
    ...at,
    requestId: z.string(),
    answer: answerSchema,
  }),
  z.object({
    type: z.literal('upstream-left'),
    ...at,
    upstream: z.string(),
  }),
  /** A graceful stop of an entry began, or ended. */
  z.object({type: z.literal('stop-began'), ...at, entry: z.string()}),
  z.object({type: z.literal('stop-ended'), ...at, entry: z.string()}),
  /** A control process applied a change. */
  z.object({
    type: z.literal('applied'),
    ...at,
    member: z.string(),
    revision: z.number().int(),
    version: z.number().int(),
    /** Digest of the whole state: equal on every member at one revision. */
    digest: z.string(),
    /** Host to the pools that hold it. */
    pools: z.record(z.string(), z.array(z.string())).optional(),
    /** Team to its limit. */
    limits: z.record(z.string(), z.number()).optional(),
  }),
  /** The planner took a host out of service under a permit. */
  z.object({
    type: z.literal('host-taken'),
    ...at,
    host: z.string(),
    pool: z.string(),
    /** Hosts of the pool that still served, and those its budget asks for. */
    available: z.number().int(),
    minAvailable: z.number().int(),
    /** Failure domains of the pool that are opened then, this host's too. */
    domains: z.array(z.string()).optional(),
  }),
  /** An attempt of a job ended on a worker, or failed there. */
  z.object({
    type: z.literal('task-ended'),
    ...at,
    job: z.string(),
    host: z.string(),
    failed: z.boolean(),
  }),
  /** A member took office as leader. */
  z.object({
    type: z.literal('led'),
    ...at,
    member: z.string(),
    term: z.number().int(),
  }),
]);
export type HistoryEvent = z.infer<typeof eventSchema>;
export type EventOf<T extends HistoryEvent['type']> = Extract<
  HistoryEvent,
  {type: T}
>;

/** An event without its time, as a recorder takes it. */
export type NewEvent = {
  [T in HistoryEvent['type']]: Omit<EventOf<T>, 'atMs'>;
}[HistoryEvent['type']];

/** Records events in the order in which they happened. */
export interface History {
  record(event: NewEvent): void;
  events(): readonly HistoryEvent[];
}

export function createHistory(now = () => performance.now()): History {
  const events: HistoryEvent[] = [];
  return {
    record: event => {
      events.push({...event, atMs: now()} as HistoryEvent);
    },
    events: () => events,
  };
}

/** The events of one type, in order. */
export function filterByType<T extends HistoryEvent['type']>(
  events: readonly HistoryEvent[],
  type: T,
): EventOf<T>[] {
  return events.filter((event): event is EventOf<T> => event.type === type);
}
