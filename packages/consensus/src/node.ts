/** The state of one member of the replicated log, and what goes in and out. */
import prand, {type RandomGenerator} from 'pure-rand';
import type {
  LogRecord,
  LogWrite,
  Snapshot,
  StoredLog,
} from '@lentildrift/storage';
import {last, START, type Log} from './log.js';
import {Members, NO_MEMBERS, type MemberChange} from './members.js';
import type {PeerMessage} from './message.js';
import {Rules} from './rules.js';

export type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** What a leader knows of another member. */
export interface Peer {
  /** Last entry known to be durable there. */
  readonly match: number;
  readonly next: number;
  /** A message with content is under way; heartbeats resend it if lost. */
  readonly busy: boolean;
  readonly commitSent: number;
  readonly heardMs: number;
  /** Last heartbeat round that it answered. */
  readonly round: number;
  readonly snapshot: {readonly index: number; readonly offset: number};
}

/** A read that waits for a majority to answer a heartbeat round. */
export interface Read {
  readonly id: number;
  readonly round: number;
  /** Needs no round of its own before the next regular heartbeat. */
  readonly patient: boolean;
}

/** A write under way, and what is durable once it is done. */
export interface Pending {
  readonly seq: number;
  readonly lastIndex: number;
  readonly installs: Snapshot | undefined;
}

export interface Node {
  readonly id: string;
  readonly group: string;
  readonly rules: Rules;
  readonly random: RandomGenerator;
  readonly nowMs: number;
  readonly term: number;
  readonly vote: string | null;
  readonly role: Role;
  readonly leader: string | undefined;
  readonly log: Log;
  readonly snapshot: Snapshot | undefined;
  /** Membership in force: the last one in the log, committed or not. */
  readonly members: Members;
  readonly membersIndex: number;
  readonly commit: number;
  readonly applied: number;
  readonly durable: number;
  readonly seq: number;
  readonly savedSeq: number;
  readonly pending: readonly Pending[];
  /** Messages that may leave only once the write `seq` is durable. */
  readonly held: readonly {seq: number; message: PeerMessage}[];
  readonly electionAtMs: number;
  readonly heartbeatAtMs: number;
  readonly heardLeaderMs: number;
  readonly votes: readonly string[];
  readonly peers: Readonly<Record<string, Peer>>;
  readonly round: number;
  readonly reads: readonly Read[];
  readonly transfer: {to: string; untilMs: number; sent: boolean} | undefined;
  /** A snapshot being received. */
  readonly incoming: {index: number; text: string} | undefined;
}

export type Body =
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
  | {readonly type: 'found'; readonly voters: readonly string[]}
  | {readonly type: 'persisted'; readonly seq: number}
  | {readonly type: 'compacted'; readonly snapshot: Snapshot};

/** `nowMs` is monotonic. */
export type Input = Body & {readonly nowMs: number};

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
const SEED_MIXING = 64;

/** A member as it starts from what it had made durable. */
export function createNode(options: NodeOptions): Node {
  const {stored, nowMs, rules = new Rules()} = options;
  const {snapshot, ballot} = stored;
  const base = snapshot
    ? {index: snapshot.index, term: snapshot.term, revision: snapshot.revision}
    : START;
  const log: Log = {base, records: stored.records};
  const [wait, random] = prand.uniformIntDistribution(
    rules.minElectionMs,
    rules.maxElectionMs,
    // The first numbers of neighbouring seeds are alike, which would let
    // members stand for election at the same moment.
    prand.skipN(prand.xoroshiro128plus(options.seed), SEED_MIXING),
  );
  const membership = membersOf(log, snapshot);
  const {voters} = membership.members;
  // The only voter has no leader to wait for.
  const alone = voters.length === 1 && voters[0] === options.id;
  return {
    id: options.id,
    group: options.group,
    rules,
    random,
    nowMs,
    term: ballot.term,
    vote: ballot.vote,
    role: 'follower',
    leader: undefined,
    log,
    snapshot,
    ...membership,
    commit: base.index,
    applied: base.index,
    durable: last(log).index,
    seq: 0,
    savedSeq: 0,
    pending: [],
    held: [],
    electionAtMs: alone ? nowMs : nowMs + wait * rules.startupShare,
    heartbeatAtMs: Infinity,
    heardLeaderMs: -Infinity,
    votes: [],
    peers: {},
    round: 0,
    reads: [],
    transfer: undefined,
    incoming: undefined,
  };
}

/** The first entry of a group, the same on every founder. */
export function foundingRecord(founders: readonly string[]): LogRecord {
  const voters = [...founders].sort();
  const text = JSON.stringify({voters, learners: [], retired: []});
  return {index: 1, term: 0, revision: 0, kind: 'members', text};
}

/** The last membership in the log, else the snapshot's, else none. */
export function membersOf(
  log: Log,
  snapshot: Snapshot | undefined,
): {members: Members; membersIndex: number} {
  const record = log.records.findLast(({kind}) => kind === 'members');
  const encoded = record?.text ?? snapshot?.members;
  return {
    members: encoded ? Members.parse(JSON.parse(encoded)) : NO_MEMBERS,
    membersIndex: record?.index ?? snapshot?.index ?? 0,
  };
}

/** The membership in force at `index`, which is applied. */
export function membersAt(node: Node, index: number): Members {
  const records = node.log.records.filter(record => record.index <= index);
  return membersOf({base: node.log.base, records}, node.snapshot).members;
}

/** When the member next needs a tick. */
export function deadline(node: Node): number {
  return node.role === 'leader' ? node.heartbeatAtMs : node.electionAtMs;
}
