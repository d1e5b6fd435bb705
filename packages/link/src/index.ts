export * from './frame.js';
export * from './link.js';
export * from './server.js';
export * from './timing.js';
