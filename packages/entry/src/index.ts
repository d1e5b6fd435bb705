export * from './admission.js';
export * from './call.js';
export * from './entry.js';
export * from './exchange.js';
export * from './forward.js';
