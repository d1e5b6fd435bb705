/**
 * Result of a reducer: the next state, and the answer to the change's proposer.
 */
import type {Answer} from './answer.js';
import type {State} from './state.js';

export interface Result {
  readonly state: State;
  readonly answer: Answer;
}

type FailureCode = Extract<Answer, {ok: false}>['code'];

/**
 * Returns the result of an applied change; `revision` is that of the change.
 */
export function succeed(state: State, detail?: string): Result {
  const {revision, tables} = state;
  const answer: Answer = {ok: true, revision, version: tables.version};
  return {state, answer: detail === undefined ? answer : {...answer, detail}};
}

/** Returns the result of a refused change, which does not modify the state. */
export function fail(state: State, code: FailureCode, message: string): Result {
  const version = state.tables.version;
  return {state, answer: {ok: false, code, message, version}};
}
