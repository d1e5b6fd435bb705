export * from './replica.js';
export * from './solo.js';
