/**
 * The replicated log as a pure function: `step(node, input)` gives the next
 * node and the effects that the replica carries out in order.
 */
import type {Snapshot} from '@lentildrift/storage';
import {
  electionDue,
  objects,
  onHandOver,
  onPreVote,
  onPreVoted,
  onVote,
  onVoted,
  ownVoteDurable,
} from './election.js';
import {onAppend, onSnapshot} from './follow.js';
import {
  advanceCommit,
  beginTransfer,
  leaderTick,
  onAppended,
  onSnapshotted,
  propose,
  proposeMembers,
} from './lead.js';
import {forget, last} from './log.js';
import type {PeerMessage} from './message.js';
import {foundingRecord, type Effect, type Input, type Node} from './node.js';
import {read} from './read.js';
import {replicateNews} from './replicate.js';
import {
  becomeFollower,
  deliver,
  persisted,
  raiseTerm,
  send,
  store,
  type Turn,
} from './turn.js';

export function step(
  node: Node,
  input: Input,
): {node: Node; effects: readonly Effect[]} {
  const nowMs = Math.max(node.nowMs, input.nowMs);
  const turn: Turn = {node: {...node, nowMs}, effects: []};
  // Time comes first: a leader that was frozen must find out that no majority
  // answers before it acts on anything that arrived meanwhile.
  if (turn.node.role === 'leader') leaderTick(turn);
  handle(turn, input);
  replicateNews(turn);
  return turn;
}

function handle(turn: Turn, input: Input): void {
  const {node} = turn;
  switch (input.type) {
    case 'tick':
      if (node.role !== 'leader' && node.nowMs >= node.electionAtMs) {
        electionDue(turn);
      }
      return;
    case 'receive':
      receive(turn, input.message);
      return;
    case 'propose':
      propose(turn, input.changes);
      return;
    case 'read':
      read(turn, input.id, input.patient);
      return;
    case 'members':
      proposeMembers(turn, input.id, input.change);
      return;
    case 'transfer':
      beginTransfer(turn, input.to);
      return;
    case 'found':
      found(turn, input.voters);
      return;
    case 'persisted':
      persisted(turn, input.seq);
      if (node.savedSeq === node.seq) ownVoteDurable(turn);
      deliver(turn);
      advanceCommit(turn);
      return;
    case 'compacted':
      compacted(turn, input.snapshot);
  }
}

function found(turn: Turn, voters: readonly string[]): void {
  const {node} = turn;
  const empty = node.term === 0 && !node.snapshot && last(node.log).index === 0;
  if (!empty || !voters.includes(node.id)) return;
  store(turn, [foundingRecord(voters)]);
  node.electionAtMs = node.nowMs;
}

function compacted({node}: Turn, snapshot: Snapshot): void {
  // A snapshot from the leader may have overtaken this one.
  if (snapshot.index <= (node.snapshot?.index ?? 0)) return;
  node.snapshot = snapshot;
  node.log = forget(node.log, snapshot.index - node.rules.keptRecords);
}

function receive(turn: Turn, message: PeerMessage): void {
  const {node} = turn;
  if (message.to !== node.id || message.group !== node.group) return;
  if (message.type === 'pre-vote') {
    onPreVote(turn, message);
    return;
  }
  if (message.term > node.term && !acceptTerm(turn, message)) return;
  if (message.term < node.term) {
    refuseOldTerm(turn, message);
    return;
  }
  dispatch(turn, message);
}

/** Takes the newer term of a message, unless it is only a pre-vote's. */
function acceptTerm(turn: Turn, message: PeerMessage): boolean {
  if (message.type === 'pre-voted' && message.granted) {
    onPreVoted(turn, message);
    return false;
  }
  if (message.type === 'vote' && objects(turn, message)) return false;
  becomeFollower(turn, undefined);
  raiseTerm(turn, message.term, null);
  return true;
}

/** Tells the sender of an old leader's or candidate's message the new term. */
function refuseOldTerm(turn: Turn, message: PeerMessage): void {
  const {from: to} = message;
  if (message.type === 'append' || message.type === 'snapshot') {
    send(turn, {type: 'appended', to, ok: false, match: 0, round: 0});
  } else if (message.type === 'vote') {
    send(turn, {type: 'voted', to, granted: false});
  }
}

function dispatch(turn: Turn, message: PeerMessage): void {
  switch (message.type) {
    case 'vote':
      onVote(turn, message);
      return;
    case 'voted':
      onVoted(turn, message);
      return;
    case 'append':
      onAppend(turn, message);
      return;
    case 'appended':
      onAppended(turn, message);
      return;
    case 'snapshot':
      onSnapshot(turn, message);
      return;
    case 'snapshotted':
      onSnapshotted(turn, message);
      return;
    case 'hand-over':
      onHandOver(turn, message);
      return;
    case 'pre-vote':
    case 'pre-voted':
      return;
  }
}
