export * from './burn.js';
export * from './event-loop.js';
export * from './garbage-collection.js';
export * from './log.js';
export * from './metrics.js';
export * from './recorder.js';
