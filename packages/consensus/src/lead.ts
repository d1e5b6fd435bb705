/** What a leader does: commitment, proposals, membership, hand-over. */
import type {LogRecord} from '@lentildrift/storage';
import {last, positionAt} from './log.js';
import {changeMembers, majority, type MemberChange} from './members.js';
import type {MessageOf} from './message.js';
import {answerReads} from './read.js';
import {broadcast, heard, replicate, setPeer, trackPeers} from './replicate.js';
import {becomeFollower, deliver, send, store, type Turn} from './turn.js';

export function becomeLeader(turn: Turn): void {
  const {node} = turn;
  node.role = 'leader';
  node.leader = node.id;
  node.votes = [];
  node.peers = {};
  trackPeers(turn);
  // Commits what older terms left behind and makes reads possible.
  append(turn, [{kind: 'noop', text: ''}]);
  broadcast(turn);
  advanceCommit(turn);
}

type Draft = Pick<LogRecord, 'kind' | 'text'>;

function append(turn: Turn, drafts: readonly Draft[]): void {
  const {node} = turn;
  let {index, revision} = last(node.log);
  const records = drafts.map(draft => {
    if (draft.kind === 'change') revision++;
    return {index: ++index, term: node.term, revision, ...draft};
  });
  store(turn, records);
}

export function onAppended(turn: Turn, message: MessageOf<'appended'>): void {
  const {from, ok, match, round} = message;
  if (turn.node.role !== 'leader') return;
  const peer = heard(turn, from, round);
  if (!peer) return;
  if (ok) {
    const known = Math.max(peer.match, match);
    setPeer(turn, from, {match: known, next: known + 1, busy: false});
    advanceCommit(turn);
    maybeHandOver(turn);
  } else {
    const next = Math.max(peer.match + 1, Math.min(match + 1, peer.next - 1));
    setPeer(turn, from, {next: Math.max(1, next), busy: false});
  }
  answerReads(turn);
}

export function onSnapshotted(
  turn: Turn,
  message: MessageOf<'snapshotted'>,
): void {
  if (turn.node.role !== 'leader') return;
  const {from, index, offset, round} = message;
  if (!heard(turn, from, round)) return;
  setPeer(turn, from, {snapshot: {index, offset}, busy: false});
  if (positionAt(turn.node.log, turn.node.peers[from]!.next - 1)) return;
  replicate(turn, from);
}

/** Commits what a majority of the voters holds durably. */
export function advanceCommit(turn: Turn): void {
  const {node} = turn;
  if (node.role !== 'leader') return;
  const held = node.members.voters
    .map(id => (id === node.id ? node.durable : (node.peers[id]?.match ?? 0)))
    .sort((a, b) => b - a);
  const index = held[majority(node.members) - 1] ?? 0;
  const entry = positionAt(node.log, index);
  if (index <= node.commit || !entry) return;
  if (!node.rules.commitsByCount(entry.term, node.term)) return;
  node.commit = index;
  deliver(turn);
  answerReads(turn);
}

/** Steps down without a majority; else keeps up the heartbeats. */
export function leaderTick(turn: Turn): void {
  const {node} = turn;
  const {rules, members, nowMs} = node;
  const heardVoters = members.voters.filter(id => {
    const silentMs = nowMs - (node.peers[id]?.heardMs ?? -Infinity);
    return id === node.id || silentMs < rules.minElectionMs;
  });
  if (rules.stepsDown(heardVoters.length, majority(members))) {
    becomeFollower(turn, undefined);
    return;
  }
  if (node.transfer && nowMs >= node.transfer.untilMs) {
    node.transfer = undefined;
  }
  if (nowMs >= node.heartbeatAtMs) broadcast(turn);
}

export function propose(
  turn: Turn,
  changes: readonly {id: number; text: string}[],
): void {
  const {node, effects} = turn;
  const drafts: Draft[] = [];
  let {index} = last(node.log);
  for (const {id, text} of changes) {
    const reason = refusal(turn, text);
    if (reason !== undefined) {
      effects.push({type: 'refused', id, reason});
      continue;
    }
    drafts.push({kind: 'change', text});
    effects.push({type: 'accepted', id, index: ++index, term: node.term});
  }
  append(turn, drafts);
  advanceCommit(turn);
}

function refusal({node}: Turn, text: string): string | undefined {
  if (node.role !== 'leader' || node.transfer) return '';
  const {maxChangeBytes} = node.rules;
  if (text.length <= maxChangeBytes) return undefined;
  return `the change is larger than ${maxChangeBytes} bytes`;
}

export function proposeMembers(
  turn: Turn,
  id: number,
  change: MemberChange,
): void {
  const {node, effects} = turn;
  const next = memberRefusal(turn, change);
  if (typeof next === 'string') {
    effects.push({type: 'refused', id, reason: next});
    return;
  }
  const {index} = last(node.log);
  effects.push({type: 'accepted', id, index: index + 1, term: node.term});
  append(turn, [{kind: 'members', text: JSON.stringify(next)}]);
  trackPeers(turn);
  advanceCommit(turn);
}

function memberRefusal({node}: Turn, change: MemberChange) {
  if (node.role !== 'leader' || node.transfer) return '';
  // Two changes under way, or one before this term has committed anything,
  // could lead to two majorities without a common member.
  const settled = positionAt(node.log, node.commit)?.term === node.term;
  if (!settled || node.membersIndex > node.commit) {
    return 'another membership change is under way';
  }
  if (change.type === 'remove' && change.member === node.id) {
    return 'the leader cannot be removed: hand leadership over first';
  }
  if (change.type === 'promote') {
    const match = node.peers[change.member]?.match ?? 0;
    if (!node.rules.mayPromote(match, node.commit)) {
      return `member ${change.member} has not caught up`;
    }
  }
  return changeMembers(node.members, change);
}

/** Hands leadership to `to`, or to the voter that is furthest ahead. */
export function beginTransfer(turn: Turn, to: string | undefined): void {
  const {node} = turn;
  if (node.role !== 'leader') return;
  const best = node.members.voters
    .filter(id => id !== node.id && (to === undefined || id === to))
    .sort((a, b) => node.peers[b]!.match - node.peers[a]!.match)[0];
  if (best === undefined) return;
  const untilMs = node.nowMs + node.rules.minElectionMs;
  node.transfer = {to: best, untilMs, sent: false};
  maybeHandOver(turn);
}

function maybeHandOver(turn: Turn): void {
  const {node} = turn;
  const {transfer} = node;
  if (!transfer || transfer.sent) return;
  if (node.peers[transfer.to]?.match !== last(node.log).index) return;
  node.transfer = {...transfer, sent: true};
  send(turn, {type: 'hand-over', to: transfer.to});
}
