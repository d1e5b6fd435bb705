/** Replication of the leader's log to the other members. */
import {lastEntry, positionAt, recordsFrom} from './log.js';
import {allMembers} from './members.js';
import type {PeerProgress} from './node.js';
import {send, type StepContext} from './context.js';

/** Tracks the progress of exactly the other members of the group. */
export function updatePeers({node}: StepContext): void {
  const initial: PeerProgress = {
    matchIndex: 0,
    nextIndex: lastEntry(node.log).index + 1,
    inFlight: false,
    sentCommitIndex: 0,
    lastResponseMs: node.nowMs,
    ackedRound: 0,
    snapshot: {index: 0, offset: 0, sentRound: undefined},
  };
  const others = allMembers(node.membership).filter(id => id !== node.id);
  node.peers = Object.fromEntries(
    others.map(id => [id, node.peers[id] ?? initial]),
  );
}

/** Starts a heartbeat round, which sends to every peer. */
export function startRound(ctx: StepContext): void {
  const {node} = ctx;
  node.round++;
  node.roundStartedMs = node.nowMs;
  node.nextHeartbeatMs = node.nowMs + node.rules.heartbeatIntervalMs;
  updateCatchUp(ctx);
  for (const id of Object.keys(node.peers)) replicate(ctx, id);
}

/** Reads start rounds as well, so the interval is measured by time. */
function updateCatchUp({node}: StepContext): void {
  const {nowMs, commitIndex, catchUp, rules} = node;
  if (nowMs - catchUp.atMs < rules.heartbeatIntervalMs) return;
  const index = catchUp.nextIndex;
  node.catchUp = {index, nextIndex: commitIndex, atMs: nowMs};
}

export function updatePeer(
  {node}: StepContext,
  id: string,
  change: Partial<PeerProgress>,
): void {
  const peer = node.peers[id];
  if (peer) node.peers = {...node.peers, [id]: {...peer, ...change}};
}

/**
 * Sends the entries that were not sent to the peer yet, a part of the snapshot
 * if the log no longer holds them, or an empty append message if there are
 * none. Entries count as sent until the peer answers that it lacks them, so
 * that the heartbeat rounds of frequent reads do not repeat them.
 */
export function replicate(ctx: StepContext, to: string): void {
  const {node} = ctx;
  const {rules, log, round, commitIndex} = node;
  const peer = node.peers[to];
  if (!peer) return;
  const previous = positionAt(log, peer.nextIndex - 1);
  if (!previous) {
    sendSnapshot(ctx, to, peer);
    return;
  }
  const {maxAppendBytes, maxAppendRecords} = rules;
  const records = recordsFrom(
    log,
    peer.nextIndex,
    maxAppendBytes,
    maxAppendRecords,
  );
  send(ctx, {
    type: 'append',
    to,
    prevIndex: previous.index,
    prevTerm: previous.term,
    records,
    commit: commitIndex,
    round,
  });
  updatePeer(ctx, to, {
    inFlight: true,
    nextIndex: peer.nextIndex + records.length,
    sentCommitIndex: commitIndex,
  });
}

/**
 * Sends the part of the snapshot that the peer needs next, or an empty part as a
 * heartbeat if that part was sent already. The heartbeat rounds of frequent
 * reads would otherwise send it faster than a link can carry it.
 */
function sendSnapshot(ctx: StepContext, to: string, peer: PeerProgress): void {
  const {node} = ctx;
  const {snapshot, round, rules} = node;
  if (!snapshot) throw new Error('the compacted log has no snapshot');
  const {index, term, revision, members, state} = snapshot;
  const isCurrent = peer.snapshot.index === index;
  const offset = isCurrent ? peer.snapshot.offset : 0;
  const sentRound = isCurrent ? peer.snapshot.sentRound : undefined;
  const part =
    sentRound === undefined
      ? partFrom(state, offset, rules.snapshotChunkBytes)
      : '';
  send(ctx, {
    type: 'snapshot',
    to,
    index,
    indexTerm: term,
    revision,
    members,
    offset,
    total: state.length,
    part,
    round,
  });
  updatePeer(ctx, to, {
    inFlight: true,
    snapshot: {index, offset, sentRound: sentRound ?? round},
  });
}

/**
 * The part of the text from `offset` on, of at most `limit` UTF-16 units. It does
 * not end within a character: half of one has no encoding in UTF-8, so the peer
 * would decode another character.
 */
function partFrom(text: string, offset: number, limit: number): string {
  const end = Math.min(offset + limit, text.length);
  const last = text.charCodeAt(end - 1);
  const isHalf = end < text.length && last >= 0xd800 && last <= 0xdbff;
  return text.slice(offset, isHalf ? end - 1 : end);
}

/**
 * Sends new entries, or a new commit index unless it may wait, to every peer that
 * has no message in flight.
 */
export function replicateToReadyPeers(ctx: StepContext): void {
  const {node} = ctx;
  if (node.role !== 'leader') return;
  const {index: lastIndex} = lastEntry(node.log);
  const {gapMs} = node.lastChange;
  const mayCommitIndexWait = gapMs < node.rules.changeStreamGapMs;
  for (const [id, peer] of Object.entries(node.peers)) {
    const lacksCommitIndex =
      !mayCommitIndexWait && peer.sentCommitIndex < node.commitIndex;
    const hasUnsent = peer.nextIndex <= lastIndex || lacksCommitIndex;
    if (!peer.inFlight && hasUnsent) replicate(ctx, id);
  }
}

/**
 * Records that `from` answered the heartbeat round. Returns the progress of
 * `from` before this answer, or `undefined` if it is not a peer.
 */
export function recordResponse(
  ctx: StepContext,
  from: string,
  round: number,
): PeerProgress | undefined {
  const {node} = ctx;
  const peer = node.peers[from];
  if (!peer) return undefined;
  updatePeer(ctx, from, {
    lastResponseMs: node.nowMs,
    ackedRound: Math.max(peer.ackedRound, round),
  });
  return peer;
}
