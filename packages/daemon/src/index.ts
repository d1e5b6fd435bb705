export * from './embedded.js';
