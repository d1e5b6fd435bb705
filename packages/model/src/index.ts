export * from './answer.js';
export * from './apply.js';
export {
  listJobs,
  EMPTY_JOB_STORE,
  findJob,
  listOccupyingJobs,
  listUnfinishedJobs,
  type JobStore,
} from './job-store.js';
export * from './burn.js';
export * from './change.js';
export * from './claim.js';
export * from './host.js';
export * from './job.js';
export * from './key.js';
export {
  budgetRefusal,
  desiredPool,
  isAvailable,
  poolBudgetRefusal,
} from './permit-reducers.js';
export * from './result.js';
export * from './roster.js';
export * from './session.js';
export * from './state.js';
export * from './table.js';
export * from './verdict.js';
export * from './view.js';
export {
  FAILED_WORKERS_BEFORE_PARKING,
  RETAINED_FINISHED_JOBS,
  jobLimitOf,
  hasTaskLeaseExpired,
  TASK_LEASE_MS,
  MAX_UNFINISHED_JOBS,
} from './job-reducers.js';
