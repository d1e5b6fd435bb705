export * from './task.js';
export * from './input-timeout.js';
export * from './reminder.js';
