/** The context of one step: the node as it changes and the effects so far. */
import prand from 'pure-rand';
import type {LogRecord, LogWrite, Snapshot} from '@lentildrift/storage';
import {
  appendTo,
  lastEntry,
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
  /** A shallow copy that only this step changes; its values are immutable. */
  readonly node: {-readonly [K in keyof Node]: Node[K]};
  readonly effects: Effect[];
}

type WithoutHeader<M> = M extends PeerMessage
  ? Omit<M, 'group' | 'from' | 'term'>
  : never;
/** A message without sender and group; the term defaults to the node's. */
export type OutgoingMessage = WithoutHeader<PeerMessage> & {term?: number};

function addHeader({node}: StepContext, message: OutgoingMessage): PeerMessage {
  const {group, id: from, term} = node;
  return {group, from, term, ...message} as PeerMessage;
}

export function send(ctx: StepContext, message: OutgoingMessage): void {
  ctx.effects.push({type: 'send', message: addHeader(ctx, message)});
}

/** Sends the message once all writes queued so far are durable. */
export function sendAfterSync(
  ctx: StepContext,
  message: OutgoingMessage,
): void {
  const {node} = ctx;
  if (
    !node.rules.isSyncRequired() ||
    node.durableWriteSeq >= node.lastWriteSeq
  ) {
    send(ctx, message);
    return;
  }
  const deferred = {
    seq: node.lastWriteSeq,
    message: addHeader(ctx, message),
  };
  node.deferredMessages = [...node.deferredMessages, deferred];
}

function trackWrite(ctx: StepContext, snapshot?: Snapshot): number {
  const {node} = ctx;
  const seq = ++node.lastWriteSeq;
  const lastIndex = lastEntry(node.log).index;
  const pending: PendingWrite = {seq, lastIndex, snapshot};
  node.pendingWrites = [...node.pendingWrites, pending];
  if (!node.rules.isSyncRequired()) node.durableIndex = lastIndex;
  return seq;
}

export function queueWrite(ctx: StepContext, write: LogWrite): void {
  ctx.effects.push({type: 'save', seq: trackWrite(ctx), write});
}

/** Replaces the log with a received snapshot. */
export function installSnapshot(ctx: StepContext, snapshot: Snapshot): void {
  const {node} = ctx;
  const {index, term, revision} = snapshot;
  replaceLog(ctx, {base: {index, term, revision}, records: []}, snapshot);
  node.durableIndex = Math.min(node.durableIndex, node.appliedIndex);
  node.pendingWrites = node.pendingWrites.map(p => ({...p, lastIndex: 0}));
  node.commitIndex = Math.max(node.commitIndex, index);
  const seq = trackWrite(ctx, snapshot);
  ctx.effects.push({type: 'install', seq, snapshot});
}

function replaceLog(
  ctx: StepContext,
  log: Log,
  snapshot = ctx.node.snapshot,
): void {
  const {node} = ctx;
  node.log = log;
  node.snapshot = snapshot;
  Object.assign(node, latestMembership(log, snapshot));
}

/**
 * Appends `records` to the log, after discarding the entries from the index of
 * the first record on. Throws if a committed entry would be discarded.
 */
export function appendRecords(
  ctx: StepContext,
  records: readonly LogRecord[],
): void {
  const {node} = ctx;
  const first = records[0];
  if (!first) return;
  const hasConflict = first.index <= lastEntry(node.log).index;
  if (hasConflict) {
    if (first.index <= node.commitIndex) {
      throw new Error(`committed entry ${first.index} would be replaced`);
    }
    const lastKept = first.index - 1;
    replaceLog(ctx, truncateFrom(node.log, first.index));
    node.durableIndex = Math.min(node.durableIndex, lastKept);
    node.pendingWrites = node.pendingWrites.map(p => ({
      ...p,
      lastIndex: Math.min(p.lastIndex, lastKept),
    }));
  }
  node.log = appendTo(node.log, records);
  if (records.some(({kind}) => kind === 'members')) replaceLog(ctx, node.log);
  const write: LogWrite = {records: [...records]};
  if (hasConflict) write.truncateFrom = first.index;
  queueWrite(ctx, write);
}

/**
 * Sets the term and the vote, and queues the write that makes both durable.
 * The term must be newer, or the node must not have voted in it. Drops the
 * deferred messages.
 */
export function updateBallot(
  ctx: StepContext,
  term: number,
  votedFor: string | null,
): void {
  const {node} = ctx;
  node.term = term;
  node.votedFor = votedFor;
  node.deferredMessages = [];
  queueWrite(ctx, {ballot: {term, vote: votedFor}, records: []});
}

export function becomeFollower(
  ctx: StepContext,
  leader: string | undefined,
): void {
  const {node} = ctx;
  for (const {id} of node.pendingReads) {
    ctx.effects.push({type: 'refused', id, reason: ''});
  }
  node.role = 'follower';
  node.leader = leader;
  node.pendingReads = [];
  node.votesReceived = [];
  node.peers = {};
  node.transfer = undefined;
  node.nextHeartbeatMs = Infinity;
  resetElectionTimer(ctx);
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

/**
 * Handles that all writes up to `seq` are durable: restores an installed
 * snapshot, advances `durableIndex` and sends the deferred messages.
 */
export function onPersisted(ctx: StepContext, seq: number): void {
  const {node} = ctx;
  const durable = node.pendingWrites.filter(p => p.seq <= seq);
  node.pendingWrites = node.pendingWrites.filter(p => p.seq > seq);
  node.durableWriteSeq = Math.max(node.durableWriteSeq, seq);
  for (const {snapshot, lastIndex} of durable) {
    if (snapshot && snapshot.index > node.appliedIndex) {
      node.appliedIndex = snapshot.index;
      ctx.effects.push({type: 'restore', snapshot});
    }
    if (lastIndex > node.durableIndex && positionAt(node.log, lastIndex)) {
      node.durableIndex = lastIndex;
    }
  }
  const ready = node.deferredMessages.filter(
    deferred => deferred.seq <= node.durableWriteSeq,
  );
  node.deferredMessages = node.deferredMessages.filter(
    deferred => deferred.seq > node.durableWriteSeq,
  );
  for (const {message} of ready) ctx.effects.push({type: 'send', message});
}
