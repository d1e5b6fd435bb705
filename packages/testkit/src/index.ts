export * from './check/index.js';
export * from './history.js';
export {WITHOUT, type Mechanisms} from './cluster/weak.js';
export * from './scenario/load.js';
export * from './scenario/proven.js';
export * from './scenario/random.js';
export * from './scenario/run.js';
export * from './scenario/schema.js';
