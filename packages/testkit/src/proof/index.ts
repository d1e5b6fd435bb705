export {loadFleetProofs, type Proof, type ProofRun} from './run.js';
export {MECHANISMS, type Mechanism, type FleetScenario} from './scenario.js';
