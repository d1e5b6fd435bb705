export {
  describeClientError,
  describeMalformed,
  sendClientError,
} from './client-error.js';
export {gatherBody, type BodyOutcome} from './body.js';
export {
  createBudget,
  SMALL_HOLDING_BYTES,
  type Budget,
  type Holder,
} from './budget.js';
export {
  createConnectionTable,
  type ConnectionTable,
} from './connection-table.js';
export {
  getExchange,
  guardHttpServer,
  type BodyWatch,
  type ClientError,
  type Exchange,
  type HttpGuardOptions,
  type MalformedStatus,
} from './http-guard.js';
export {createIntake, type Intake, type IntakeOptions} from './intake.js';
export {deriveLimits, IntakeLimits, type Machine} from './limits.js';
export {RefusalReason, type Refusals} from './refusals.js';
