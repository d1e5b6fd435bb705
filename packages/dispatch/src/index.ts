export * from './control.js';
export * from './driver.js';
export * from './entry.js';
export * from './leader.js';
export * from './policies.js';
export * from './provider.js';
export * from './request.js';
