/** Messages between processes, as schemas. */
import {
  answerSchema,
  burnSeriesSchema,
  changeBodySchema,
  commandSchema,
  jobSchema,
  jobSpecSchema,
  rosterItemSchema,
  sliceSchema,
  viewDeltaSchema,
} from '@lentildrift/model';
import {z} from 'zod';

const count = z.number().int().nonnegative();

/** One team's use of its slice at an entry host. */
export const teamUseSchema = z.object({
  /** Calls that run now. */
  running: count,
  /** Highest number that wanted to run at once since the last report. */
  demand: count,
  /** Generation of the slice that the entry holds. */
  generation: count,
  /** The entry admits no more than this until a newer generation arrives. */
  ceiling: count,
});
export type TeamUse = z.infer<typeof teamUseSchema>;

export const syncRequestSchema = z.object({
  session: z.string(),
  /** Revision of the entry's view and slices; 0 asks for all of them. */
  revision: count,
  /** Grows with each sync of a session, so that a late one is recognised. */
  sequence: z.number().int().positive(),
  /**
   * Last sync whose use this control process acknowledged: `use` holds what
   * changed since; 0 if it holds all.
   */
  useSince: count,
  use: z.record(z.string(), teamUseSchema),
  /** Announcements and leaves received since the last sync that succeeded. */
  roster: z.array(rosterItemSchema),
  /** Version of the roster that the entry last received; 0 asks for all. */
  rosterVersion: count,
  /** Recorded calls that changed; absent when they are not due. */
  burn: z
    .object({
      /** Entry process that recorded them. */
      source: z.string(),
      series: z.array(burnSeriesSchema),
    })
    .optional(),
});
export type SyncRequest = z.infer<typeof syncRequestSchema>;

/** A ceiling to go down to; it applies only to the slice of its generation. */
export const ceilingTargetSchema = z.object({
  ceiling: count,
  generation: count,
});
export type CeilingTarget = z.infer<typeof ceilingTargetSchema>;

export const syncResponseSchema = z.discriminatedUnion('ok', [
  z.object({
    ok: z.literal(true),
    /** The lease counts only if the view includes this revision. */
    readIndex: count,
    view: viewDeltaSchema,
    /** Slices that changed from `view.from` to `view.to`. */
    slices: z.record(z.string(), sliceSchema),
    /** Teams whose ceiling the entry has not lowered as it should. */
    targets: z.record(z.string(), ceilingTargetSchema),
    /** `false` if this process lacks earlier use: the entry must send all. */
    useHeld: z.boolean(),
    roster: z.array(rosterItemSchema),
    rosterVersion: count,
  }),
  /** The session was closed: the entry must open a new one. */
  z.object({ok: z.literal(false), code: z.literal('session-closed')}),
]);
export type SyncResponse = z.infer<typeof syncResponseSchema>;

export const openSessionRequestSchema = z.object({entryHost: z.string()});
export type OpenSessionRequest = z.infer<typeof openSessionRequestSchema>;
export const openSessionResponseSchema = z.object({session: z.string()});
export type OpenSessionResponse = z.infer<typeof openSessionResponseSchema>;

/** Sent by an entry host that has no work left. */
export const closeSessionRequestSchema = z.object({session: z.string()});
export type CloseSessionRequest = z.infer<typeof closeSessionRequestSchema>;

export const claimRequestSchema = z.object({
  session: z.string(),
  claims: z
    .array(z.object({team: z.string(), key: z.string(), attempt: z.string()}))
    .min(1),
});
export type ClaimRequest = z.infer<typeof claimRequestSchema>;

/** What is known of a claim that was taken already. */
export const existingClaimSchema = z.object({
  team: z.string(),
  key: z.string(),
  phase: z.enum(['claimed', 'ran']),
  status: z.number().int().optional(),
});
export const claimResponseSchema = z.object({
  taken: z.array(existingClaimSchema),
});
export type ClaimResponse = z.infer<typeof claimResponseSchema>;

export const settleRequestSchema = z.object({
  session: z.string(),
  claims: z.array(
    z.object({
      team: z.string(),
      key: z.string(),
      attempt: z.string(),
      verdict: z.enum(['not-run', 'ran']),
      status: z.number().int().optional(),
    }),
  ),
});
export type SettleRequest = z.infer<typeof settleRequestSchema>;

