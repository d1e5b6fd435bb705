/** The Raft state of one member, the events it handles and their effects. */
import prand, {type RandomGenerator} from 'pure-rand';
import type {
  LogRecord,
  LogWrite,
  Snapshot,
  StoredLog,
} from '@lentildrift/storage';
import {lastEntry, LOG_START, recordAt, type Log} from './log.js';
import {
  EMPTY_MEMBERSHIP,
  Membership,
  quorumSize,
  type MemberChange,
} from './members.js';
import type {PeerMessage} from './message.js';
import {Rules} from './rules.js';

export type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** What a leader knows of the log of another member. */
export interface PeerProgress {
  /** Index of the last entry known to be durable on the peer. */
  readonly matchIndex: number;
  /**
   * Index of the next entry to send; it goes back if the peer answers that it
   * lacks the entry before, because a message was lost.
   */
  readonly nextIndex: number;
  /**
   * A message awaits its answer. Until then only heartbeat rounds send to the
   * peer.
   */
  readonly inFlight: boolean;
  /** Commit index in the last append message. */
  readonly sentCommitIndex: number;
  /** When the peer last answered; at first, when tracking it began. */
  readonly lastResponseMs: number;
  /** Last heartbeat round that the peer answered. */
  readonly ackedRound: number;
  readonly snapshot: SnapshotProgress;
}

/** How much of a snapshot another member has. */
export interface SnapshotProgress {
  /** Index of the snapshot being sent; 0 if there is none. */
  readonly index: number;
  /** Offset of the part that the peer needs next. */
  readonly offset: number;
  /** Heartbeat round in which that part was sent; undefined if it was not. */
  readonly sentRound: number | undefined;
}

/**
 * The commit index of a moment ago. Under constant load a learner never holds
 * the entries that are committed right now.
 */
export interface CatchUp {
  /** Commit index at least one heartbeat interval ago. */
  readonly index: number;
  /** Commit index at `atMs`, which becomes `index` an interval later. */
  readonly nextIndex: number;
  readonly atMs: number;
}

/** A read that waits until a majority has answered a heartbeat round. */
export interface PendingRead {
  readonly id: number;
  readonly round: number;
  /** Waits for the next regular heartbeat round instead of starting one. */
  readonly patient: boolean;
}

/** A write that is not yet durable. */
export interface PendingWrite {
  readonly seq: number;
  /** Last log index that is durable once the write is. */
  readonly lastIndex: number;
  /** Snapshot that the write installs. */
  readonly snapshot: Snapshot | undefined;
}

/** The state of one member, which `step` replaces as a whole. */
export interface Node {
  readonly id: string;
  readonly group: string;
  readonly rules: Rules;
  readonly random: RandomGenerator;
  readonly nowMs: number;
  readonly term: number;
  readonly votedFor: string | null;
  readonly role: Role;
  readonly leader: string | undefined;
  readonly log: Log;
  readonly snapshot: Snapshot | undefined;
  /** Membership in force: the latest in the log, even if uncommitted. */
  readonly membership: Membership;
  /** Index of the entry that set the membership. */
  readonly membershipIndex: number;
  readonly commitIndex: number;
  /**
   * Index of the last entry in the applied state. It follows the commit index
   * with a delay, since the replica applies a long log in several turns.
   */
  readonly appliedIndex: number;
  /** Index of the last entry that is durable on this member. */
  readonly durableIndex: number;
  /** Sequence number of the last queued write. */
  readonly lastWriteSeq: number;
  /** Sequence number of the last durable write. */
  readonly durableWriteSeq: number;
  readonly pendingWrites: readonly PendingWrite[];
  /** Messages to send once the write `seq` is durable. */
  readonly deferredMessages: readonly {seq: number; message: PeerMessage}[];
  readonly electionDeadlineMs: number;
  readonly nextHeartbeatMs: number;
  readonly lastLeaderContactMs: number;
  /** Members that granted their vote or pre-vote, this one included. */
  readonly votesReceived: readonly string[];
  /** Progress of the other members; empty unless this member leads. */
  readonly peers: Readonly<Record<string, PeerProgress>>;
  /** Number of the latest heartbeat round that this member started. */
  readonly round: number;
  /** When that round was started. */
  readonly roundStartedMs: number;
  /** When the last change was proposed, and how long after the one before. */
  readonly lastChange: {readonly atMs: number; readonly gapMs: number};
  /** How far a learner must be to be promoted; meaningful on a leader only. */
  readonly catchUp: CatchUp;
  readonly pendingReads: readonly PendingRead[];
  /** Leadership transfer in progress; meanwhile changes are refused. */
  readonly transfer:
    {to: string; deadlineMs: number; sent: boolean} | undefined;
  /** The part of a snapshot that has been received so far. */
  readonly incomingSnapshot: {index: number; text: string} | undefined;
}

/** What a Raft node handles: messages, requests, timers and writes. */
export type RaftEvent =
  | {readonly type: 'tick'}
  | {readonly type: 'receive'; readonly message: PeerMessage}
  | {
      readonly type: 'propose';
      readonly changes: readonly {id: number; text: string}[];
    }
  | {readonly type: 'read'; readonly id: number; readonly patient: boolean}
  | {
      readonly type: 'members';
      readonly id: number;
      readonly change: MemberChange;
    }
  | {readonly type: 'transfer'; readonly to?: string}
  /** Bootstraps a group; ignored by a member that already has one. */
  | {readonly type: 'bootstrap'; readonly voters: readonly string[]}
  | {readonly type: 'persisted'; readonly seq: number}
  | {readonly type: 'compacted'; readonly snapshot: Snapshot};

