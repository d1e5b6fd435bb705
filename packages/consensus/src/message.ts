/** Messages between the members of a group. */
import {LogRecord} from '@lentildrift/storage';
import {z} from 'zod';

const count = z.int().nonnegative();
const header = {
  group: z.string(),
  from: z.string(),
  /**
   * Member ID of the receiver. A host that lost its disk has a new member ID
   * and drops messages that are addressed to its old one.
   */
  to: z.string(),
  term: count,
};
const lastLogEntry = {lastIndex: count, lastTerm: count};

export const PeerMessage = z.discriminatedUnion('type', [
  /** Asks whether an election in `term` could succeed; changes no state. */
  z.object({type: z.literal('pre-vote'), ...header, ...lastLogEntry}),
  z.object({type: z.literal('pre-voted'), ...header, granted: z.boolean()}),
  z.object({
    type: z.literal('vote'),
    ...header,
    ...lastLogEntry,
    /**
     * The leader handed leadership to this candidate, so a voter grants its
     * vote although it heard from that leader recently.
     */
    transfer: z.boolean(),
  }),
  z.object({type: z.literal('voted'), ...header, granted: z.boolean()}),
  /** Entries after `prevIndex`; a heartbeat if there are none. */
  z.object({
    type: z.literal('append'),
    ...header,
    prevIndex: count,
    prevTerm: count,
    records: z.array(LogRecord),
    /** Commit index of the leader. */
    commit: count,
    /** Heartbeat round of the leader, which the answer repeats. */
    round: count,
  }),
  z.object({
    type: z.literal('appended'),
    ...header,
    ok: z.boolean(),
    /**
     * If `ok`, the last index up to which the follower's log is durable and
     * equal to the leader's. Otherwise the leader retries after this index.
     */
    match: count,
    round: count,
  }),
  /**
   * Part of a snapshot, or an empty part as a heartbeat. `offset` and `total`
   * are in UTF-16 units.
   */
  z.object({
    type: z.literal('snapshot'),
    ...header,
    index: count,
    indexTerm: count,
    revision: count,
    members: z.string(),
    offset: count,
    total: count,
    part: z.string(),
    round: count,
  }),
  /** Asks for the part of the snapshot that begins at `offset`. */
  z.object({
    type: z.literal('snapshotted'),
    ...header,
    index: count,
    offset: count,
    round: count,
  }),
  /** Tells a voter to start an election at once (`TimeoutNow` in Raft). */
  z.object({type: z.literal('hand-over'), ...header}),
]);
export type PeerMessage = z.infer<typeof PeerMessage>;

export type MessageOf<T extends PeerMessage['type']> = Extract<
  PeerMessage,
  {type: T}
>;
