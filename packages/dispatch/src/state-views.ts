/** The leader's view of the replicated state, which follows its changes. */
import type {State} from '@lentildrift/queue';
import {
  createStateIndex,
  type LiveRun,
  type StateView,
} from '@lentildrift/scheduling';
import type {LeaderInstruments} from './instruments.js';
import type {QueueReplica} from './leader-options.js';

export interface StateViewsOptions {
  readonly replica: QueueReplica;
  readonly instruments: LeaderInstruments;
}

export interface StateViews {
  /** The recorded state. */
  state(): State;
  /** The views of the recorded state, valid until the next call of `of`. */
  current(): StateView;
  /** The views of a recorded or projected state; see `StateIndex.viewOf`. */
  of(state: State): StateView;
  /** Runs that are recorded for an incarnation of a worker. */
  recordedRuns(worker: string): readonly LiveRun[];
}

export function createStateViews(options: StateViewsOptions): StateViews {
  const {replica} = options;
  const {time, recordDifferences} = options.instruments;
  const index = createStateIndex({onMoved: recordDifferences});

  function state(): State {
    return replica.state();
  }

  function of(state: State): StateView {
    return time('load', () => index.viewOf(state));
  }

  return {
    state,
    current: () => of(state()),
    of,
    recordedRuns: worker => time('load', () => index.runsOn(worker, state())),
  };
}
