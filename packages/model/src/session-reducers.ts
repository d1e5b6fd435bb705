/** Reducers of sessions and of the slices that they hold. */
import type {BodyOf} from './change.js';
import {fail, succeed, type Result} from './result.js';
import {sliceTotal, type Session, type Slice, type Slices} from './session.js';
import type {State} from './state.js';

export function openSession(
  state: State,
  body: BodyOf<'open-session'>,
): Result {
  if (Object.hasOwn(state.sessions, body.session)) {
    return fail(state, 'invalid', `session ${body.session} exists already`);
  }
  const session = {
    id: body.session,
    entryHost: body.entryHost,
    phase: 'open' as const,
  };
  const sessions = {...state.sessions, [session.id]: session};
  return succeed({...state, sessions});
}

function findSession(state: State, id: string): Session | undefined {
  return Object.hasOwn(state.sessions, id) ? state.sessions[id] : undefined;
}

export function closeSession(
  state: State,
  body: BodyOf<'close-session'>,
): Result {
  const session = findSession(state, body.session);
  if (!session)
    return fail(state, 'unknown', `unknown session ${body.session}`);
  if (session.phase === 'closed') return succeed(state);
  const closed = {
    ...session,
    phase: 'closed' as const,
    closedAtMs: state.nowMs,
  };
  return succeed({
    ...state,
    sessions: {...state.sessions, [session.id]: closed},
  });
}

export function endSession(state: State, body: BodyOf<'end-session'>): Result {
  const session = findSession(state, body.session);
  if (!session) return succeed(state);
  if (session.phase !== 'closed') {
    return fail(state, 'invalid', `session ${session.id} is still open`);
  }
  const {[session.id]: _, ...sessions} = state.sessions;
  const slices: Slices = {};
  for (const [team, slicesBySession] of Object.entries(state.slices)) {
    const {[session.id]: _slice, ...others} = slicesBySession;
    if (Object.keys(others).length > 0) slices[team] = others;
  }
  return succeed({...state, sessions, slices});
}

/**
 * Sets slices one by one. An item is skipped if it is based on an older
 * generation, is for a closed session or would exceed the team's limit, so
 * that the limit is kept whatever the order of changes.
 */
export function setSlices(state: State, body: BodyOf<'set-slices'>): Result {
  const drafts = new Map<string, TeamDraft>();
  const refused: string[] = [];
  for (const item of body.slices) {
    const draft = drafts.get(item.team) ?? createTeamDraft(state, item.team);
    drafts.set(item.team, draft);
    if (!setSlice(state, draft, item)) {
      refused.push(`${item.team}/${item.session}`);
    }
  }
  const slices = {...state.slices};
  for (const [team, draft] of drafts) {
    removeCeilings(draft);
    if (Object.keys(draft.slices).length > 0) slices[team] = draft.slices;
  }
  const detail =
    refused.length > 0 ? `refused ${refused.join(' ')}` : undefined;
  return succeed({...state, slices}, detail);
}

/** One team's slices, copied once per change, and their sum. */
interface TeamDraft {
  readonly limit: number;
  readonly slices: Record<string, Slice>;
  /** Sessions whose slices the change sets. */
  readonly changedSessions: string[];
  total: number;
}

function createTeamDraft(state: State, team: string): TeamDraft {
  const {teams} = state.tables;
  return {
    limit: Object.hasOwn(teams, team) ? teams[team]!.limit : 0,
    slices: {...state.slices[team]},
    changedSessions: [],
    total: sliceTotal(state.slices, team),
  };
}

/**
 * Removes the ceilings of the changed slices once the sum of all slices keeps
 * the lowered limit. The sum includes the whole change, whatever the order of
 * its items.
 */
function removeCeilings(draft: TeamDraft): void {
  if (draft.total > draft.limit) return;
  for (const session of draft.changedSessions) {
    const {amount, generation} = draft.slices[session]!;
    draft.slices[session] = {amount, generation};
  }
}

/** Sets one slice in the draft; returns false if the item is skipped. */
function setSlice(
  state: State,
  draft: TeamDraft,
  item: BodyOf<'set-slices'>['slices'][number],
): boolean {
  const {session, amount, basedOn} = item;
  const current = draft.slices[session];
  const generation = current?.generation ?? 0;
  if (basedOn !== generation) return false;
  if (state.sessions[session]?.phase !== 'open') return false;
  const growth = amount - (current?.amount ?? 0);
  if (growth > 0 && draft.total + growth > draft.limit) return false;
  draft.total += growth;
  const ceiling = current?.ceiling;
  const capped = ceiling !== undefined && amount > ceiling;
  const next: Slice = {amount, generation: generation + 1};
  draft.slices[session] = capped ? {...next, ceiling} : next;
  draft.changedSessions.push(session);
  return true;
}
