export * from './control.js';
export * from './membership.js';
export * from './policy.js';
export {
  CLOSED_SESSION_HOLD_MS,
  SILENT_SESSION_TIMEOUT_MS,
} from './allocator.js';
export * from './machine.js';
export {bootstrapOperator, type ReportProvider} from './operators.js';
export {type ConsensusMessageHandler} from './peer.js';
export * from './member.js';
export * from './process.js';
export type {Peers, Proposer} from './propose.js';
export * from './transport.js';
export * from './planner/index.js';
