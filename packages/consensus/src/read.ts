/** Reads that a heartbeat round to a majority confirms. */
import {positionAt} from './log.js';
import {quorumSize} from './members.js';
import {startHeartbeatRound} from './replication.js';
import type {StepContext} from './context.js';

export function requestRead(
  context: StepContext,
  id: number,
  patient: boolean,
): void {
  const {node} = context;
  if (node.role !== 'leader') {
    context.effects.push({type: 'refused', id, reason: ''});
    return;
  }
  // One round at a time: later reads share the next one.
  const underWay = node.pendingReads.some(
    ({round}) => round <= node.heartbeatRound,
  );
  node.pendingReads = [
    ...node.pendingReads,
    {id, round: node.heartbeatRound + 1, patient},
  ];
  // A group of one has no heartbeats that a patient read could wait for.
  const due = !patient || quorumSize(node.membership) === 1;
  if (due && !underWay && node.rules.isReadRoundRequired())
    startHeartbeatRound(context);
  answerReads(context);
}

/** Answers the reads whose round a majority has confirmed. */
export function answerReads(context: StepContext): void {
  const {node} = context;
  if (node.pendingReads.length === 0) return;
  const committed = positionAt(node.log, node.commitIndex);
  if (committed?.term !== node.term) return;
  const rounds = node.membership.voters
    .map(id =>
      id === node.id ? node.heartbeatRound : (node.peers[id]?.ackedRound ?? 0),
    )
    .sort((a, b) => b - a);
  const confirmed = node.rules.isReadRoundRequired()
    ? (rounds[quorumSize(node.membership) - 1] ?? 0)
    : Infinity;
  const ready = node.pendingReads.filter(({round}) => round <= confirmed);
  node.pendingReads = node.pendingReads.filter(({round}) => round > confirmed);
  const {revision} = committed;
  for (const {id} of ready) context.effects.push({type: 'read', id, revision});
  if (ready.length === 0 || node.pendingReads.length === 0) return;
  const underWay = node.pendingReads.some(
    ({round}) => round <= node.heartbeatRound,
  );
  const due = node.pendingReads.some(({patient}) => !patient);
  if (underWay || !due) return;
  startHeartbeatRound(context);
  answerReads(context);
}
