/** The state machine that consensus replicates. */
import type {StateMachine, Replica} from '@lentildrift/consensus';
import {
  apply,
  EMPTY_STATE,
  type Answer,
  type Change,
  type State,
} from '@lentildrift/model';

/** A consensus replica of the control state. */
export type StateReplica = Replica<State, Change, Answer>;

export const stateMachine: StateMachine<State, Change, Answer> = {
  initial: EMPTY_STATE,
  apply,
  revision: state => state.revision,
};
