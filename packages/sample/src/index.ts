export * from './platform.js';
export * from './server.js';
export * from './tables.js';
export * from './upstream.js';
export {seededBehaviour, seededUnit, type TaskBehaviour} from './worker.js';
