/** The task that holds recent views, from which entry hosts get differences. */
import {
  diffViews,
  EMPTY_VIEW,
  projectView,
  type State,
  type View,
  type ViewDelta,
} from '@lentildrift/model';
import type {Reply, TaskSystem} from '@lentildrift/task';

/** Views kept; an entry further behind gets the whole view. */
const VIEWS_KEPT = 256;
const ASK_TIMEOUT_MS = 1000;

interface Since {
  readonly type: 'since';
  readonly state: State;
  readonly revision: number;
  readonly reply: Reply<ViewDelta>;
}

interface ViewsState {
  /** State of the newest view. */
  readonly state: State;
  readonly newest: View;
  /** Views that were handed out, by revision. */
  readonly recent: ReadonlyMap<number, View>;
}

export interface Views {
  /** What leads from `revision` to `state`, or to a newer one. */
  since(state: State, revision: number): Promise<ViewDelta>;
  stop(): Promise<void>;
}

export function createViews(state: State, tasks: TaskSystem): Views {
  const newest = projectView(state);
  const task = tasks.spawn<ViewsState, Since>({
    name: 'views',
    initial: {state, newest, recent: new Map([[newest.revision, newest]])},
    handle(held, message) {
      const next = advance(held, message.state);
      const older = next.recent.get(message.revision) ?? EMPTY_VIEW;
      message.reply.resolve(diffViews(older, next.newest));
      return next;
    },
  });
  return {
    since: (later, revision) =>
      task.ask<ViewDelta>(
        reply => ({type: 'since', state: later, revision, reply}),
        ASK_TIMEOUT_MS,
      ),
    stop: () => task.stop(),
  };
}

function advance(held: ViewsState, state: State): ViewsState {
  if (state.revision <= held.state.revision) return held;
  const newest = nextView(held, state);
  const recent = new Map(held.recent).set(newest.revision, newest);
  if (recent.size > VIEWS_KEPT) recent.delete([...recent.keys()][0]!);
  return {state, newest, recent};
}

/** Most changes are claims and slices, which leave all rows as they are. */
function nextView(held: ViewsState, state: State): View {
  const same =
    state.tables === held.state.tables &&
    state.keys === held.state.keys &&
    state.hosts === held.state.hosts;
  return same
    ? {...held.newest, revision: state.revision}
    : projectView(state, held.newest);
}
