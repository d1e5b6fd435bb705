export * from './control.js';
export * from './machine.js';
export * from './views.js';
export * from './planner/index.js';
