/** What a member does with entries and snapshots of the leader. */
import {lastPosition, positionAt} from './log.js';
import type {MessageOf} from './message.js';
import {
  becomeFollower,
  applyCommitted,
  installSnapshot,
  resetElectionTimer,
  send,
  sendAfterSync,
  appendRecords,
  type StepContext,
} from './context.js';

function recordLeaderContact(context: StepContext, from: string): void {
  const {node} = context;
  if (node.role !== 'follower' || node.leader !== from) {
    becomeFollower(context, from);
  }
  node.lastLeaderContactMs = node.nowMs;
  resetElectionTimer(context);
}

export function onAppend(
  context: StepContext,
  message: MessageOf<'append'>,
): void {
  const {node} = context;
  const {from: to, prevIndex, prevTerm, records, commit, round} = message;
  recordLeaderContact(context, to);
  const before = positionAt(node.log, prevIndex);
  if (prevIndex < node.log.base.index) {
    // Committed here already; the leader may go on from there.
    const match = node.log.base.index;
    sendAfterSync(context, {type: 'appended', to, ok: true, match, round});
    return;
  }
  if (before?.term !== prevTerm) {
    const match = Math.min(prevIndex - 1, lastPosition(node.log).index);
    const hint = Math.max(0, match);
    sendAfterSync(context, {
      type: 'appended',
      to,
      ok: false,
      match: hint,
      round,
    });
    return;
  }
  const fresh = records.findIndex(
    ({index, term}) => positionAt(node.log, index)?.term !== term,
  );
  if (fresh >= 0) appendRecords(context, records.slice(fresh));
  const match = prevIndex + records.length;
  node.commitIndex = Math.max(node.commitIndex, Math.min(commit, match));
  applyCommitted(context);
  sendAfterSync(context, {type: 'appended', to, ok: true, match, round});
}

export function onSnapshot(
  context: StepContext,
  message: MessageOf<'snapshot'>,
): void {
  const {node} = context;
  const {from: to, index, indexTerm, offset, part, total, round} = message;
  recordLeaderContact(context, to);
  // A log that holds the entry may hold acknowledged entries after it, which
  // must not be dropped.
  if (
    index <= node.commitIndex ||
    positionAt(node.log, index)?.term === indexTerm
  ) {
    node.incomingSnapshot = undefined;
    node.commitIndex = Math.max(node.commitIndex, index);
    applyCommitted(context);
    const match = index;
    sendAfterSync(context, {type: 'appended', to, ok: true, match, round});
    return;
  }
  const known =
    node.incomingSnapshot?.index === index ? node.incomingSnapshot.text : '';
  const text = offset === known.length ? known + part : known;
  if (text.length < total) {
    node.incomingSnapshot = {index, text};
    const next = text.length;
    send(context, {type: 'snapshotted', to, index, offset: next, round});
    return;
  }
  node.incomingSnapshot = undefined;
  const {revision, members} = message;
  installSnapshot(context, {
    index,
    term: indexTerm,
    revision,
    members,
    state: text,
  });
  sendAfterSync(context, {type: 'appended', to, ok: true, match: index, round});
}
