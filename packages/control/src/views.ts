/**
 * The task that holds recent views and slices, from which entry hosts get
 * differences.
 */
import {
  diffViews,
  EMPTY_VIEW,
  projectView,
  type Slice,
  type Slices,
  type State,
  type View,
  type ViewDelta,
} from '@lentildrift/model';
import type {Reply, TaskSystem} from '@lentildrift/task';

/** Views kept; an entry further behind gets the whole view. */
const VIEWS_KEPT = 256;
const ASK_TIMEOUT_MS = 1000;

/** What an entry session needs to get from one revision to another. */
export interface EntryDelta {
  readonly view: ViewDelta;
  /** Slices of the session that changed. */
  readonly slices: Record<string, Slice>;
}

interface Since {
  readonly type: 'since';
  readonly state: State;
  readonly revision: number;
  readonly session: string;
  readonly reply: Reply<EntryDelta>;
}

interface Recent {
  readonly view: View;
  readonly slices: Slices;
}

const NOTHING: Recent = {view: EMPTY_VIEW, slices: {}};

interface ViewsState {
  /** State of the newest view. */
  readonly state: State;
  readonly newest: View;
  /** What was handed out, by revision. */
  readonly recent: ReadonlyMap<number, Recent>;
}

export interface ViewHistory {
  /** What leads from `revision` to `state`, or to a newer one. */
  deltaSince(
    state: State,
    revision: number,
    session: string,
  ): Promise<EntryDelta>;
  stop(): Promise<void>;
}

export function createViewHistory(
  state: State,
  tasks: TaskSystem,
): ViewHistory {
  const newest = projectView(state);
  const task = tasks.spawn<ViewsState, Since>({
    name: 'views',
    initial: {
      state,
      newest,
      recent: new Map([
        [newest.revision, {view: newest, slices: state.slices}],
      ]),
    },
    handle(held, message) {
      const next = advance(held, message.state);
      const older = next.recent.get(message.revision) ?? NOTHING;
      message.reply.resolve({
        view: diffViews(older.view, next.newest),
        slices: diffSlices(older.slices, next.state.slices, message.session),
      });
      return next;
    },
  });
  return {
    deltaSince: (later, revision, session) =>
      task.ask<EntryDelta>(
        reply => ({type: 'since', state: later, revision, session, reply}),
        ASK_TIMEOUT_MS,
      ),
    stop: () => task.stop(),
  };
}

function advance(held: ViewsState, state: State): ViewsState {
  if (state.revision <= held.state.revision) return held;
  const newest = nextView(held, state);
  const {slices} = state;
  const recent = new Map(held.recent).set(newest.revision, {
    view: newest,
    slices,
  });
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

/** Slices of `session` that are new or changed, compared by identity. */
function diffSlices(
  older: Slices,
  newer: Slices,
  session: string,
): Record<string, Slice> {
  if (older === newer) return {};
  const changed = Object.entries(newer).flatMap(([team, held]) => {
    if (!Object.hasOwn(held, session)) return [];
    const before = Object.hasOwn(older, team) ? older[team]! : {};
    const old = Object.hasOwn(before, session) ? before[session] : undefined;
    const slice = held[session]!;
    return old === slice ? [] : [[team, slice] as const];
  });
  return Object.fromEntries(changed);
}
