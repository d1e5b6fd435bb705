/** Recent views, from which entry hosts get differences. */
import {
  diffViews,
  EMPTY_VIEW,
  projectView,
  type State,
  type View,
  type ViewDelta,
} from '@lentildrift/model';

/** Views kept; an entry further behind gets the whole view. */
const VIEWS_KEPT = 256;

export interface Views {
  add(state: State): void;
  /** What leads from `revision` to the newest view. */
  since(revision: number): ViewDelta;
}

export function createViews(state: State): Views {
  let newest = projectView(state);
  const recent = new Map<number, View>([[newest.revision, newest]]);

  function add(next: State): void {
    newest = projectView(next, newest);
    recent.set(newest.revision, newest);
    if (recent.size <= VIEWS_KEPT) return;
    const [oldest] = recent.keys();
    recent.delete(oldest!);
  }

  function since(revision: number): ViewDelta {
    return diffViews(recent.get(revision) ?? EMPTY_VIEW, newest);
  }

  return {add, since};
}
