/** Messages between the members of a group. */
import {LogRecord} from '@lentildrift/storage';
import {z} from 'zod';

const count = z.int().nonnegative();
const head = {
  group: z.string(),
  from: z.string(),
  /** Member ID: a host that lost its disk drops what is for its old ID. */
  to: z.string(),
  term: count,
};
const lastEntry = {lastIndex: count, lastTerm: count};

export const PeerMessage = z.discriminatedUnion('type', [
  /** Asks whether an election in `term` could succeed; changes no state. */
  z.object({type: z.literal('pre-vote'), ...head, ...lastEntry}),
  z.object({type: z.literal('pre-voted'), ...head, granted: z.boolean()}),
  z.object({
    type: z.literal('vote'),
    ...head,
    ...lastEntry,
    /** The leader handed over, so that having heard from it is no objection. */
    transfer: z.boolean(),
  }),
  z.object({type: z.literal('voted'), ...head, granted: z.boolean()}),
  /** Entries after `prevIndex`; with none, a heartbeat. */
  z.object({
    type: z.literal('append'),
    ...head,
    prevIndex: count,
    prevTerm: count,
    records: z.array(LogRecord),
    commit: count,
    round: count,
  }),
  z.object({
    type: z.literal('appended'),
    ...head,
    ok: z.boolean(),
    /** If `ok`, durable and equal up to here; else where to retry. */
    match: count,
    round: count,
  }),
  /** Part of a snapshot; `offset` and `total` count UTF-16 units. */
  z.object({
    type: z.literal('snapshot'),
    ...head,
    index: count,
    indexTerm: count,
    revision: count,
    members: z.string(),
    offset: count,
    total: count,
    part: z.string(),
    round: count,
  }),
  /** Asks for the part of the snapshot at `offset`. */
  z.object({
    type: z.literal('snapshotted'),
    ...head,
    index: count,
    offset: count,
    round: count,
  }),
  /** Tells a voter to stand for election at once. */
  z.object({type: z.literal('hand-over'), ...head}),
]);
export type PeerMessage = z.infer<typeof PeerMessage>;

export type MessageOf<T extends PeerMessage['type']> = Extract<
  PeerMessage,
  {type: T}
>;
