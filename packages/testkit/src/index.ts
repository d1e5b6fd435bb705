export * from './check/index.js';
export * from './history.js';
