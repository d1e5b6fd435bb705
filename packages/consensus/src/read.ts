/** Linearizable reads: a majority must answer a heartbeat round (ReadIndex). */
import {positionAt} from './log.js';
import {readRoundDueMs} from './node.js';
import {quorumSize} from './members.js';
import {startRound} from './replication.js';
import type {StepContext} from './context.js';

export function requestRead(
  ctx: StepContext,
  id: number,
  patient: boolean,
): void {
  const {node} = ctx;
  if (node.role !== 'leader') {
    ctx.effects.push({type: 'refused', id, reason: ''});
    return;
  }
  // Only one round for reads runs at a time; reads that arrive meanwhile share
  // the next one.
  node.pendingReads = [
    ...node.pendingReads,
    {id, round: node.round + 1, patient},
  ];
  startReadRoundIfDue(ctx);
  answerReads(ctx);
}

export function startReadRoundIfDue(ctx: StepContext): void {
  if (readRoundDueMs(ctx.node) <= ctx.node.nowMs) startRound(ctx);
}

/** Answers the reads whose heartbeat round a majority has answered. */
export function answerReads(ctx: StepContext): void {
  const {node} = ctx;
  if (node.pendingReads.length === 0) return;
  const committed = positionAt(node.log, node.commitIndex);
  if (committed?.term !== node.term) return;
  const rounds = node.membership.voters
    .map(id =>
      id === node.id ? node.round : (node.peers[id]?.ackedRound ?? 0),
    )
    .sort((a, b) => b - a);
  const confirmed = node.rules.isReadRoundRequired()
    ? (rounds[quorumSize(node.membership) - 1] ?? 0)
    : Infinity;
  const ready = node.pendingReads.filter(({round}) => round <= confirmed);
  node.pendingReads = node.pendingReads.filter(({round}) => round > confirmed);
  const {revision} = committed;
  for (const {id} of ready) ctx.effects.push({type: 'read', id, revision});
  if (ready.length === 0 || readRoundDueMs(node) > node.nowMs) return;
  startRound(ctx);
  answerReads(ctx);
}
