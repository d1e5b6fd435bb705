export * from './control.js';
export * from './limit.js';
export {CLOSED_HOLD_MS, SILENT_CLOSE_MS} from './limits.js';
export * from './machine.js';
export {bootstrapOperator, type ReportProvider} from './operators.js';
export {type Deliver} from './peer.js';
export * from './process.js';
export type {Peers, Proposals} from './propose.js';
export * from './transport.js';
