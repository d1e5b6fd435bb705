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
import type {Load} from './load.js';

/** Views of one state. */
export interface StateView {
  readonly load: Load;
  readonly backlog: Backlog;
  readonly fleet: Fleet;
}

export interface StateIndex {
  /**
   * Returns the views of a state. They are valid until the next call for
   * another state, which may be older or newer.
   */
  viewOf(state: State): StateView;
}

/**
 * Calls `update` for each difference, with entries of equal sequences if both
 * are present. Removals come first, since the two states may have given the
 * same sequence to different entries.
 */
function updateAll<V>(
  from: PersistentMap<V>,
  to: PersistentMap<V>,
  update: UpdateEntry<V>,
): void {
  const updates: [MapEntry<V> | undefined, MapEntry<V>][] = [];
  visitDifferences(from, to, (before, after) => {
    const isKept = before?.sequence === after?.sequence;
    if (before && !isKept) update(before, undefined);
    if (after) updates.push([isKept ? before : undefined, after]);
  });
  for (const [before, after] of updates) update(before, after);
}

export function createStateIndex(): StateIndex {
  const load = createLoadIndex();
  const backlog = createBacklogIndex();
  const fleet = createFleetIndex();
  const view: StateView = {
    load: load.load,
    backlog: backlog.backlog,
    fleet: fleet.fleet,
  };
  let current = EMPTY_STATE;
  return {
    viewOf(state) {
      if (state !== current) {
        updateAll(current.jobs, state.jobs, (before, after) => {
          load.update(before, after);
          backlog.update(before, after);
        });
        updateAll(current.workers, state.workers, fleet.update);
        current = state;
      }
      return view;
    },
  };
}
