/** State transition function of the replicated state machine. */
import type {Change, ChangeBody} from './change.js';
import {applyCommand} from './command-reducers.js';
import {
  grantPermit,
  grantPermits,
  observeHosts,
  stepHost,
} from './permit-reducers.js';
import {succeed, type Result} from './result.js';
import {makeClaims, settleClaims} from './claim-reducers.js';
import {
  closeSession,
  endSession,
  openSession,
  setSlices,
} from './session-reducers.js';
import type {State} from './state.js';
import {
  cancelJobs,
  parkJobs,
  placeJobs,
  quarantineWorker,
  stepJobs,
  submitJobs,
} from './job-reducers.js';

/**
 * Applies one committed change. The function is pure: the same change on the
 * same state gives the same result. A refused change modifies only the
 * revision, the clock and, for a command, the stored answers.
 */
export function apply(state: State, change: Change): Result {
  const stamped: State = {
    ...state,
    revision: state.revision + 1,
    nowMs: Math.max(state.nowMs, change.atMs),
  };
  return reduce(stamped, change.body);
}

function reduce(state: State, body: ChangeBody): Result {
  switch (body.type) {
    case 'noop':
      return succeed(state);
    case 'start-planner':
      return startPlanner(state);
    case 'command':
      return applyCommand(state, body.requestId, body.command);
    case 'open-session':
      return openSession(state, body);
    case 'close-session':
      return closeSession(state, body);
    case 'end-session':
      return endSession(state, body);
    case 'set-slices':
      return setSlices(state, body);
    case 'claim':
      return makeClaims(state, body);
    case 'settle':
      return settleClaims(state, body);
    case 'observe-hosts':
      return observeHosts(state, body);
    case 'grant-permit':
      return grantPermit(state, body);
    case 'grant-permits':
      return grantPermits(state, body);
    case 'step-host':
      return stepHost(state, body);
    case 'submit-jobs':
      return submitJobs(state, body);
    case 'cancel-jobs':
      return cancelJobs(state, body);
    case 'place-jobs':
      return placeJobs(state, body);
    case 'step-jobs':
      return stepJobs(state, body);
    case 'park-jobs':
      return parkJobs(state, body);
    case 'quarantine':
      return quarantineWorker(state, body);
  }
}

/** Issues a fencing token to a new planner, which fences all older planners. */
function startPlanner(state: State): Result {
  const token = state.fence + 1;
  return succeed({...state, fence: token, planner: token}, String(token));
}
