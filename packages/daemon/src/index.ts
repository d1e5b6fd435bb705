export * from './control.js';
export * from './embedded.js';
export * from './entry.js';
export * from './roles.js';
