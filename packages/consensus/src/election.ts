/** Elections: pre-votes, votes and a candidate's part in a transfer. */
import {lastEntry} from './log.js';
import {quorumSize} from './members.js';
import type {MessageOf} from './message.js';
import {becomeLeader} from './leader.js';
import {
  becomeFollower,
  updateBallot,
  resetElectionTimer,
  send,
  sendAfterSync,
  type StepContext,
} from './context.js';

/**
 * Starts a pre-vote, or at once an election where pre-votes are disabled,
 * because no leader was heard from within the election timeout. A learner only
 * stops naming that leader.
 */
export function onElectionTimeout(ctx: StepContext): void {
  const {node} = ctx;
  resetElectionTimer(ctx);
  node.leader = undefined;
  if (!node.membership.voters.includes(node.id)) return;
  if (!node.rules.isPreVoteEnabled()) {
    startElection(ctx, false);
    return;
  }
  node.role = 'pre-candidate';
  node.votesReceived = [node.id];
  forEachOtherVoter(ctx, to =>
    send(ctx, {
      type: 'pre-vote',
      to,
      ...lastLogEntry(ctx),
      term: node.term + 1,
    }),
  );
  startElectionIfPreVoted(ctx);
}

function lastLogEntry({node}: StepContext): {
  lastIndex: number;
  lastTerm: number;
} {
  const {index, term} = lastEntry(node.log);
  return {lastIndex: index, lastTerm: term};
}

function forEachOtherVoter(
  {node}: StepContext,
  visit: (to: string) => void,
): void {
  for (const to of node.membership.voters) if (to !== node.id) visit(to);
}

function startElection(ctx: StepContext, transfer: boolean): void {
  const {node} = ctx;
  node.role = 'candidate';
  node.leader = undefined;
  node.votesReceived = [];
  updateBallot(ctx, node.term + 1, node.id);
  forEachOtherVoter(ctx, to =>
    sendAfterSync(ctx, {
      type: 'vote',
      to,
      ...lastLogEntry(ctx),
      transfer,
    }),
  );
  if (!node.rules.isSyncRequired()) countOwnVote(ctx);
}

/** Counts a candidate's own vote, once that vote is durable. */
export function countOwnVote(ctx: StepContext): void {
  const {node} = ctx;
  if (node.role !== 'candidate' || node.votesReceived.includes(node.id)) return;
  node.votesReceived = [...node.votesReceived, node.id];
  becomeLeaderIfElected(ctx);
}

function hasVoteQuorum({node}: StepContext): boolean {
  const grantedByVoters = node.votesReceived.filter(id =>
    node.membership.voters.includes(id),
  );
  return grantedByVoters.length >= quorumSize(node.membership);
}

function startElectionIfPreVoted(ctx: StepContext): void {
  if (hasVoteQuorum(ctx)) startElection(ctx, false);
}

function becomeLeaderIfElected(ctx: StepContext): void {
  if (hasVoteQuorum(ctx)) becomeLeader(ctx);
}

type VoteRequest = MessageOf<'pre-vote'> | MessageOf<'vote'>;

/**
 * Whether to refuse a vote or pre-vote because this member leads or has heard
 * from a leader recently. A removed member gets no vote because its log lacks
 * its removal; the log of this member may lack that it has joined again.
 */
export function isVoteRefused(
  {node}: StepContext,
  message: VoteRequest,
): boolean {
  if (message.type === 'vote' && message.transfer) return false;
  if (node.role === 'leader') return true;
  return node.rules.isLeaderRecent(node.nowMs - node.lastLeaderContactMs);
}

/** Whether the candidate's log is at least as up to date as the own log. */
function isLogUpToDate({node}: StepContext, message: VoteRequest): boolean {
  const ownLast = lastEntry(node.log);
  if (message.lastTerm !== ownLast.term) return message.lastTerm > ownLast.term;
  return message.lastIndex >= ownLast.index;
}

export function onPreVote(
  ctx: StepContext,
  message: MessageOf<'pre-vote'>,
): void {
  const {node} = ctx;
  const granted =
    message.term > node.term &&
    !isVoteRefused(ctx, message) &&
    isLogUpToDate(ctx, message);
  const term = granted ? message.term : node.term;
  send(ctx, {type: 'pre-voted', to: message.from, granted, term});
}

export function onPreVoted(
  ctx: StepContext,
  message: MessageOf<'pre-voted'>,
): void {
  const {node} = ctx;
  if (node.role !== 'pre-candidate' || !message.granted) return;
  if (message.term !== node.term + 1) return;
  if (node.votesReceived.includes(message.from)) return;
  node.votesReceived = [...node.votesReceived, message.from];
  startElectionIfPreVoted(ctx);
}

/** Answers a vote request whose term equals the term of this member. */
export function onVote(ctx: StepContext, message: MessageOf<'vote'>): void {
  const {node} = ctx;
  const canVote = node.votedFor === null || node.votedFor === message.from;
  const granted =
    canVote &&
    node.role === 'follower' &&
    node.leader === undefined &&
    isLogUpToDate(ctx, message);
  if (granted) {
    if (node.votedFor === null) updateBallot(ctx, node.term, message.from);
    resetElectionTimer(ctx);
  }
  sendAfterSync(ctx, {type: 'voted', to: message.from, granted});
}

export function onVoted(ctx: StepContext, message: MessageOf<'voted'>): void {
  const {node} = ctx;
  if (node.role !== 'candidate' || !message.granted) return;
  if (node.votesReceived.includes(message.from)) return;
  node.votesReceived = [...node.votesReceived, message.from];
  becomeLeaderIfElected(ctx);
}

/** Starts an election on request of the leader, without a pre-vote. */
export function onHandOver(
  ctx: StepContext,
  message: MessageOf<'hand-over'>,
): void {
  const {node} = ctx;
  if (node.leader !== message.from) return;
  if (!node.membership.voters.includes(node.id)) return;
  becomeFollower(ctx, undefined);
  startElection(ctx, true);
}
