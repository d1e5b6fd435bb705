/** The state of one member of the replicated log, and what goes in and out. */
import prand, {type RandomGenerator} from 'pure-rand';
import type {
  LogRecord,
  LogWrite,
  Snapshot,
  StoredLog,
} from '@lentildrift/storage';
import {lastPosition, LOG_START, type Log} from './log.js';
import {Membership, EMPTY_MEMBERSHIP, type MemberChange} from './members.js';
import type {PeerMessage} from './message.js';
import {Rules} from './rules.js';

export type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** What a leader knows of another member. */
export interface PeerProgress {
  /** Last entry known to be durable there. */
  readonly matchIndex: number;
  readonly nextIndex: number;
  /** A message with content is under way; heartbeats resend it if lost. */
  readonly inFlight: boolean;
  readonly sentCommitIndex: number;
  readonly lastResponseMs: number;
  /** Last heartbeat round that it answered. */
  readonly ackedRound: number;
  readonly snapshot: {readonly index: number; readonly offset: number};
}

/** A read that waits for a majority to answer a heartbeat round. */
export interface PendingRead {
  readonly id: number;
  readonly round: number;
  /** Needs no round of its own before the next regular heartbeat. */
  readonly patient: boolean;
}

/** A write under way, and what is durable once it is done. */
export interface PendingWrite {
  readonly seq: number;
  readonly lastIndex: number;
  readonly snapshot: Snapshot | undefined;
}

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
  /** Membership in force: the last one in the log, committed or not. */
  readonly membership: Membership;
  readonly membershipIndex: number;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly durableIndex: number;
  readonly lastWriteSeq: number;
  readonly durableWriteSeq: number;
  readonly pendingWrites: readonly PendingWrite[];
  /** Messages that may leave only once the write `seq` is durable. */
  readonly deferredMessages: readonly {seq: number; message: PeerMessage}[];
  readonly electionDeadlineMs: number;
  readonly nextHeartbeatMs: number;
  readonly lastLeaderContactMs: number;
  readonly votesReceived: readonly string[];
  readonly peers: Readonly<Record<string, PeerProgress>>;
  readonly heartbeatRound: number;
  readonly pendingReads: readonly PendingRead[];
  readonly transfer: {to: string; untilMs: number; sent: boolean} | undefined;
  /** A snapshot being received. */
  readonly incomingSnapshot: {index: number; text: string} | undefined;
}

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
  /** Founds a group; ignored by a member that has a group already. */
  | {readonly type: 'bootstrap'; readonly voters: readonly string[]}
  | {readonly type: 'persisted'; readonly seq: number}
  | {readonly type: 'compacted'; readonly snapshot: Snapshot};

/** `nowMs` is monotonic. */
export type TimedEvent = RaftEvent & {readonly nowMs: number};

export type Effect =
  /** Make durable, in order, then report `persisted`. */
  | {readonly type: 'save'; readonly seq: number; readonly write: LogWrite}
  | {
      readonly type: 'install';
      readonly seq: number;
      readonly snapshot: Snapshot;
    }
  | {readonly type: 'send'; readonly message: PeerMessage}
  | {readonly type: 'apply'; readonly records: readonly LogRecord[]}
  | {readonly type: 'restore'; readonly snapshot: Snapshot}
  | {
      readonly type: 'accepted';
      readonly id: number;
      readonly index: number;
      readonly term: number;
    }
  /** Not proposed; `reason` is empty if this member does not lead. */
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

/** Numbers discarded after seeding. */
const DISCARDED_RANDOM_NUMBERS = 64;

/** A member as it starts from what it had made durable. */
export function createNode(options: NodeOptions): Node {
  const {stored, nowMs, rules = new Rules()} = options;
  const {snapshot, ballot} = stored;
  const base = snapshot
    ? {index: snapshot.index, term: snapshot.term, revision: snapshot.revision}
    : LOG_START;
  const log: Log = {base, records: stored.records};
  const [wait, random] = prand.uniformIntDistribution(
    rules.minElectionTimeoutMs,
    rules.maxElectionTimeoutMs,
    // The first numbers of neighbouring seeds are alike, which would let
    // members stand for election at the same moment.
    prand.skipN(prand.xoroshiro128plus(options.seed), DISCARDED_RANDOM_NUMBERS),
  );
  const latest = latestMembership(log, snapshot);
  const {voters} = latest.membership;
  // The only voter has no leader to wait for.
  const alone = voters.length === 1 && voters[0] === options.id;
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
    durableIndex: lastPosition(log).index,
    lastWriteSeq: 0,
    durableWriteSeq: 0,
    pendingWrites: [],
    deferredMessages: [],
    electionDeadlineMs: alone
      ? nowMs
      : nowMs + wait * rules.startupTimeoutFactor,
    nextHeartbeatMs: Infinity,
    lastLeaderContactMs: -Infinity,
    votesReceived: [],
    peers: {},
    heartbeatRound: 0,
    pendingReads: [],
    transfer: undefined,
    incomingSnapshot: undefined,
  };
}

/** The first entry of a group, the same on every founder. */
export function bootstrapRecord(founders: readonly string[]): LogRecord {
  const voters = [...founders].sort();
  const text = JSON.stringify({voters, learners: [], retired: []});
  return {index: 1, term: 0, revision: 0, kind: 'members', text};
}

/** The last membership in the log, else the snapshot's, else none. */
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

/** The membership in force at `index`, which is applied. */
export function membershipAt(node: Node, index: number): Membership {
  const records = node.log.records.filter(record => record.index <= index);
  return latestMembership({base: node.log.base, records}, node.snapshot)
    .membership;
}

/** When the member next needs a tick. */
export function nextTickMs(node: Node): number {
  return node.role === 'leader'
    ? node.nextHeartbeatMs
    : node.electionDeadlineMs;
}
