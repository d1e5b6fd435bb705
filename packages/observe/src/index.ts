export * from './burn.js';
export * from './log.js';
export * from './metrics.js';
export * from './recorder.js';
