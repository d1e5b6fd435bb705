export {platformCommandsFor} from './commands.js';
export {poolsWithUrgentJobs} from './pace.js';
export * from './planner.js';
export * from './round.js';
