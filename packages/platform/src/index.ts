export * from './client.js';
export * from './platform.js';
