export * from './estimate.js';
export * from './health.js';
export {
  HoldReason,
  heldTaskName,
  type HeldBack,
  type HeldTask,
} from './held-back.js';
export * from './load.js';
export * from './backlog.js';
export * from './fleet.js';
export * from './state-index.js';
export * from './order.js';
export * from './cost.js';
export * from './cost-order.js';
export * from './shares.js';
export * from './returns.js';
export * from './offers.js';
export * from './cost-admission.js';
export * from './intake-ledger.js';
export * from './candidate.js';
export * from './cold.js';
export * from './evacuation.js';
export * from './placement.js';
export * from './plan.js';
export * from './copies.js';
export * from './displacement.js';
export * from './duration-ratio.js';
export * from './worker-speed.js';
export * from './suspicion.js';
export * from './budget.js';
export * from './demand.js';
export * from './admission.js';
export * from './pools.js';
export * from './forecast.js';
export * from './packing.js';
export * from './pace.js';
export * from './waves.js';
