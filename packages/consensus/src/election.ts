/** Pre-votes, votes and the hand-over of leadership. */
import {lastPosition} from './log.js';
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

/** Starts an election because no leader was heard in time. */
export function onElectionTimeout(context: StepContext): void {
  const {node} = context;
  resetElectionTimer(context);
  if (!node.membership.voters.includes(node.id)) return;
  if (!node.rules.isPreVoteEnabled()) {
    startElection(context, false);
    return;
  }
  node.role = 'pre-candidate';
  node.leader = undefined;
  node.votesReceived = [node.id];
  forEachOtherVoter(context, to =>
    send(context, {
      type: 'pre-vote',
      to,
      ...lastLogEntry(context),
      term: node.term + 1,
    }),
  );
  startElectionIfPreVoted(context);
}

function lastLogEntry({node}: StepContext): {
  lastIndex: number;
  lastTerm: number;
} {
  const {index, term} = lastPosition(node.log);
  return {lastIndex: index, lastTerm: term};
}

function forEachOtherVoter(
  {node}: StepContext,
  one: (to: string) => void,
): void {
  for (const to of node.membership.voters) if (to !== node.id) one(to);
}

function startElection(context: StepContext, transfer: boolean): void {
  const {node} = context;
  node.role = 'candidate';
  node.leader = undefined;
  node.votesReceived = [];
  updateBallot(context, node.term + 1, node.id);
  forEachOtherVoter(context, to =>
    sendAfterSync(context, {
      type: 'vote',
      to,
      ...lastLogEntry(context),
      transfer,
    }),
  );
  if (!node.rules.isSyncRequired()) countOwnVote(context);
}

/** A candidate counts its own vote only once it is durable. */
export function countOwnVote(context: StepContext): void {
  const {node} = context;
  if (node.role !== 'candidate' || node.votesReceived.includes(node.id)) return;
  node.votesReceived = [...node.votesReceived, node.id];
  becomeLeaderIfElected(context);
}

function hasVoteQuorum({node}: StepContext): boolean {
  const counted = node.votesReceived.filter(id =>
    node.membership.voters.includes(id),
  );
  return counted.length >= quorumSize(node.membership);
}

function startElectionIfPreVoted(context: StepContext): void {
  if (hasVoteQuorum(context)) startElection(context, false);
}

function becomeLeaderIfElected(context: StepContext): void {
  if (hasVoteQuorum(context)) becomeLeader(context);
}

type VoteRequest = MessageOf<'pre-vote'> | MessageOf<'vote'>;

/** Whether a vote is refused because a leader is there, or by membership. */
export function isVoteRefused(
  {node}: StepContext,
  message: VoteRequest,
): boolean {
  if (node.membership.retired.includes(message.from)) return true;
  if (message.type === 'vote' && message.transfer) return false;
  if (node.role === 'leader') return true;
  return node.rules.isLeaderRecent(node.nowMs - node.lastLeaderContactMs);
}

function isLogUpToDate({node}: StepContext, message: VoteRequest): boolean {
  const own = lastPosition(node.log);
  if (message.lastTerm !== own.term) return message.lastTerm > own.term;
  return message.lastIndex >= own.index;
}

export function onPreVote(
  context: StepContext,
  message: MessageOf<'pre-vote'>,
): void {
  const {node} = context;
  const granted =
    message.term > node.term &&
    !isVoteRefused(context, message) &&
    isLogUpToDate(context, message);
  const term = granted ? message.term : node.term;
  send(context, {type: 'pre-voted', to: message.from, granted, term});
}

export function onPreVoted(
  context: StepContext,
  message: MessageOf<'pre-voted'>,
): void {
  const {node} = context;
  if (node.role !== 'pre-candidate' || !message.granted) return;
  if (message.term !== node.term + 1) return;
  if (node.votesReceived.includes(message.from)) return;
  node.votesReceived = [...node.votesReceived, message.from];
  startElectionIfPreVoted(context);
}

/** The request's term is this member's own by now. */
export function onVote(context: StepContext, message: MessageOf<'vote'>): void {
  const {node} = context;
  const free = node.votedFor === null || node.votedFor === message.from;
  const granted =
    free &&
    node.role === 'follower' &&
    node.leader === undefined &&
    !node.membership.retired.includes(message.from) &&
    isLogUpToDate(context, message);
  if (granted) {
    if (node.votedFor === null) updateBallot(context, node.term, message.from);
    resetElectionTimer(context);
  }
  sendAfterSync(context, {type: 'voted', to: message.from, granted});
}

export function onVoted(
  context: StepContext,
  message: MessageOf<'voted'>,
): void {
  const {node} = context;
  if (node.role !== 'candidate' || !message.granted) return;
  if (node.votesReceived.includes(message.from)) return;
  node.votesReceived = [...node.votesReceived, message.from];
  becomeLeaderIfElected(context);
}

export function onHandOver(
  context: StepContext,
  message: MessageOf<'hand-over'>,
): void {
  const {node} = context;
  if (node.leader !== message.from) return;
  if (!node.membership.voters.includes(node.id)) return;
  becomeFollower(context, undefined);
  startElection(context, true);
}