export const commandRequestSchema = z.object({
  /** The operator's key. */
  key: z.string(),
  requestId: z.string().min(1).max(100),
  command: commandSchema,
});
export type CommandRequest = z.infer<typeof commandRequestSchema>;
export const commandResponseSchema = answerSchema;
export type CommandResponse = z.infer<typeof commandResponseSchema>;

export const readTopicSchema = z.enum([
  'tables',
  'keys',
  'hosts',
  'jobs',
  'waves',
  'upstreams',
  'limits',
  'status',
  'report',
]);
export type ReadTopic = z.infer<typeof readTopicSchema>;
export const readRequestSchema = z.object({
  key: z.string(),
  topic: readTopicSchema,
});
export type ReadRequest = z.infer<typeof readRequestSchema>;
export const readResponseSchema = z.object({
  revision: count,
  /** Depends on the topic; see the operators' pages. */
  body: z.unknown(),
});
export type ReadResponse = z.infer<typeof readResponseSchema>;

export const submitRequestSchema = z.object({
  team: z.string(),
  jobs: z.array(jobSpecSchema).min(1).max(1000),
});
export type SubmitRequest = z.infer<typeof submitRequestSchema>;
export const cancelRequestSchema = z.object({
  team: z.string(),
  jobs: z.array(z.string()).min(1).max(10_000),
});
export type CancelRequest = z.infer<typeof cancelRequestSchema>;
export const jobsRequestSchema = z.object({team: z.string()});
export type JobsRequest = z.infer<typeof jobsRequestSchema>;
export const jobsResponseSchema = z.object({jobs: z.array(jobSchema)});
export type JobsResponse = z.infer<typeof jobsResponseSchema>;

/** Consensus messages are opaque here; `consensus` has their schema. */
export const deliverRequestSchema = z.object({
  from: z.string(),
  messages: z.array(z.unknown()),
});
export type DeliverRequest = z.infer<typeof deliverRequestSchema>;

/** Sent to the leader by a control process that is not. */
export const proposeRequestSchema = z.object({body: changeBodySchema});
export type ProposeRequest = z.infer<typeof proposeRequestSchema>;
export const proposeResponseSchema = z.object({
  answer: answerSchema,
  revision: count,
});
export type ProposeResponse = z.infer<typeof proposeResponseSchema>;
export const readIndexRequestSchema = z.object({
  /** Waits for the leader's next regular heartbeat round. */
  patient: z.boolean(),
});
export type ReadIndexRequest = z.infer<typeof readIndexRequestSchema>;
export const readIndexResponseSchema = z.object({revision: count});
export type ReadIndexResponse = z.infer<typeof readIndexResponseSchema>;

/** What a control process heard from its entries, for the leader. */
export const reportRequestSchema = z.object({
  from: z.string(),
  sessions: z.array(
    z.object({
      session: z.string(),
      /** Time since its last sync arrived. */
      ageMs: z.number().nonnegative(),
      /** Its number: an entry may have gone over to another process since. */
      sequence: count,
      use: z.record(z.string(), teamUseSchema),
    }),
  ),
});
export type ReportRequest = z.infer<typeof reportRequestSchema>;
export const reportResponseSchema = z.object({
  /** Session, then team, to what the leader wants. */
  targets: z.record(z.string(), z.record(z.string(), ceilingTargetSchema)),
});
export type ReportResponse = z.infer<typeof reportResponseSchema>;

export const gossipRequestSchema = z.object({
  from: z.string(),
  roster: z.array(rosterItemSchema),
});
export type GossipRequest = z.infer<typeof gossipRequestSchema>;

/** Sent by a control process to the others while it has no group, and then rarely. */
export const joinRequestSchema = z.object({member: z.string().min(1)});
export type JoinRequest = z.infer<typeof joinRequestSchema>;
export const joinResponseSchema = z.object({
  /** Member ID of the process that answers. */
  member: z.string(),
  /** Whether that process belongs to a group that has been founded. */
  founded: z.boolean(),
});
export type JoinResponse = z.infer<typeof joinResponseSchema>;
