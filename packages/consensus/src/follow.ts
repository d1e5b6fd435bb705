/** What a member does with entries and snapshots of the leader. */
import {last, positionAt} from './log.js';
import type {MessageOf} from './message.js';
import {
  becomeFollower,
  deliver,
  install,
  resetElection,
  send,
  sendDurably,
  store,
  type Turn,
} from './turn.js';

function hearLeader(turn: Turn, from: string): void {
  const {node} = turn;
  if (node.role !== 'follower' || node.leader !== from) {
    becomeFollower(turn, from);
  }
  node.heardLeaderMs = node.nowMs;
  resetElection(turn);
}

export function onAppend(turn: Turn, message: MessageOf<'append'>): void {
  const {node} = turn;
  const {from: to, prevIndex, prevTerm, records, commit, round} = message;
  hearLeader(turn, to);
  const before = positionAt(node.log, prevIndex);
  if (prevIndex < node.log.base.index) {
    // Committed here already; the leader may go on from there.
    const match = node.log.base.index;
    sendDurably(turn, {type: 'appended', to, ok: true, match, round});
    return;
  }
  if (before?.term !== prevTerm) {
    const match = Math.min(prevIndex - 1, last(node.log).index);
    const hint = Math.max(0, match);
    sendDurably(turn, {type: 'appended', to, ok: false, match: hint, round});
    return;
  }
  const fresh = records.findIndex(
    ({index, term}) => positionAt(node.log, index)?.term !== term,
  );
  if (fresh >= 0) store(turn, records.slice(fresh));
  const match = prevIndex + records.length;
  node.commit = Math.max(node.commit, Math.min(commit, match));
  deliver(turn);
  sendDurably(turn, {type: 'appended', to, ok: true, match, round});
}

export function onSnapshot(turn: Turn, message: MessageOf<'snapshot'>): void {
  const {node} = turn;
  const {from: to, index, indexTerm, offset, part, total, round} = message;
  hearLeader(turn, to);
  // A log that holds the entry may hold acknowledged entries after it, which
  // must not be dropped.
  if (index <= node.commit || positionAt(node.log, index)?.term === indexTerm) {
    node.incoming = undefined;
    node.commit = Math.max(node.commit, index);
    deliver(turn);
    const match = index;
    sendDurably(turn, {type: 'appended', to, ok: true, match, round});
    return;
  }
  const known = node.incoming?.index === index ? node.incoming.text : '';
  const text = offset === known.length ? known + part : known;
  if (text.length < total) {
    node.incoming = {index, text};
    const next = text.length;
    send(turn, {type: 'snapshotted', to, index, offset: next, round});
    return;
  }
  node.incoming = undefined;
  const {revision, members} = message;
  install(turn, {index, term: indexTerm, revision, members, state: text});
  sendDurably(turn, {type: 'appended', to, ok: true, match: index, round});
}
