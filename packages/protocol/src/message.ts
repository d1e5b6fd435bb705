/** Schemas of the requests and responses between processes. */
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

const countSchema = z.number().int().nonnegative();

/** One team's use of its slice at an entry host. */
export const teamUseSchema = z.object({
  /** Number of calls that run now. */
  running: countSchema,
  /**
   * Highest number of calls since the last report that ran, or asked to run, at
   * the same time.
   */
  demand: countSchema,
  /** Generation of the slice that the entry host holds. */
  generation: countSchema,
  /**
   * The entry host admits no more calls than this until a slice of a newer
   * generation arrives.
   */
  ceiling: countSchema,
});
export type TeamUse = z.infer<typeof teamUseSchema>;

export const syncRequestSchema = z.object({
  session: z.string(),
  /** Revision of the entry host's view and slices; 0 requests all of them. */
  revision: countSchema,
  /**
   * Increases with each sync of a session, so that a sync that arrives late is
   * recognised.
   */
  sequence: z.number().int().positive(),
  /**
   * Sequence number of the last sync whose use this control process
   * acknowledged; `use` holds only the teams whose use changed since then. 0 if
   * `use` holds all teams.
   */
  useSince: countSchema,
  /** Use by team. */
  use: z.record(z.string(), teamUseSchema),
  /** Announcements and leaves received since the last successful sync. */
  roster: z.array(rosterItemSchema),
  /**
   * Version of the roster that the entry host last received; 0 requests the
   * whole roster.
   */
  rosterVersion: countSchema,
  /**
   * Series of recorded calls that changed, for the burn rates; absent when no
   * report of them is due.
   */
  burn: z
    .object({
      /** Entry process that recorded the calls. */
      source: z.string(),
      series: z.array(burnSeriesSchema),
    })
    .optional(),
});
export type SyncRequest = z.infer<typeof syncRequestSchema>;

/**
 * A ceiling that the entry host is to go down to. It applies only to the slice
 * of its generation.
 */
export const ceilingTargetSchema = z.object({
  ceiling: countSchema,
  generation: countSchema,
});
export type CeilingTarget = z.infer<typeof ceilingTargetSchema>;

export const syncResponseSchema = z.discriminatedUnion('ok', [
  z.object({
    ok: z.literal(true),
    /**
     * The entry host's lease is valid only if its view includes this revision.
     */
    readIndex: countSchema,
    view: viewDeltaSchema,
    /** Slices that changed between the revisions `view.from` and `view.to`. */
    slices: z.record(z.string(), sliceSchema),
    /** Teams whose ceiling the entry host has still to lower. */
    targets: z.record(z.string(), ceilingTargetSchema),
    /**
     * `false` if this control process lacks the use reported earlier: the entry
     * host must send the use of all teams.
     */
    useHeld: z.boolean(),
    roster: z.array(rosterItemSchema),
    rosterVersion: countSchema,
  }),
  /** The session was closed: the entry host must open a new one. */
  z.object({ok: z.literal(false), code: z.literal('session-closed')}),
]);
export type SyncResponse = z.infer<typeof syncResponseSchema>;

export const openSessionRequestSchema = z.object({entryHost: z.string()});
export type OpenSessionRequest = z.infer<typeof openSessionRequestSchema>;
export const openSessionResponseSchema = z.object({session: z.string()});
export type OpenSessionResponse = z.infer<typeof openSessionResponseSchema>;

/** Sent by an entry host that has no calls left and is about to stop. */
export const closeSessionRequestSchema = z.object({session: z.string()});
export type CloseSessionRequest = z.infer<typeof closeSessionRequestSchema>;

export const claimRequestSchema = z.object({
  session: z.string(),
  claims: z
    .array(z.object({team: z.string(), key: z.string(), attempt: z.string()}))
    .min(1),
});
export type ClaimRequest = z.infer<typeof claimRequestSchema>;

/** State of an existing claim whose key was claimed again. */
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
  revision: countSchema,
  /** Its form depends on the topic; see the operators' documentation. */
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

/**
 * Consensus messages, which are opaque here; the `consensus` package has their
 * schema.
 */
export const deliverRequestSchema = z.object({
  from: z.string(),
  messages: z.array(z.unknown()),
});
export type DeliverRequest = z.infer<typeof deliverRequestSchema>;

/** Sent to the leader by a control process that is not the leader. */
export const proposeRequestSchema = z.object({body: changeBodySchema});
export type ProposeRequest = z.infer<typeof proposeRequestSchema>;
export const proposeResponseSchema = z.object({
  answer: answerSchema,
  revision: countSchema,
});
export type ProposeResponse = z.infer<typeof proposeResponseSchema>;
export const readIndexRequestSchema = z.object({
  /** Whether to wait for the leader's next regular heartbeat round. */
  patient: z.boolean(),
});
export type ReadIndexRequest = z.infer<typeof readIndexRequestSchema>;
export const readIndexResponseSchema = z.object({revision: countSchema});
export type ReadIndexResponse = z.infer<typeof readIndexResponseSchema>;

/**
 * Sent to the leader by a control process: the use that entry hosts reported to
 * this process.
 */
export const reportRequestSchema = z.object({
  from: z.string(),
  sessions: z.array(
    z.object({
      session: z.string(),
      /** Time since the last sync of the session arrived, in milliseconds. */
      ageMs: z.number().nonnegative(),
      /**
       * Sequence number of that sync. The entry host may have switched to
       * another control process since then.
       */
      sequence: countSchema,
      use: z.record(z.string(), teamUseSchema),
    }),
  ),
});
export type ReportRequest = z.infer<typeof reportRequestSchema>;
export const reportResponseSchema = z.object({
  /** Ceilings that the leader requests, by session and then by team. */
  targets: z.record(z.string(), z.record(z.string(), ceilingTargetSchema)),
});
export type ReportResponse = z.infer<typeof reportResponseSchema>;

export const gossipRequestSchema = z.object({
  from: z.string(),
  roster: z.array(rosterItemSchema),
});
export type GossipRequest = z.infer<typeof gossipRequestSchema>;

/**
 * Sent by a control process to the others: as a request while it belongs to no
 * group, and after that to learn which members answer.
 */
export const joinRequestSchema = z.object({member: z.string().min(1)});
export type JoinRequest = z.infer<typeof joinRequestSchema>;
export const joinResponseSchema = z.object({
  /** Member ID of the process that answers. */
  member: z.string(),
  /** Whether that process belongs to a group that has been founded. */
  founded: z.boolean(),
});
export type JoinResponse = z.infer<typeof joinResponseSchema>;
