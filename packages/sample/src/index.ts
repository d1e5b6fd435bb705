export * from './platform.js';
export * from './server.js';
export * from './tables.js';
export * from './upstream.js';
export {seededTruth, seededUnit, type Truth} from './worker.js';
