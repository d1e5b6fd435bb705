export * from './burn.js';
export * from './event.js';
export * from './metric.js';
export * from './recorder.js';
