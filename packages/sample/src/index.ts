export * from './tables.js';
export * from './upstream.js';
