/** What a leader sends to the other members. */
import {lastPosition, positionAt, recordsFrom} from './log.js';
import {allMembers} from './members.js';
import type {PeerProgress} from './node.js';
import {send, type StepContext} from './context.js';

/** Brings the peers in line with the membership. */
export function updatePeers({node}: StepContext): void {
  const fresh: PeerProgress = {
    matchIndex: 0,
    nextIndex: lastPosition(node.log).index + 1,
    inFlight: false,
    sentCommitIndex: 0,
    lastResponseMs: node.nowMs,
    ackedRound: 0,
    snapshot: {index: 0, offset: 0},
  };
  const others = allMembers(node.membership).filter(id => id !== node.id);
  node.peers = Object.fromEntries(
    others.map(id => [id, node.peers[id] ?? fresh]),
  );
}

/** Begins a heartbeat round. */
export function startHeartbeatRound(context: StepContext): void {
  const {node} = context;
  node.heartbeatRound++;
  node.nextHeartbeatMs = node.nowMs + node.rules.heartbeatIntervalMs;
  for (const id of Object.keys(node.peers)) replicate(context, id);
}

export function updatePeer(
  {node}: StepContext,
  id: string,
  change: Partial<PeerProgress>,
): void {
  const peer = node.peers[id];
  if (peer) node.peers = {...node.peers, [id]: {...peer, ...change}};
}

/** Sends what the peer lacks, or an empty message if it lacks nothing. */
export function replicate(context: StepContext, to: string): void {
  const {node} = context;
  const {rules, log, heartbeatRound, commitIndex} = node;
  const peer = node.peers[to];
  if (!peer) return;
  const before = positionAt(log, peer.nextIndex - 1);
  if (!before) {
    sendSnapshot(context, to, peer);
    return;
  }
  const {maxAppendBytes, maxAppendRecords} = rules;
  const records = recordsFrom(
    log,
    peer.nextIndex,
    maxAppendBytes,
    maxAppendRecords,
  );
  send(context, {
    type: 'append',
    to,
    prevIndex: before.index,
    prevTerm: before.term,
    records,
    commit: commitIndex,
    round: heartbeatRound,
  });
  updatePeer(context, to, {inFlight: true, sentCommitIndex: commitIndex});
}

function sendSnapshot(
  context: StepContext,
  to: string,
  peer: PeerProgress,
): void {
  const {node} = context;
  const {snapshot} = node;
  if (!snapshot) throw new Error('the log was cut without a snapshot');
  const {index, term, revision, members, state} = snapshot;
  const offset = peer.snapshot.index === index ? peer.snapshot.offset : 0;
  send(context, {
    type: 'snapshot',
    to,
    index,
    indexTerm: term,
    revision,
    members,
    offset,
    total: state.length,
    part: state.slice(offset, offset + node.rules.snapshotChunkBytes),
    round: node.heartbeatRound,
  });
  updatePeer(context, to, {inFlight: true, snapshot: {index, offset}});
}

/** Sends new entries and a new commit index to every peer that is ready. */
export function replicateToReadyPeers(context: StepContext): void {
  const {node} = context;
  if (node.role !== 'leader') return;
  for (const [id, peer] of Object.entries(node.peers)) {
    const news =
      peer.nextIndex <= lastPosition(node.log).index ||
      peer.sentCommitIndex < node.commitIndex;
    if (!peer.inFlight && news) replicate(context, id);
  }
}

/** Takes note of an answer; gives the peer as it was before, if any. */
export function recordResponse(
  context: StepContext,
  from: string,
  round: number,
): PeerProgress | undefined {
  const {node} = context;
  const peer = node.peers[from];
  if (!peer) return undefined;
  updatePeer(context, from, {
    lastResponseMs: node.nowMs,
    ackedRound: Math.max(peer.ackedRound, round),
  });
  return peer;
}
