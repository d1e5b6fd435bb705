export * from './absorb.js';
export * from './baseline.js';
export * from './decide.js';
export {createEstimator, learn, type Estimator} from './estimate.js';
export {FAILURES_BEFORE_QUARANTINE} from './fault.js';
export * from './memory.js';
export * from './move.js';
export {
  PlacementPolicy,
  SpreadPlacement,
  STARTS_PER_ROUND,
  type Placement,
  type PlacementInput,
  type Worker,
} from './placement.js';
export {THROTTLED_PART, type TaskOrder} from './reclaim.js';
export {
  DominantShares,
  fairShares,
  SharePolicy,
  type ShareInput,
  type Shares,
} from './share.js';
export * from './situation.js';
export * from './wave.js';
export * from './weight.js';
