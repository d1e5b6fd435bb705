export * from './answer.js';
export * from './apply.js';
export {
  allJobs,
  EMPTY_BOOK,
  jobOf,
  occupyingJobs,
  unfinishedJobs,
  type JobBook,
} from './book.js';
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
  refusalAmong,
} from './permit.js';
export * from './result.js';
export * from './roster.js';
export * from './session.js';
export * from './state.js';
export * from './table.js';
export * from './verdict.js';
export * from './view.js';
export {
  ATTEMPTS_BEFORE_PARKING,
  FINISHED_JOBS_KEPT,
  jobLimitOf,
  leaseLapsed,
  TASK_LEASE_MS,
  UNFINISHED_JOBS_MAX,
} from './work.js';
