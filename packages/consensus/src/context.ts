/** One step under way: the node being changed, and its effects so far. */
import prand from 'pure-rand';
import type {LogRecord, LogWrite, Snapshot} from '@lentildrift/storage';
import {
  appendTo,
  recordsBetween,
  lastPosition,
  positionAt,
  truncateFrom,
  type Log,
} from './log.js';
import type {PeerMessage} from './message.js';
import {
  latestMembership,
  type Effect,
  type Node,
  type PendingWrite,
} from './node.js';

export interface StepContext {
  /** A copy that only this step sees; the values in it are immutable. */
  readonly node: {-readonly [K in keyof Node]: Node[K]};
  readonly effects: Effect[];
}

type WithoutHeader<M> = M extends PeerMessage
  ? Omit<M, 'group' | 'from' | 'term'>
  : never;
/** A message whose sender, group and (unless given) term are filled in. */
export type OutgoingMessage = WithoutHeader<PeerMessage> & {term?: number};

function addHeader({node}: StepContext, message: OutgoingMessage): PeerMessage {
  const {group, id: from, term} = node;
  return {group, from, term, ...message} as PeerMessage;
}

export function send(context: StepContext, message: OutgoingMessage): void {
  context.effects.push({type: 'send', message: addHeader(context, message)});
}

/** Sends once everything saved so far is durable. */
export function sendAfterSync(
  context: StepContext,
  message: OutgoingMessage,
): void {
  const {node} = context;
  if (
    !node.rules.isSyncRequired() ||
    node.durableWriteSeq >= node.lastWriteSeq
  ) {
    send(context, message);
    return;
  }
  const held = {seq: node.lastWriteSeq, message: addHeader(context, message)};
  node.deferredMessages = [...node.deferredMessages, held];
}

function trackWrite(context: StepContext, snapshot?: Snapshot): number {
  const {node} = context;
  const seq = ++node.lastWriteSeq;
  const lastIndex = lastPosition(node.log).index;
  const pending: PendingWrite = {seq, lastIndex, snapshot};
  node.pendingWrites = [...node.pendingWrites, pending];
  if (!node.rules.isSyncRequired()) node.durableIndex = lastIndex;
  return seq;
}

export function queueWrite(context: StepContext, write: LogWrite): void {
  context.effects.push({type: 'save', seq: trackWrite(context), write});
}

/** Replaces the log by a received snapshot. */
export function installSnapshot(
  context: StepContext,
  snapshot: Snapshot,
): void {
  const {node} = context;
  const {index, term, revision} = snapshot;
  replaceLog(context, {base: {index, term, revision}, records: []}, snapshot);
  node.durableIndex = Math.min(node.durableIndex, node.appliedIndex);
  node.pendingWrites = node.pendingWrites.map(p => ({...p, lastIndex: 0}));
  node.commitIndex = Math.max(node.commitIndex, index);
  const seq = trackWrite(context, snapshot);
  context.effects.push({type: 'install', seq, snapshot});
}

function replaceLog(
  context: StepContext,
  log: Log,
  snapshot = context.node.snapshot,
): void {
  const {node} = context;
  node.log = log;
  node.snapshot = snapshot;
  Object.assign(node, latestMembership(log, snapshot));
}

/** Appends records, after discarding those from the first one's index on. */
export function appendRecords(
  context: StepContext,
  records: readonly LogRecord[],
): void {
  const {node} = context;
  const first = records[0];
  if (!first) return;
  const conflicts = first.index <= lastPosition(node.log).index;
  if (conflicts) {
    if (first.index <= node.commitIndex) {
      throw new Error(`committed entry ${first.index} would be replaced`);
    }
    const kept = first.index - 1;
    replaceLog(context, truncateFrom(node.log, first.index));
    node.durableIndex = Math.min(node.durableIndex, kept);
    node.pendingWrites = node.pendingWrites.map(p => ({
      ...p,
      lastIndex: Math.min(p.lastIndex, kept),
    }));
  }
  node.log = appendTo(node.log, records);
  if (records.some(({kind}) => kind === 'members'))
    replaceLog(context, node.log);
  const write: LogWrite = {records: [...records]};
  if (conflicts) write.truncateFrom = first.index;
  queueWrite(context, write);
}

/** Takes a newer term, in which this member has not voted. */
export function updateBallot(
  context: StepContext,
  term: number,
  vote: string | null,
): void {
  const {node} = context;
  node.term = term;
  node.votedFor = vote;
  node.deferredMessages = [];
  queueWrite(context, {ballot: {term, vote}, records: []});
}

export function becomeFollower(
  context: StepContext,
  leader: string | undefined,
): void {
  const {node} = context;
  for (const {id} of node.pendingReads) {
    context.effects.push({type: 'refused', id, reason: ''});
  }
  node.role = 'follower';
  node.leader = leader;
  node.pendingReads = [];
  node.votesReceived = [];
  node.peers = {};
  node.transfer = undefined;
  node.nextHeartbeatMs = Infinity;
  resetElectionTimer(context);
}

export function resetElectionTimer({node}: StepContext): void {
  const {minElectionTimeoutMs, maxElectionTimeoutMs} = node.rules;
  const [waitMs, random] = prand.uniformIntDistribution(
    minElectionTimeoutMs,
    maxElectionTimeoutMs,
    node.random,
  );
  node.random = random;
  node.electionDeadlineMs = node.nowMs + waitMs;
}

/** Hands the state machine what is committed and durable here. */
export function applyCommitted(context: StepContext): void {
  const {node} = context;
  if (node.appliedIndex < node.log.base.index) return;
  const upTo = Math.min(node.commitIndex, node.durableIndex);
  if (upTo <= node.appliedIndex) return;
  const records = recordsBetween(node.log, node.appliedIndex, upTo);
  node.appliedIndex = upTo;
  context.effects.push({type: 'apply', records});
}

/** Takes note that all writes up to `seq` are durable. */
export function onPersisted(context: StepContext, seq: number): void {
  const {node} = context;
  const done = node.pendingWrites.filter(p => p.seq <= seq);
  node.pendingWrites = node.pendingWrites.filter(p => p.seq > seq);
  node.durableWriteSeq = Math.max(node.durableWriteSeq, seq);
  for (const {snapshot, lastIndex} of done) {
    if (snapshot && snapshot.index > node.appliedIndex) {
      node.appliedIndex = snapshot.index;
      context.effects.push({type: 'restore', snapshot});
    }
    if (lastIndex > node.durableIndex && positionAt(node.log, lastIndex)) {
      node.durableIndex = lastIndex;
    }
  }
  const ready = node.deferredMessages.filter(
    held => held.seq <= node.durableWriteSeq,
  );
  node.deferredMessages = node.deferredMessages.filter(
    held => held.seq > node.durableWriteSeq,
  );
  for (const {message} of ready) context.effects.push({type: 'send', message});
}
