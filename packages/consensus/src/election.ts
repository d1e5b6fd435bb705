/** Pre-votes, votes and the hand-over of leadership. */
import {last} from './log.js';
import {majority} from './members.js';
import type {MessageOf} from './message.js';
import {becomeLeader} from './lead.js';
import {
  becomeFollower,
  raiseTerm,
  resetElection,
  send,
  sendDurably,
  type Turn,
} from './turn.js';

/** Starts an election because no leader was heard in time. */
export function electionDue(turn: Turn): void {
  const {node} = turn;
  resetElection(turn);
  if (!node.members.voters.includes(node.id)) return;
  if (!node.rules.asksFirst()) {
    campaign(turn, false);
    return;
  }
  node.role = 'pre-candidate';
  node.leader = undefined;
  node.votes = [node.id];
  ask(turn, to =>
    send(turn, {type: 'pre-vote', to, ...end(turn), term: node.term + 1}),
  );
  countPreVotes(turn);
}

function end({node}: Turn): {lastIndex: number; lastTerm: number} {
  const {index, term} = last(node.log);
  return {lastIndex: index, lastTerm: term};
}

function ask({node}: Turn, one: (to: string) => void): void {
  for (const to of node.members.voters) if (to !== node.id) one(to);
}

function campaign(turn: Turn, transfer: boolean): void {
  const {node} = turn;
  node.role = 'candidate';
  node.leader = undefined;
  node.votes = [];
  raiseTerm(turn, node.term + 1, node.id);
  ask(turn, to =>
    sendDurably(turn, {type: 'vote', to, ...end(turn), transfer}),
  );
  if (!node.rules.waitsForSync()) ownVoteDurable(turn);
}

/** A candidate counts its own vote only once it is durable. */
export function ownVoteDurable(turn: Turn): void {
  const {node} = turn;
  if (node.role !== 'candidate' || node.votes.includes(node.id)) return;
  node.votes = [...node.votes, node.id];
  countVotes(turn);
}

function isMajority({node}: Turn): boolean {
  const counted = node.votes.filter(id => node.members.voters.includes(id));
  return counted.length >= majority(node.members);
}

function countPreVotes(turn: Turn): void {
  if (isMajority(turn)) campaign(turn, false);
}

function countVotes(turn: Turn): void {
  if (isMajority(turn)) becomeLeader(turn);
}

type Request = MessageOf<'pre-vote'> | MessageOf<'vote'>;

/** Whether a vote is refused because a leader is there, or by membership. */
export function objects({node}: Turn, message: Request): boolean {
  if (node.members.retired.includes(message.from)) return true;
  if (message.type === 'vote' && message.transfer) return false;
  if (node.role === 'leader') return true;
  return node.rules.refusesVote(node.nowMs - node.heardLeaderMs);
}

function isUpToDate({node}: Turn, message: Request): boolean {
  const own = last(node.log);
  if (message.lastTerm !== own.term) return message.lastTerm > own.term;
  return message.lastIndex >= own.index;
}

export function onPreVote(turn: Turn, message: MessageOf<'pre-vote'>): void {
  const {node} = turn;
  const granted =
    message.term > node.term &&
    !objects(turn, message) &&
    isUpToDate(turn, message);
  const term = granted ? message.term : node.term;
  send(turn, {type: 'pre-voted', to: message.from, granted, term});
}

export function onPreVoted(turn: Turn, message: MessageOf<'pre-voted'>): void {
  const {node} = turn;
  if (node.role !== 'pre-candidate' || !message.granted) return;
  if (message.term !== node.term + 1) return;
  if (node.votes.includes(message.from)) return;
  node.votes = [...node.votes, message.from];
  countPreVotes(turn);
}

/** The request's term is this member's own by now. */
export function onVote(turn: Turn, message: MessageOf<'vote'>): void {
  const {node} = turn;
  const free = node.vote === null || node.vote === message.from;
  const granted =
    free &&
    node.role === 'follower' &&
    node.leader === undefined &&
    !node.members.retired.includes(message.from) &&
    isUpToDate(turn, message);
  if (granted) {
    if (node.vote === null) raiseTerm(turn, node.term, message.from);
    resetElection(turn);
  }
  sendDurably(turn, {type: 'voted', to: message.from, granted});
}

export function onVoted(turn: Turn, message: MessageOf<'voted'>): void {
  const {node} = turn;
  if (node.role !== 'candidate' || !message.granted) return;
  if (node.votes.includes(message.from)) return;
  node.votes = [...node.votes, message.from];
  countVotes(turn);
}

export function onHandOver(turn: Turn, message: MessageOf<'hand-over'>): void {
  const {node} = turn;
  if (node.leader !== message.from) return;
  if (!node.members.voters.includes(node.id)) return;
  becomeFollower(turn, undefined);
  campaign(turn, true);
}
