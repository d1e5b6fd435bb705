/**
 * The replicated log as a pure function: `step(node, input)` gives the next
 * node and the effects that the replica carries out in order.
 */
import type {Snapshot} from '@lentildrift/storage';
import {
  onElectionTimeout,
  isVoteRefused,
  onHandOver,
  onPreVote,
  onPreVoted,
  onVote,
  onVoted,
  countOwnVote,
} from './election.js';
import {onAppend, onSnapshot} from './follower.js';
import {
  advanceCommit,
  startTransfer,
  checkQuorumAndHeartbeat,
  onAppended,
  onSnapshotted,
  propose,
  proposeMembers,
} from './leader.js';
import {discardUpTo, lastPosition} from './log.js';
import type {PeerMessage} from './message.js';
import {
  bootstrapRecord,
  type Effect,
  type TimedEvent,
  type Node,
} from './node.js';
import {requestRead} from './read.js';
import {replicateToReadyPeers} from './replication.js';
import {
  becomeFollower,
  applyCommitted,
  onPersisted,
  updateBallot,
  send,
  appendRecords,
  type StepContext,
} from './context.js';

export function step(
  node: Node,
  input: TimedEvent,
): {node: Node; effects: readonly Effect[]} {
  const nowMs = Math.max(node.nowMs, input.nowMs);
  const context: StepContext = {node: {...node, nowMs}, effects: []};
  // Time comes first: a leader that was frozen must find out that no majority
  // answers before it acts on anything that arrived meanwhile.
  if (context.node.role === 'leader') checkQuorumAndHeartbeat(context);
  handle(context, input);
  replicateToReadyPeers(context);
  return context;
}

function handle(context: StepContext, input: TimedEvent): void {
  const {node} = context;
  switch (input.type) {
    case 'tick':
      if (node.role !== 'leader' && node.nowMs >= node.electionDeadlineMs) {
        onElectionTimeout(context);
      }
      return;
    case 'receive':
      receive(context, input.message);
      return;
    case 'propose':
      propose(context, input.changes);
      return;
    case 'read':
      requestRead(context, input.id, input.patient);
      return;
    case 'members':
      proposeMembers(context, input.id, input.change);
      return;
    case 'transfer':
      startTransfer(context, input.to);
      return;
    case 'bootstrap':
      bootstrap(context, input.voters);
      return;
    case 'persisted':
      onPersisted(context, input.seq);
      if (node.durableWriteSeq === node.lastWriteSeq) countOwnVote(context);
      applyCommitted(context);
      advanceCommit(context);
      return;
    case 'compacted':
      compacted(context, input.snapshot);
  }
}

function bootstrap(context: StepContext, voters: readonly string[]): void {
  const {node} = context;
  const empty =
    node.term === 0 && !node.snapshot && lastPosition(node.log).index === 0;
  if (!empty || !voters.includes(node.id)) return;
  appendRecords(context, [bootstrapRecord(voters)]);
  node.electionDeadlineMs = node.nowMs;
}

function compacted({node}: StepContext, snapshot: Snapshot): void {
  // A snapshot from the leader may have overtaken this one.
  if (snapshot.index <= (node.snapshot?.index ?? 0)) return;
  node.snapshot = snapshot;
  node.log = discardUpTo(node.log, snapshot.index - node.rules.retainedRecords);
}

function receive(context: StepContext, message: PeerMessage): void {
  const {node} = context;
  if (message.to !== node.id || message.group !== node.group) return;
  if (message.type === 'pre-vote') {
    onPreVote(context, message);
    return;
  }
  if (message.term > node.term && !acceptTerm(context, message)) return;
  if (message.term < node.term) {
    refuseOldTerm(context, message);
    return;
  }
  dispatch(context, message);
}

/** Takes the newer term of a message, unless it is only a pre-vote's. */
function acceptTerm(context: StepContext, message: PeerMessage): boolean {
  if (message.type === 'pre-voted' && message.granted) {
    onPreVoted(context, message);
    return false;
  }
  if (message.type === 'vote' && isVoteRefused(context, message)) return false;
  becomeFollower(context, undefined);
  updateBallot(context, message.term, null);
  return true;
}

/** Tells the sender of an old leader's or candidate's message the new term. */
function refuseOldTerm(context: StepContext, message: PeerMessage): void {
  const {from: to} = message;
  if (message.type === 'append' || message.type === 'snapshot') {
    send(context, {type: 'appended', to, ok: false, match: 0, round: 0});
  } else if (message.type === 'vote') {
    send(context, {type: 'voted', to, granted: false});
  }
}

function dispatch(context: StepContext, message: PeerMessage): void {
  switch (message.type) {
    case 'vote':
      onVote(context, message);
      return;
    case 'voted':
      onVoted(context, message);
      return;
    case 'append':
      onAppend(context, message);
      return;
    case 'appended':
      onAppended(context, message);
      return;
    case 'snapshot':
      onSnapshot(context, message);
      return;
    case 'snapshotted':
      onSnapshotted(context, message);
      return;
    case 'hand-over':
      onHandOver(context, message);
      return;
    case 'pre-vote':
    case 'pre-voted':
      return;
  }
}
