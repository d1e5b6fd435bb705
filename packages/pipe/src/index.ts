export * from './filter.js';
