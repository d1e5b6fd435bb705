/** Events recorded during a run, from which checkers later verify invariants. */
import {answerSchema, commandSchema, verdictSchema} from '@lentildrift/model';
import {z} from 'zod';

const timeField = {atMs: z.number()};
const callFields = {...timeField, call: z.string()};

export const eventSchema = z.discriminatedUnion('type', [
  /** A caller sent a request; each retry is a call of its own. */
  z.object({
    type: z.literal('call-sent'),
    ...callFields,
    entry: z.string(),
    team: z.string(),
    /** ID of the API key that was sent; absent for a queue open to all teams. */
    keyId: z.string().optional(),
    /** Calls with the same value may run at most once in total. */
    once: z.string().optional(),
  }),
  /** An upstream began to execute a request. */
  z.object({
    type: z.literal('run-began'),
    ...callFields,
    upstream: z.string(),
    entry: z.string(),
    team: z.string(),
    /** Version of the tables with which the entry host admitted the call. */
    version: z.number().int(),
  }),
  /** The upstream finished or stopped executing the request. */
  z.object({type: z.literal('run-ended'), ...callFields, upstream: z.string()}),
  /** The caller received a response that ended normally. */
  z.object({
    type: z.literal('call-answered'),
    ...callFields,
    status: z.number().int(),
    verdict: verdictSchema,
    /** False if the caller received only a part of the upstream response. */
    whole: z.boolean(),
    /** The call that the response names; absent if no upstream responded. */
    answerTo: z.string().optional(),
  }),
  /** The connection broke before the response was complete. */
  z.object({type: z.literal('call-broken'), ...callFields}),
  /** An operator sent a command for the first time. */
  z.object({
    type: z.literal('command-sent'),
    ...timeField,
    requestId: z.string(),
    command: commandSchema,
  }),
  /** An operator received the answer to a command. */
  z.object({
    type: z.literal('command-answered'),
    ...timeField,
    requestId: z.string(),
    answer: answerSchema,
  }),
  /** An entry host acknowledged that an upstream left its pool. */
  z.object({
    type: z.literal('upstream-left'),
    ...timeField,
    upstream: z.string(),
  }),
  /** A graceful stop of an entry host began. */
  z.object({type: z.literal('stop-began'), ...timeField, entry: z.string()}),
  /** A graceful stop of an entry host ended. */
  z.object({type: z.literal('stop-ended'), ...timeField, entry: z.string()}),
  /** A control process applied a change to its replica of the state. */
  z.object({
    type: z.literal('applied'),
    ...timeField,
    member: z.string(),
    revision: z.number().int(),
    version: z.number().int(),
    /** Digest of the whole state; the same on all members at one revision. */
    digest: z.string(),
    /** The pools that contain each host, by host. */
    pools: z.record(z.string(), z.array(z.string())).optional(),
    /** Upper limit of concurrent calls, by team. */
    limits: z.record(z.string(), z.number()).optional(),
  }),
  /** The planner took a host out of service under a permit. */
  z.object({
    type: z.literal('host-taken'),
    ...timeField,
    host: z.string(),
    pool: z.string(),
    /** Hosts of the pool that remained in service. */
    available: z.number().int(),
    /** Hosts that the availability budget of the pool requires in service. */
    minAvailable: z.number().int(),
    /**
     * Failure domains in which hosts of the pool are out of service, including
     * the domain of this host.
     */
    domains: z.array(z.string()).optional(),
  }),
  /** An attempt to run a job ended on a worker, with success or failure. */
  z.object({
    type: z.literal('task-ended'),
    ...timeField,
    job: z.string(),
    host: z.string(),
    failed: z.boolean(),
  }),
  /** A member became leader in a term. */
  z.object({
    type: z.literal('led'),
    ...timeField,
    member: z.string(),
    term: z.number().int(),
  }),
]);
export type HistoryEvent = z.infer<typeof eventSchema>;
export type EventOf<T extends HistoryEvent['type']> = Extract<
  HistoryEvent,
  {type: T}
>;

/** An event without its time, which `History.record` adds. */
export type NewEvent = {
  [T in HistoryEvent['type']]: Omit<EventOf<T>, 'atMs'>;
}[HistoryEvent['type']];

/** Keeps events in the order in which they were recorded. */
export interface History {
  record(event: NewEvent): void;
  events(): readonly HistoryEvent[];
}

/** Creates an empty history; `now` returns the current time in milliseconds. */
export function createHistory(now = () => performance.now()): History {
  const events: HistoryEvent[] = [];
  return {
    record: event => {
      events.push({...event, atMs: now()} as HistoryEvent);
    },
    events: () => events,
  };
}

/** Returns the events of one type, in recorded order. */
export function filterByType<T extends HistoryEvent['type']>(
  events: readonly HistoryEvent[],
  type: T,
): EventOf<T>[] {
  return events.filter((event): event is EventOf<T> => event.type === type);
}
