export * from './check/index.js';
export * from './history.js';
export * from './fleet.js';
export * from './policy.js';
export * from './process/index.js';
export * from './trial.js';
export * from './workload.js';
export * from './round.js';
export {WEAKENED_MECHANISMS, type Mechanisms} from './cluster/weakened.js';
export * from './scenario/load.js';
export * from './scenario/invariants.js';
export * from './scenario/random.js';
export * from './scenario/run.js';
export * from './scenario/schema.js';
export {
  loadFleetProofs,
  MECHANISMS as FLEET_MECHANISMS,
  type Mechanism as FleetMechanism,
  type Proof,
  type ProofRun,
} from './proof/index.js';
