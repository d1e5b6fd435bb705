export * from './caller.js';
export * from './cluster.js';
export * from './daemon.js';
export * from './operator.js';
export * from './port.js';
export * from './relay.js';
export * from './serving-cluster.js';
export * from './upstream.js';
