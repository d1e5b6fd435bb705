export * from './reconcile.js';
export * from './baseline.js';
export * from './decide.js';
export {
  createEstimator,
  learnFromObservation,
  type Estimator,
} from './estimate.js';
export {FAILURES_BEFORE_QUARANTINE} from './fault.js';
export * from './soft-state.js';
export * from './move.js';
export {
  PlacementPolicy,
  SpreadPlacement,
  STARTS_PER_ROUND,
  type PlacementResult,
  type PlacementInput,
  type Worker,
} from './placement.js';
export {THROTTLED_CORES_FRACTION, type TaskCommand} from './reclaim.js';
export {
  DominantShares,
  computeFairShares,
  SharePolicy,
  type ShareInput,
  type ShareResult,
} from './share.js';
export * from './decision-input.js';
export * from './wave.js';
export * from './weight.js';
