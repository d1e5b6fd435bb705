export * from './control.js';
export * from './machine.js';
export * from './views.js';
