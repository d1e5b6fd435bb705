/** Leader: commit index, proposals, membership changes and transfers. */
import type {LogRecord} from '@lentildrift/storage';
import {lastEntry, positionAt} from './log.js';
import {applyMemberChange, quorumSize, type MemberChange} from './members.js';
import type {MessageOf} from './message.js';
import {readRoundDueMs, type SnapshotProgress} from './node.js';
import {answerReads, startReadRoundIfDue} from './read.js';
import {
  startRound,
  recordResponse,
  replicate,
  updatePeer,
  updatePeers,
} from './replication.js';
import {
  becomeFollower,
  send,
  appendRecords,
  type StepContext,
} from './context.js';

export function becomeLeader(ctx: StepContext): void {
  const {node} = ctx;
  node.role = 'leader';
  node.leader = node.id;
  node.votesReceived = [];
  node.peers = {};
  updatePeers(ctx);
  // Committing this entry commits the entries of older terms before it. Reads
  // also need a committed entry of the leader's own term.
  appendNew(ctx, [{kind: 'noop', text: ''}]);
  const {index} = lastEntry(node.log);
  node.catchUp = {index, nextIndex: index, atMs: node.nowMs};
  startRound(ctx);
  advanceCommit(ctx);
}

/** An entry before it gets its index, term and revision. */
type NewRecord = Pick<LogRecord, 'kind' | 'text'>;

function appendNew(ctx: StepContext, newRecords: readonly NewRecord[]): void {
  const {node} = ctx;
  let {index, revision} = lastEntry(node.log);
  const records = newRecords.map(record => {
    if (record.kind === 'change') revision++;
    return {index: ++index, term: node.term, revision, ...record};
  });
  appendRecords(ctx, records);
}

export function onAppended(
  ctx: StepContext,
  message: MessageOf<'appended'>,
): void {
  const {from, ok, match, round} = message;
  if (ctx.node.role !== 'leader') return;
  const peer = recordResponse(ctx, from, round);
  if (!peer) return;
  if (ok) {
    const matchIndex = Math.max(peer.matchIndex, match);
    updatePeer(ctx, from, {
      matchIndex,
      nextIndex: Math.max(peer.nextIndex, matchIndex + 1),
      inFlight: false,
    });
    advanceCommit(ctx);
    handOverIfCaughtUp(ctx);
  } else {
    const next = Math.max(
      peer.matchIndex + 1,
      Math.min(match + 1, peer.nextIndex - 1),
    );
    updatePeer(ctx, from, {nextIndex: Math.max(1, next), inFlight: false});
  }
  answerReads(ctx);
}

export function onSnapshotted(
  ctx: StepContext,
  message: MessageOf<'snapshotted'>,
): void {
  if (ctx.node.role !== 'leader') return;
  const {from, index, offset, round} = message;
  const peer = recordResponse(ctx, from, round);
  if (!peer || !isPartNeeded(peer.snapshot, message)) return;
  updatePeer(ctx, from, {
    snapshot: {index, offset, sentRound: undefined},
    inFlight: false,
  });
  if (positionAt(ctx.node.log, ctx.node.peers[from]!.nextIndex - 1)) return;
  replicate(ctx, from);
}

/**
 * Whether the answer asks for a part that is not on its way to the peer: the
 * next one, or one that was lost. An answer to a later round than that of the
 * part shows the loss, since messages arrive in the order in which they were
 * sent.
 */
function isPartNeeded(
  {index, offset, sentRound = -1}: SnapshotProgress,
  message: MessageOf<'snapshotted'>,
): boolean {
  if (message.index !== index) return false;
  return message.offset > offset || message.round > sentRound;
}

/** Commits the entries that are durable on a majority of the voters. */
export function advanceCommit(ctx: StepContext): void {
  const {node} = ctx;
  if (node.role !== 'leader') return;
  const durableIndexes = node.membership.voters
    .map(id =>
      id === node.id ? node.durableIndex : (node.peers[id]?.matchIndex ?? 0),
    )
    .sort((a, b) => b - a);
  const index = durableIndexes[quorumSize(node.membership) - 1] ?? 0;
  const entry = positionAt(node.log, index);
  if (index <= node.commitIndex || !entry) return;
  if (!node.rules.canCommitByCount(entry.term, node.term)) return;
  node.commitIndex = index;
  answerReads(ctx);
}

/**
 * Steps down if no majority of the voters has answered in time; otherwise
 * starts a heartbeat round if one is due.
 */
