export * from './task.js';
