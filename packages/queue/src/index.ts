export * from './apply.js';
export * from './change.js';
export * from './job.js';
export * from './size.js';
export * from './state.js';
export * from './table.js';
export * from './wave.js';
export * from './worker.js';
