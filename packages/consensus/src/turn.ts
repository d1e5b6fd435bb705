/** One step under way: the node being changed, and its effects so far. */
import prand from 'pure-rand';
import type {LogRecord, LogWrite, Snapshot} from '@lentildrift/storage';
import {
  appendTo,
  between,
  last,
  positionAt,
  truncate,
  type Log,
} from './log.js';
import type {PeerMessage} from './message.js';
import {membersOf, type Effect, type Node, type Pending} from './node.js';

export interface Turn {
  /** A copy that only this step sees; the values in it are immutable. */
  readonly node: {-readonly [K in keyof Node]: Node[K]};
  readonly effects: Effect[];
}

type WithoutHead<M> = M extends PeerMessage
  ? Omit<M, 'group' | 'from' | 'term'>
  : never;
/** A message whose sender, group and (unless given) term are filled in. */
export type Outgoing = WithoutHead<PeerMessage> & {term?: number};

function address({node}: Turn, message: Outgoing): PeerMessage {
  const {group, id: from, term} = node;
  return {group, from, term, ...message} as PeerMessage;
}

export function send(turn: Turn, message: Outgoing): void {
  turn.effects.push({type: 'send', message: address(turn, message)});
}

/** Sends once everything saved so far is durable. */
export function sendDurably(turn: Turn, message: Outgoing): void {
  const {node} = turn;
  if (!node.rules.waitsForSync() || node.savedSeq >= node.seq) {
    send(turn, message);
    return;
  }
  const held = {seq: node.seq, message: address(turn, message)};
  node.held = [...node.held, held];
}

function enqueue(turn: Turn, installs?: Snapshot): number {
  const {node} = turn;
  const seq = ++node.seq;
  const lastIndex = last(node.log).index;
  const pending: Pending = {seq, lastIndex, installs};
  node.pending = [...node.pending, pending];
  if (!node.rules.waitsForSync()) node.durable = lastIndex;
  return seq;
}

export function save(turn: Turn, write: LogWrite): void {
  turn.effects.push({type: 'save', seq: enqueue(turn), write});
}

/** Replaces the log by a received snapshot. */
export function install(turn: Turn, snapshot: Snapshot): void {
  const {node} = turn;
  const {index, term, revision} = snapshot;
  setLog(turn, {base: {index, term, revision}, records: []}, snapshot);
  node.durable = Math.min(node.durable, node.applied);
  node.pending = node.pending.map(p => ({...p, lastIndex: 0}));
  node.commit = Math.max(node.commit, index);
  const seq = enqueue(turn, snapshot);
  turn.effects.push({type: 'install', seq, snapshot});
}

function setLog(turn: Turn, log: Log, snapshot = turn.node.snapshot): void {
  const {node} = turn;
  node.log = log;
  node.snapshot = snapshot;
  Object.assign(node, membersOf(log, snapshot));
}

/** Appends records, after discarding those from the first one's index on. */
export function store(turn: Turn, records: readonly LogRecord[]): void {
  const {node} = turn;
  const first = records[0];
  if (!first) return;
  const conflicts = first.index <= last(node.log).index;
  if (conflicts) {
    if (first.index <= node.commit) {
      throw new Error(`committed entry ${first.index} would be replaced`);
    }
    const kept = first.index - 1;
    setLog(turn, truncate(node.log, first.index));
    node.durable = Math.min(node.durable, kept);
    node.pending = node.pending.map(p => ({
      ...p,
      lastIndex: Math.min(p.lastIndex, kept),
    }));
  }
  node.log = appendTo(node.log, records);
  if (records.some(({kind}) => kind === 'members')) setLog(turn, node.log);
  const write: LogWrite = {records: [...records]};
  if (conflicts) write.truncateFrom = first.index;
  save(turn, write);
}

/** Takes a newer term, in which this member has not voted. */
export function raiseTerm(turn: Turn, term: number, vote: string | null): void {
  const {node} = turn;
  node.term = term;
  node.vote = vote;
  node.held = [];
  save(turn, {ballot: {term, vote}, records: []});
}

export function becomeFollower(turn: Turn, leader: string | undefined): void {
  const {node} = turn;
  for (const {id} of node.reads) {
    turn.effects.push({type: 'refused', id, reason: ''});
  }
  node.role = 'follower';
  node.leader = leader;
  node.reads = [];
  node.votes = [];
  node.peers = {};
  node.transfer = undefined;
  node.heartbeatAtMs = Infinity;
  resetElection(turn);
}

export function resetElection({node}: Turn): void {
  const {minElectionMs, maxElectionMs} = node.rules;
  const [waitMs, random] = prand.uniformIntDistribution(
    minElectionMs,
    maxElectionMs,
    node.random,
  );
  node.random = random;
  node.electionAtMs = node.nowMs + waitMs;
}

/** Hands the state machine what is committed and durable here. */
export function deliver(turn: Turn): void {
  const {node} = turn;
  if (node.applied < node.log.base.index) return;
  const upTo = Math.min(node.commit, node.durable);
  if (upTo <= node.applied) return;
  const records = between(node.log, node.applied, upTo);
  node.applied = upTo;
  turn.effects.push({type: 'apply', records});
}

/** Takes note that all writes up to `seq` are durable. */
export function persisted(turn: Turn, seq: number): void {
  const {node} = turn;
  const done = node.pending.filter(p => p.seq <= seq);
  node.pending = node.pending.filter(p => p.seq > seq);
  node.savedSeq = Math.max(node.savedSeq, seq);
  for (const {installs, lastIndex} of done) {
    if (installs && installs.index > node.applied) {
      node.applied = installs.index;
      turn.effects.push({type: 'restore', snapshot: installs});
    }
    if (lastIndex > node.durable && positionAt(node.log, lastIndex)) {
      node.durable = lastIndex;
    }
  }
  const ready = node.held.filter(held => held.seq <= node.savedSeq);
  node.held = node.held.filter(held => held.seq > node.savedSeq);
  for (const {message} of ready) turn.effects.push({type: 'send', message});
}
