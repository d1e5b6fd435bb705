/** What a leader sends to the other members. */
import {last, positionAt, take} from './log.js';
import {everyone} from './members.js';
import type {Peer} from './node.js';
import {send, type Turn} from './turn.js';

/** Brings the peers in line with the membership. */
export function trackPeers({node}: Turn): void {
  const fresh: Peer = {
    match: 0,
    next: last(node.log).index + 1,
    busy: false,
    commitSent: 0,
    heardMs: node.nowMs,
    round: 0,
    snapshot: {index: 0, offset: 0},
  };
  const others = everyone(node.members).filter(id => id !== node.id);
  node.peers = Object.fromEntries(
    others.map(id => [id, node.peers[id] ?? fresh]),
  );
}

/** Begins a heartbeat round. */
export function broadcast(turn: Turn): void {
  const {node} = turn;
  node.round++;
  node.heartbeatAtMs = node.nowMs + node.rules.heartbeatMs;
  for (const id of Object.keys(node.peers)) replicate(turn, id);
}

export function setPeer({node}: Turn, id: string, change: Partial<Peer>): void {
  const peer = node.peers[id];
  if (peer) node.peers = {...node.peers, [id]: {...peer, ...change}};
}

/** Sends what the peer lacks, or an empty message if it lacks nothing. */
export function replicate(turn: Turn, to: string): void {
  const {node} = turn;
  const {rules, log, round, commit} = node;
  const peer = node.peers[to];
  if (!peer) return;
  const before = positionAt(log, peer.next - 1);
  if (!before) {
    sendSnapshot(turn, to, peer);
    return;
  }
  const {maxAppendBytes, maxAppendRecords} = rules;
  const records = take(log, peer.next, maxAppendBytes, maxAppendRecords);
  send(turn, {
    type: 'append',
    to,
    prevIndex: before.index,
    prevTerm: before.term,
    records,
    commit,
    round,
  });
  setPeer(turn, to, {busy: true, commitSent: commit});
}

function sendSnapshot(turn: Turn, to: string, peer: Peer): void {
  const {node} = turn;
  const {snapshot} = node;
  if (!snapshot) throw new Error('the log was cut without a snapshot');
  const {index, term, revision, members, state} = snapshot;
  const offset = peer.snapshot.index === index ? peer.snapshot.offset : 0;
  send(turn, {
    type: 'snapshot',
    to,
    index,
    indexTerm: term,
    revision,
    members,
    offset,
    total: state.length,
    part: state.slice(offset, offset + node.rules.snapshotPartBytes),
    round: node.round,
  });
  setPeer(turn, to, {busy: true, snapshot: {index, offset}});
}

/** Sends new entries and a new commit index to every peer that is ready. */
export function replicateNews(turn: Turn): void {
  const {node} = turn;
  if (node.role !== 'leader') return;
  for (const [id, peer] of Object.entries(node.peers)) {
    const news =
      peer.next <= last(node.log).index || peer.commitSent < node.commit;
    if (!peer.busy && news) replicate(turn, id);
  }
}

/** Takes note of an answer; gives the peer as it was before, if any. */
export function heard(
  turn: Turn,
  from: string,
  round: number,
): Peer | undefined {
  const {node} = turn;
  const peer = node.peers[from];
  if (!peer) return undefined;
  setPeer(turn, from, {
    heardMs: node.nowMs,
    round: Math.max(peer.round, round),
  });
  return peer;
}
