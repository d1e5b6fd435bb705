export * from './estimate.js';
export * from './health.js';
export * from './load.js';
export * from './order.js';
export * from './place.js';
export * from './plan.js';
export * from './budget.js';
