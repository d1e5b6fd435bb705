export {commandsFor} from './order.js';
export * from './planner.js';
export * from './round.js';
