/** What a leader does: commitment, proposals, membership, hand-over. */
import type {LogRecord} from '@lentildrift/storage';
import {lastPosition, positionAt} from './log.js';
import {applyMemberChange, quorumSize, type MemberChange} from './members.js';
import type {MessageOf} from './message.js';
import {answerReads} from './read.js';
import {
  startHeartbeatRound,
  recordResponse,
  replicate,
  updatePeer,
  updatePeers,
} from './replication.js';
import {
  becomeFollower,
  applyCommitted,
  send,
  appendRecords,
  type StepContext,
} from './context.js';

export function becomeLeader(context: StepContext): void {
  const {node} = context;
  node.role = 'leader';
  node.leader = node.id;
  node.votesReceived = [];
  node.peers = {};
  updatePeers(context);
  // Commits what older terms left behind and makes reads possible.
  appendNew(context, [{kind: 'noop', text: ''}]);
  startHeartbeatRound(context);
  advanceCommit(context);
}

type NewRecord = Pick<LogRecord, 'kind' | 'text'>;

function appendNew(
  context: StepContext,
  newRecords: readonly NewRecord[],
): void {
  const {node} = context;
  let {index, revision} = lastPosition(node.log);
  const records = newRecords.map(record => {
    if (record.kind === 'change') revision++;
    return {index: ++index, term: node.term, revision, ...record};
  });
  appendRecords(context, records);
}

export function onAppended(
  context: StepContext,
  message: MessageOf<'appended'>,
): void {
  const {from, ok, match, round} = message;
  if (context.node.role !== 'leader') return;
  const peer = recordResponse(context, from, round);
  if (!peer) return;
  if (ok) {
    const known = Math.max(peer.matchIndex, match);
    updatePeer(context, from, {
      matchIndex: known,
      nextIndex: known + 1,
      inFlight: false,
    });
    advanceCommit(context);
    handOverIfCaughtUp(context);
  } else {
    const next = Math.max(
      peer.matchIndex + 1,
      Math.min(match + 1, peer.nextIndex - 1),
    );
    updatePeer(context, from, {nextIndex: Math.max(1, next), inFlight: false});
  }
  answerReads(context);
}

export function onSnapshotted(
  context: StepContext,
  message: MessageOf<'snapshotted'>,
): void {
  if (context.node.role !== 'leader') return;
  const {from, index, offset, round} = message;
  if (!recordResponse(context, from, round)) return;
  updatePeer(context, from, {snapshot: {index, offset}, inFlight: false});
  if (positionAt(context.node.log, context.node.peers[from]!.nextIndex - 1))
    return;
  replicate(context, from);
}

/** Commits what a majority of the voters holds durably. */
export function advanceCommit(context: StepContext): void {
  const {node} = context;
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
  applyCommitted(context);
  answerReads(context);
}

/** Steps down without a majority; else keeps up the heartbeats. */
export function checkQuorumAndHeartbeat(context: StepContext): void {
  const {node} = context;
  const {rules, membership, nowMs} = node;
  const activeVoters = membership.voters.filter(id => {
    const sinceResponseMs =
      nowMs - (node.peers[id]?.lastResponseMs ?? -Infinity);
    return id === node.id || sinceResponseMs < rules.minElectionTimeoutMs;
  });
  if (rules.hasLostQuorum(activeVoters.length, quorumSize(membership))) {
    becomeFollower(context, undefined);
    return;
  }
  if (node.transfer && nowMs >= node.transfer.untilMs) {
    node.transfer = undefined;
  }
  if (nowMs >= node.nextHeartbeatMs) startHeartbeatRound(context);
}

export function propose(
  context: StepContext,
  changes: readonly {id: number; text: string}[],
): void {
  const {node, effects} = context;
  const newRecords: NewRecord[] = [];
  let {index} = lastPosition(node.log);
  for (const {id, text} of changes) {
    const reason = refusalReason(context, text);
    if (reason !== undefined) {
      effects.push({type: 'refused', id, reason});
      continue;
    }
    newRecords.push({kind: 'change', text});
    effects.push({type: 'accepted', id, index: ++index, term: node.term});
  }
  appendNew(context, newRecords);
  advanceCommit(context);
}

function refusalReason({node}: StepContext, text: string): string | undefined {
  if (node.role !== 'leader' || node.transfer) return '';
  const {maxChangeBytes} = node.rules;
  if (text.length <= maxChangeBytes) return undefined;
  return `the change is larger than ${maxChangeBytes} bytes`;
}

export function proposeMembers(
  context: StepContext,
  id: number,
  change: MemberChange,
): void {
  const {node, effects} = context;
  const next = nextMembership(context, change);
  if (typeof next === 'string') {
    effects.push({type: 'refused', id, reason: next});
    return;
  }
  const {index} = lastPosition(node.log);
  effects.push({type: 'accepted', id, index: index + 1, term: node.term});
  appendNew(context, [{kind: 'members', text: JSON.stringify(next)}]);
  updatePeers(context);
  advanceCommit(context);
}

function nextMembership({node}: StepContext, change: MemberChange) {
  if (node.role !== 'leader' || node.transfer) return '';
  // Two changes under way, or one before this term has committed anything,
  // could lead to two majorities without a common member.
  const settled = positionAt(node.log, node.commitIndex)?.term === node.term;
  if (!settled || node.membershipIndex > node.commitIndex) {
    return 'another membership change is under way';
  }
  if (change.type === 'remove' && change.member === node.id) {
    return 'the leader cannot be removed: hand leadership over first';
  }
  if (change.type === 'promote') {
    const match = node.peers[change.member]?.matchIndex ?? 0;
    if (!node.rules.canPromote(match, node.commitIndex)) {
      return `member ${change.member} has not caught up`;
    }
  }
  return applyMemberChange(node.membership, change);
}

/** Hands leadership to `to`, or to the voter that is furthest ahead. */
export function startTransfer(
  context: StepContext,
  to: string | undefined,
): void {
  const {node} = context;
  if (node.role !== 'leader') return;
  const best = node.membership.voters
    .filter(id => id !== node.id && (to === undefined || id === to))
    .sort((a, b) => node.peers[b]!.matchIndex - node.peers[a]!.matchIndex)[0];
  if (best === undefined) return;
  const untilMs = node.nowMs + node.rules.minElectionTimeoutMs;
  node.transfer = {to: best, untilMs, sent: false};
  handOverIfCaughtUp(context);
}

function handOverIfCaughtUp(context: StepContext): void {
  const {node} = context;
  const {transfer} = node;
  if (!transfer || transfer.sent) return;
  if (node.peers[transfer.to]?.matchIndex !== lastPosition(node.log).index)
    return;
  node.transfer = {...transfer, sent: true};
  send(context, {type: 'hand-over', to: transfer.to});
}
