export {commandsFor} from './order.js';
export {urgentPools} from './pace.js';
export * from './planner.js';
export * from './round.js';