export function checkQuorumAndHeartbeat(ctx: StepContext): void {
  const {node} = ctx;
  const {rules, membership, nowMs} = node;
  const activeVoters = membership.voters.filter(id => {
    const sinceResponseMs =
      nowMs - (node.peers[id]?.lastResponseMs ?? -Infinity);
    return id === node.id || sinceResponseMs < rules.minElectionTimeoutMs;
  });
  if (rules.hasLostQuorum(activeVoters.length, quorumSize(membership))) {
    becomeFollower(ctx, undefined);
    return;
  }
  if (node.transfer && nowMs >= node.transfer.deadlineMs) {
    node.transfer = undefined;
  }
  const {round} = node;
  if (nowMs >= node.nextHeartbeatMs) startRound(ctx);
  else startReadRoundIfDue(ctx);
  // The only voter gets no answer to the round, which would answer its reads.
  if (node.round !== round) answerReads(ctx);
}

export function propose(
  ctx: StepContext,
  changes: readonly {id: number; text: string}[],
): void {
  const {node, effects} = ctx;
  const newRecords: NewRecord[] = [];
  let {index} = lastEntry(node.log);
  for (const {id, text} of changes) {
    const reason = refusalReason(ctx, text);
    if (reason !== undefined) {
      effects.push({type: 'refused', id, reason});
      continue;
    }
    newRecords.push({kind: 'change', text});
    effects.push({type: 'accepted', id, index: ++index, term: node.term});
  }
  if (newRecords.length > 0) {
    const gapMs = node.nowMs - node.lastChange.atMs;
    node.lastChange = {atMs: node.nowMs, gapMs};
  }
  appendNew(ctx, newRecords);
  // The messages that carry the entries serve the reads that wait as well.
  if (readRoundDueMs(node) < Infinity) startRound(ctx);
  advanceCommit(ctx);
}

/** Why a change is refused, empty if not leading; `undefined` if accepted. */
function refusalReason({node}: StepContext, text: string): string | undefined {
  if (node.role !== 'leader' || node.transfer) return '';
  const {maxChangeBytes} = node.rules;
  if (text.length <= maxChangeBytes) return undefined;
  return `the change is larger than ${maxChangeBytes} bytes`;
}

export function proposeMembers(
  ctx: StepContext,
  id: number,
  change: MemberChange,
): void {
  const {node, effects} = ctx;
  const next = nextMembership(ctx, change);
  if (typeof next === 'string') {
    effects.push({type: 'refused', id, reason: next});
    return;
  }
  const {index} = lastEntry(node.log);
  effects.push({type: 'accepted', id, index: index + 1, term: node.term});
  appendNew(ctx, [{kind: 'members', text: JSON.stringify(next)}]);
  updatePeers(ctx);
  advanceCommit(ctx);
}

/** The membership after the change, or why it is refused, as a text. */
function nextMembership({node}: StepContext, change: MemberChange) {
  if (node.role !== 'leader' || node.transfer) return '';
  // Two uncommitted membership changes at once, or a change before the leader
  // has committed an entry of its own term, could lead to two majorities
  // without a common member.
  const hasCommittedOwnTerm =
    positionAt(node.log, node.commitIndex)?.term === node.term;
  if (!hasCommittedOwnTerm || node.membershipIndex > node.commitIndex) {
    return 'another membership change is under way';
  }
  if (change.type === 'remove' && change.member === node.id) {
    return 'the leader cannot be removed: hand leadership over first';
  }
  if (change.type === 'promote') {
    const match = node.peers[change.member]?.matchIndex ?? 0;
    if (!node.rules.canPromote(match, node.catchUp.index)) {
      return `member ${change.member} has not caught up`;
    }
  }
  return applyMemberChange(node.membership, change);
}

/**
 * Starts a leadership transfer to the voter `to`, or to the voter whose log is
 * the most complete.
 */
export function startTransfer(ctx: StepContext, to: string | undefined): void {
  const {node} = ctx;
  if (node.role !== 'leader') return;
  const target = node.membership.voters
    .filter(id => id !== node.id && (to === undefined || id === to))
    .sort((a, b) => node.peers[b]!.matchIndex - node.peers[a]!.matchIndex)[0];
  if (target === undefined) return;
  const deadlineMs = node.nowMs + node.rules.minElectionTimeoutMs;
  node.transfer = {to: target, deadlineMs, sent: false};
  handOverIfCaughtUp(ctx);
}

function handOverIfCaughtUp(ctx: StepContext): void {
  const {node} = ctx;
  const {transfer} = node;
  if (!transfer || transfer.sent) return;
  if (node.peers[transfer.to]?.matchIndex !== lastEntry(node.log).index) return;
  node.transfer = {...transfer, sent: true};
  send(ctx, {type: 'hand-over', to: transfer.to});
}
