/** Result of a reducer: the next state, and the answer for who asked. */
import type {Answer} from './answer.js';
import type {State} from './state.js';

export interface Result {
  readonly state: State;
  readonly answer: Answer;
}

type FailureCode = Extract<Answer, {ok: false}>['code'];

/** The change took effect; `revision` is that of the change itself. */
export function succeed(state: State, detail?: string): Result {
  const {revision, tables} = state;
  const answer: Answer = {ok: true, revision, version: tables.version};
  return {state, answer: detail === undefined ? answer : {...answer, detail}};
}

/** The change is refused and leaves the state as it was. */
export function fail(state: State, code: FailureCode, message: string): Result {
  const version = state.tables.version;
  return {state, answer: {ok: false, code, message, version}};
}
