/** The replicated state as a machine for the log. */
import type {StateMachine, Replica} from '@lentildrift/consensus';
import {
  apply,
  EMPTY_STATE,
  type Answer,
  type Change,
  type State,
} from '@lentildrift/model';

export type StateReplica = Replica<State, Change, Answer>;

export const stateMachine: StateMachine<State, Change, Answer> = {
  initial: EMPTY_STATE,
  apply,
  revision: state => state.revision,
};
