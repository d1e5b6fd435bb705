export {fleetProofs, type Proof, type ProofRun} from './run.js';
export {MECHANISMS, type Mechanism, type Scenario} from './scenario.js';
