/** Reads that a heartbeat round to a majority confirms. */
import {positionAt} from './log.js';
import {majority} from './members.js';
import {broadcast} from './replicate.js';
import type {Turn} from './turn.js';

export function read(turn: Turn, id: number, patient: boolean): void {
  const {node} = turn;
  if (node.role !== 'leader') {
    turn.effects.push({type: 'refused', id, reason: ''});
    return;
  }
  // One round at a time: later reads share the next one.
  const underWay = node.reads.some(({round}) => round <= node.round);
  node.reads = [...node.reads, {id, round: node.round + 1, patient}];
  // A group of one has no heartbeats that a patient read could wait for.
  const due = !patient || majority(node.members) === 1;
  if (due && !underWay && node.rules.confirmsReads()) broadcast(turn);
  answerReads(turn);
}

/** Answers the reads whose round a majority has confirmed. */
export function answerReads(turn: Turn): void {
  const {node} = turn;
  if (node.reads.length === 0) return;
  const committed = positionAt(node.log, node.commit);
  if (committed?.term !== node.term) return;
  const rounds = node.members.voters
    .map(id => (id === node.id ? node.round : (node.peers[id]?.round ?? 0)))
    .sort((a, b) => b - a);
  const confirmed = node.rules.confirmsReads()
    ? (rounds[majority(node.members) - 1] ?? 0)
    : Infinity;
  const ready = node.reads.filter(({round}) => round <= confirmed);
  node.reads = node.reads.filter(({round}) => round > confirmed);
  const {revision} = committed;
  for (const {id} of ready) turn.effects.push({type: 'read', id, revision});
  if (ready.length === 0 || node.reads.length === 0) return;
  const underWay = node.reads.some(({round}) => round <= node.round);
  const due = node.reads.some(({patient}) => !patient);
  if (underWay || !due) return;
  broadcast(turn);
  answerReads(turn);
}
