/**
 * The load, the backlog and the fleet of a state, updated from one state to the
 * next at the cost of what differs.
 */
import {
  EMPTY_STATE,
  visitDifferences,
  type MapEntry,
  type PersistentMap,
  type State,
} from '@lentildrift/queue';
import type {UpdateEntry} from './sequence-list.js';
import {createBacklogIndex, type Backlog} from './backlog.js';
import {createFleetIndex, type Fleet} from './fleet.js';
import {createLoadIndex} from './load-index.js';
import type {LiveRun, Load} from './load.js';

/** Views of one state. */
export interface StateView {
  readonly load: Load;
  readonly backlog: Backlog;
  readonly fleet: Fleet;
  /** Data centres of the state, for `isEvacuated`. */
  readonly evacuated: State['evacuated'];
}

export interface StateIndex {
  /**
   * Returns the views of a state. They are valid until the next call for
   * another state, which may be older or newer.
   */
  viewOf(state: State): StateView;
  /**
   * Runs that a state records for a worker, by worker key. Costs nothing more
   * for the state of the views or the one before, so that reports between the
   * projection of a change and its commit do not move the views back and forth.
   */
  runsOn(worker: string, state: State): readonly LiveRun[];
}

export interface StateIndexOptions {
  /** Called with the number of differences after the views have moved. */
  onMoved?(differences: number): void;
}

const NO_RUNS: readonly LiveRun[] = [];

/**
 * Calls `update` for each difference, with entries of equal sequences if both
 * are present, and returns the number of differences. Removals come first, since the two states may have given the
 * same sequence to different entries.
 */
function updateAll<V>(
  from: PersistentMap<V>,
  to: PersistentMap<V>,
  update: UpdateEntry<V>,
): number {
  const updates: [MapEntry<V> | undefined, MapEntry<V>][] = [];
  let count = 0;
  visitDifferences(from, to, (before, after) => {
    count++;
    const isKept = before?.sequence === after?.sequence;
    if (before && !isKept) update(before, undefined);
    if (after) updates.push([isKept ? before : undefined, after]);
  });
  for (const [before, after] of updates) update(before, after);
  return count;
}

export function createStateIndex(options: StateIndexOptions = {}): StateIndex {
  const load = createLoadIndex();
  const backlog = createBacklogIndex();
  const fleet = createFleetIndex();
  const view = {
    load: load.load,
    backlog: backlog.backlog,
    fleet: fleet.fleet,
    evacuated: EMPTY_STATE.evacuated,
  } satisfies StateView;
  let current = EMPTY_STATE;
  let previous = EMPTY_STATE;

  function viewOf(state: State): StateView {
    if (state === current) return view;
    load.mark();
    const changedJobs = updateAll(current.jobs, state.jobs, (before, after) => {
      load.update(before, after);
      backlog.update(before, after);
    });
    load.finish();
    const differences =
      changedJobs + updateAll(current.workers, state.workers, fleet.update);
    view.evacuated = state.evacuated;
    previous = current;
    current = state;
    options.onMoved?.(differences);
    return view;
  }

  return {
    viewOf,
    runsOn(worker, state) {
      if (state === previous && state !== current) {
        return load.runsAtMark(worker);
      }
      return viewOf(state).load.runsByWorker.get(worker) ?? NO_RUNS;
    },
  };
}
