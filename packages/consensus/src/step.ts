/**
 * The Raft state machine as a pure function: `step(node, event)` returns the
 * next state of the node and the effects for the replica to carry out in order.
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
import {discardUpTo, lastEntry} from './log.js';
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
  onPersisted,
  updateBallot,
  send,
  appendRecords,
  type StepContext,
} from './context.js';

export function step(
  node: Node,
  event: TimedEvent,
): {node: Node; effects: readonly Effect[]} {
  const nowMs = Math.max(node.nowMs, event.nowMs);
  const ctx: StepContext = {node: {...node, nowMs}, effects: []};
  // Check-quorum runs before the event: a leader whose process was frozen must
  // find out that no majority answers before it acts on what arrived meanwhile.
  if (ctx.node.role === 'leader') checkQuorumAndHeartbeat(ctx);
  handle(ctx, event);
  replicateToReadyPeers(ctx);
  return ctx;
}

function handle(ctx: StepContext, event: TimedEvent): void {
  const {node} = ctx;
  switch (event.type) {
    case 'tick':
      if (node.role !== 'leader' && node.nowMs >= node.electionDeadlineMs) {
        onElectionTimeout(ctx);
      }
      return;
    case 'receive':
      receive(ctx, event.message);
      return;
    case 'propose':
      propose(ctx, event.changes);
      return;
    case 'read':
      requestRead(ctx, event.id, event.patient);
      return;
    case 'members':
      proposeMembers(ctx, event.id, event.change);
      return;
    case 'transfer':
      startTransfer(ctx, event.to);
      return;
    case 'bootstrap':
      bootstrap(ctx, event.voters);
      return;
    case 'persisted':
      onPersisted(ctx, event.seq);
      if (node.durableWriteSeq === node.lastWriteSeq) countOwnVote(ctx);
      advanceCommit(ctx);
      return;
    case 'compacted':
      compacted(ctx, event.snapshot);
  }
}

function bootstrap(ctx: StepContext, voters: readonly string[]): void {
  const {node} = ctx;
  const isEmpty =
    node.term === 0 && !node.snapshot && lastEntry(node.log).index === 0;
  if (!isEmpty || !voters.includes(node.id)) return;
  appendRecords(ctx, [bootstrapRecord(voters)]);
  node.electionDeadlineMs = node.nowMs;
}

function compacted({node}: StepContext, snapshot: Snapshot): void {
  // A newer snapshot from the leader may have been installed meanwhile.
  if (snapshot.index <= (node.snapshot?.index ?? 0)) return;
  node.snapshot = snapshot;
  node.log = discardUpTo(node.log, snapshot.index - node.rules.retainedRecords);
}

function receive(ctx: StepContext, message: PeerMessage): void {
  const {node} = ctx;
  if (message.to !== node.id || message.group !== node.group) return;
  if (message.type === 'pre-vote') {
    onPreVote(ctx, message);
    return;
  }
  if (message.term > node.term && !adoptTerm(ctx, message)) return;
  if (message.term < node.term) {
    rejectOldTerm(ctx, message);
    return;
  }
  dispatch(ctx, message);
}

/**
 * Adopts the newer term of a message as a follower. Returns false if the
 * message needs no further handling: the term of a granted pre-vote is only
 * proposed, and the term of a refused vote request is ignored.
 */
function adoptTerm(ctx: StepContext, message: PeerMessage): boolean {
  if (message.type === 'pre-voted' && message.granted) {
    onPreVoted(ctx, message);
    return false;
  }
  if (message.type === 'vote' && isVoteRefused(ctx, message)) return false;
  becomeFollower(ctx, undefined);
  updateBallot(ctx, message.term, null);
  return true;
}

/**
 * Answers a message of an older term, so that its sender, a former leader or a
 * candidate, learns the newer term.
 */
function rejectOldTerm(ctx: StepContext, message: PeerMessage): void {
  const {from: to} = message;
  if (message.type === 'append' || message.type === 'snapshot') {
    send(ctx, {type: 'appended', to, ok: false, match: 0, round: 0});
  } else if (message.type === 'vote') {
    send(ctx, {type: 'voted', to, granted: false});
  }
}

function dispatch(ctx: StepContext, message: PeerMessage): void {
  switch (message.type) {
    case 'vote':
      onVote(ctx, message);
      return;
    case 'voted':
      onVoted(ctx, message);
      return;
    case 'append':
      onAppend(ctx, message);
      return;
    case 'appended':
      onAppended(ctx, message);
      return;
    case 'snapshot':
      onSnapshot(ctx, message);
      return;
    case 'snapshotted':
      onSnapshotted(ctx, message);
      return;
    case 'hand-over':
      onHandOver(ctx, message);
      return;
    case 'pre-vote':
    case 'pre-voted':
      return;
  }
}
