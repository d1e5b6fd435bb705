/** Follower: takes over entries and snapshots from the leader. */
import {lastEntry, positionAt} from './log.js';
import type {MessageOf} from './message.js';
import {
  becomeFollower,
  installSnapshot,
  resetElectionTimer,
  send,
  sendAfterSync,
  appendRecords,
  type StepContext,
} from './context.js';

function recordLeaderContact(ctx: StepContext, from: string): void {
  const {node} = ctx;
  if (node.role !== 'follower' || node.leader !== from) {
    becomeFollower(ctx, from);
  }
  node.lastLeaderContactMs = node.nowMs;
  resetElectionTimer(ctx);
}

export function onAppend(ctx: StepContext, message: MessageOf<'append'>): void {
  const {node} = ctx;
  const {from: to, prevIndex, prevTerm, records, commit, round} = message;
  recordLeaderContact(ctx, to);
  const previous = positionAt(node.log, prevIndex);
  if (prevIndex < node.log.base.index) {
    // The entries up to the base are committed here, so the leader can continue
    // after the base.
    const match = node.log.base.index;
    sendAfterSync(ctx, {type: 'appended', to, ok: true, match, round});
    return;
  }
  if (previous?.term !== prevTerm) {
    const match = Math.min(prevIndex - 1, lastEntry(node.log).index);
    const retryAfter = Math.max(0, match);
    sendAfterSync(ctx, {
      type: 'appended',
      to,
      ok: false,
      match: retryAfter,
      round,
    });
    return;
  }
  const firstNew = records.findIndex(
    ({index, term}) => positionAt(node.log, index)?.term !== term,
  );
  if (firstNew >= 0) appendRecords(ctx, records.slice(firstNew));
  const match = prevIndex + records.length;
  node.commitIndex = Math.max(node.commitIndex, Math.min(commit, match));
  sendAfterSync(ctx, {type: 'appended', to, ok: true, match, round});
}

export function onSnapshot(
  ctx: StepContext,
  message: MessageOf<'snapshot'>,
): void {
  const {node} = ctx;
  const {from: to, index, indexTerm, offset, part, total, round} = message;
  recordLeaderContact(ctx, to);
  // A log that holds the snapshot's last entry may also hold acknowledged
  // entries after it. Installing the snapshot would drop them.
  if (
    index <= node.commitIndex ||
    positionAt(node.log, index)?.term === indexTerm
  ) {
    node.incomingSnapshot = undefined;
    node.commitIndex = Math.max(node.commitIndex, index);
    const match = index;
    sendAfterSync(ctx, {type: 'appended', to, ok: true, match, round});
    return;
  }
  const received =
    node.incomingSnapshot?.index === index ? node.incomingSnapshot.text : '';
  const text = offset === received.length ? received + part : received;
  if (text.length < total) {
    node.incomingSnapshot = {index, text};
    const next = text.length;
    send(ctx, {type: 'snapshotted', to, index, offset: next, round});
    return;
  }
  node.incomingSnapshot = undefined;
  const {revision, members} = message;
  installSnapshot(ctx, {
    index,
    term: indexTerm,
    revision,
    members,
    state: text,
  });
  sendAfterSync(ctx, {type: 'appended', to, ok: true, match: index, round});
}
