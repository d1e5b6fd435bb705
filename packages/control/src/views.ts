/**
 * The task that keeps recent views and slices, from which it computes the
 * differences that are sent to entry hosts.
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

/** Number of views kept; an entry that is further behind gets the whole view. */
const MAX_VIEWS = 256;
const ASK_TIMEOUT_MS = 1000;

/** The difference that brings an entry session from one revision to another. */
export interface EntryDelta {
  readonly view: ViewDelta;
  /** Slices of the session that changed. */
  readonly slices: Record<string, Slice>;
}

interface DeltaRequest {
  readonly type: 'since';
  readonly state: State;
  readonly revision: number;
  readonly session: string;
  readonly reply: Reply<EntryDelta>;
}

interface Snapshot {
  readonly view: View;
  readonly slices: Slices;
}

const EMPTY_SNAPSHOT: Snapshot = {view: EMPTY_VIEW, slices: {}};

interface HistoryState {
  /** State of the newest view. */
  readonly state: State;
  readonly newest: View;
  /** Views and slices that were sent to entries, by revision. */
  readonly recent: ReadonlyMap<number, Snapshot>;
}

export interface ViewHistory {
  /**
   * Returns the difference from `revision` to `state`, or to a newer state.
   * Rejects with `TaskTimeout` after 1,000 ms.
   */
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
  const task = tasks.spawn<HistoryState, DeltaRequest>({
    name: 'view-history',
    initial: {
      state,
      newest,
      recent: new Map([
        [newest.revision, {view: newest, slices: state.slices}],
      ]),
    },
    handle(history, message) {
      const next = advance(history, message.state);
      const older = next.recent.get(message.revision) ?? EMPTY_SNAPSHOT;
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

function advance(history: HistoryState, state: State): HistoryState {
  if (state.revision <= history.state.revision) return history;
  const newest = projectNextView(history, state);
  const {slices} = state;
  const recent = new Map(history.recent).set(newest.revision, {
    view: newest,
    slices,
  });
  if (recent.size > MAX_VIEWS) recent.delete([...recent.keys()][0]!);
  return {state, newest, recent};
}

/**
 * Projects the state, and reuses the newest view if no table, key or host has
 * changed: most changes are claims and slices, which affect no row of the view.
 */
function projectNextView(history: HistoryState, state: State): View {
  const same =
    state.tables === history.state.tables &&
    state.keys === history.state.keys &&
    state.hosts === history.state.hosts;
  return same
    ? {...history.newest, revision: state.revision}
    : projectView(state, history.newest);
}

/** Returns the slices of `session` that are new or changed, by identity. */
function diffSlices(
  older: Slices,
  newer: Slices,
  session: string,
): Record<string, Slice> {
  if (older === newer) return {};
  const changed = Object.entries(newer).flatMap(([team, teamSlices]) => {
    if (!Object.hasOwn(teamSlices, session)) return [];
    const before = Object.hasOwn(older, team) ? older[team]! : {};
    const old = Object.hasOwn(before, session) ? before[session] : undefined;
    const slice = teamSlices[session]!;
    return old === slice ? [] : [[team, slice] as const];
  });
  return Object.fromEntries(changed);
}
