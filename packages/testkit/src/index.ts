export * from './check/index.js';
export * from './history.js';
export * from './fleet.js';
export * from './policy.js';
export * from './process/index.js';
export * from './trial.js';
export * from './workload.js';
export * from './round.js';
