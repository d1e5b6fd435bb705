export * from './check/index.js';
export * from './history.js';
export * from './fleet.js';
export * from './policy.js';
export * from './trial.js';
export * from './workload.js';
export * from './round.js';
export {
  fleetProofs,
  MECHANISMS as FLEET_MECHANISMS,
  type Mechanism as FleetMechanism,
  type Proof,
  type ProofRun,
} from './proof/index.js';