/** An event with the monotonic time at which it is handled. */
export type TimedEvent = RaftEvent & {readonly nowMs: number};

/** What the replica carries out for a node, in order. */
export type Effect =
  /** Make durable, in order, then report a `persisted` event. */
  | {readonly type: 'save'; readonly seq: number; readonly write: LogWrite}
  | {
      readonly type: 'install';
      readonly seq: number;
      readonly snapshot: Snapshot;
    }
  | {readonly type: 'send'; readonly message: PeerMessage}
  | {readonly type: 'restore'; readonly snapshot: Snapshot}
  | {
      readonly type: 'accepted';
      readonly id: number;
      readonly index: number;
      readonly term: number;
    }
  /**
   * The request was not carried out. `reason` is empty if this member does not
   * lead or is handing leadership over.
   */
  | {readonly type: 'refused'; readonly id: number; readonly reason: string}
  | {readonly type: 'read'; readonly id: number; readonly revision: number};

export interface NodeOptions {
  readonly id: string;
  readonly group: string;
  readonly seed: number;
  readonly nowMs: number;
  readonly stored: StoredLog;
  readonly rules?: Rules;
}

/** Random numbers discarded after seeding. */
const DISCARDED_RANDOM_NUMBERS = 64;

/** Creates the state of a member that starts from its stored log. */
export function createNode(options: NodeOptions): Node {
  const {stored, nowMs, rules = new Rules()} = options;
  const {snapshot, ballot} = stored;
  const base = snapshot
    ? {index: snapshot.index, term: snapshot.term, revision: snapshot.revision}
    : LOG_START;
  const log: Log = {base, records: stored.records};
  const [waitMs, random] = prand.uniformIntDistribution(
    rules.minElectionTimeoutMs,
    rules.maxElectionTimeoutMs,
    // The first random numbers of neighbouring seeds are similar, which would
    // let members start elections at the same moment.
    prand.skipN(prand.xoroshiro128plus(options.seed), DISCARDED_RANDOM_NUMBERS),
  );
  const latest = latestMembership(log, snapshot);
  const {voters} = latest.membership;
  // The only voter of a group has no leader to wait for.
  const isOnlyVoter = voters.length === 1 && voters[0] === options.id;
  return {
    id: options.id,
    group: options.group,
    rules,
    random,
    nowMs,
    term: ballot.term,
    votedFor: ballot.vote,
    role: 'follower',
    leader: undefined,
    log,
    snapshot,
    ...latest,
    commitIndex: base.index,
    appliedIndex: base.index,
    durableIndex: lastEntry(log).index,
    lastWriteSeq: 0,
    durableWriteSeq: 0,
    pendingWrites: [],
    deferredMessages: [],
    electionDeadlineMs: isOnlyVoter
      ? nowMs
      : nowMs + waitMs * rules.startupTimeoutFactor,
    nextHeartbeatMs: Infinity,
    lastLeaderContactMs: -Infinity,
    votesReceived: [],
    peers: {},
    round: 0,
    roundStartedMs: -Infinity,
    lastChange: {atMs: -Infinity, gapMs: Infinity},
    catchUp: {index: 0, nextIndex: 0, atMs: nowMs},
    pendingReads: [],
    transfer: undefined,
    incomingSnapshot: undefined,
  };
}

/** The first entry of a group, the same on each of its initial voters. */
export function bootstrapRecord(initialVoters: readonly string[]): LogRecord {
  const voters = [...initialVoters].sort();
  const text = JSON.stringify({voters, learners: [], retired: []});
  return {index: 1, term: 0, revision: 0, kind: 'members', text};
}

/** The latest membership in the log, else the snapshot's, else none. */
export function latestMembership(
  log: Log,
  snapshot: Snapshot | undefined,
): {membership: Membership; membershipIndex: number} {
  const record = log.records.findLast(({kind}) => kind === 'members');
  const encoded = record?.text ?? snapshot?.members;
  return {
    membership: encoded
      ? Membership.parse(JSON.parse(encoded))
      : EMPTY_MEMBERSHIP,
    membershipIndex: record?.index ?? snapshot?.index ?? 0,
  };
}

/** The membership in force at `index`, which must be applied. */
export function membershipAt(node: Node, index: number): Membership {
  const records = node.log.records.filter(record => record.index <= index);
  return latestMembership({base: node.log.base, records}, node.snapshot)
    .membership;
}

/**
 * The next entry to apply: the first one after the applied index, once it is
 * committed and durable on this member.
 */
export function nextToApply(node: Node): LogRecord | undefined {
  const index = node.appliedIndex + 1;
  if (index > Math.min(node.commitIndex, node.durableIndex)) return undefined;
  return recordAt(node.log, index);
}

/** The monotonic time at which the member next needs a `tick` event. */
export function nextTickMs(node: Node): number {
  return node.role === 'leader'
    ? Math.min(node.nextHeartbeatMs, readRoundDueMs(node))
    : node.electionDeadlineMs;
}

/**
 * The monotonic time at which a heartbeat round is due for the reads that wait
 * for one; infinite if there are none, or if a round for earlier reads is under
 * way.
 */
export function readRoundDueMs(node: Node): number {
  const {pendingReads, round, roundStartedMs, rules, membership} = node;
  if (pendingReads.length === 0 || !rules.isReadRoundRequired()) {
    return Infinity;
  }
  // A group of one sends no heartbeats that a patient read could wait for.
  const isSolo = quorumSize(membership) === 1;
  const isRunning = pendingReads.some(read => read.round <= round);
  const isWaiting = pendingReads.some(({patient}) => !patient || isSolo);
  if (isRunning || !isWaiting) return Infinity;
  return roundStartedMs + rules.readIntervalMs;
}
