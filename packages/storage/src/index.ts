export * from './disk.js';
export * from './error.js';
export * from './file.js';
export * from './identity.js';
export * from './lock.js';
export * from './memory.js';
export * from './record.js';
export * from './store.js';
