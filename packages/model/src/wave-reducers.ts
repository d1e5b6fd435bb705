/** Reducers of maintenance waves. */
import type {CommandOf} from './change.js';
import type {Host, Permit, Wave} from './host.js';
import {fail, succeed, type Result} from './result.js';
import type {State} from './state.js';

const DAY_MS = 24 * 3600 * 1000;

/** Marks a host that is healthy again as finished in its wave. */
export function finishHostInWave(
  state: State,
  host: string,
  permit: Permit,
): State['waves'] {
  const wave = permit.wave === undefined ? undefined : state.waves[permit.wave];
  if (!wave) return state.waves;
  const pending = wave.pending.filter(id => id !== host);
  const finished = [...wave.finished, host];
  const next = completeIfEmpty({...wave, pending, finished});
  return {...state.waves, [wave.id]: next};
}

/** Removes a retired host from the pending hosts of all waves. */
export function removeHostFromWaves(
  waves: State['waves'],
  host: string,
): State['waves'] {
  const next = {...waves};
  for (const wave of Object.values(waves)) {
    if (!wave.pending.includes(host)) continue;
    next[wave.id] = completeIfEmpty({
      ...wave,
      pending: wave.pending.filter(id => id !== host),
    });
  }
  return next;
}

/** Marks an open wave as done if it has no pending hosts. */
function completeIfEmpty(wave: Wave): Wave {
  const done = wave.pending.length === 0 && wave.phase === 'open';
  return done ? {...wave, phase: 'done'} : wave;
}

export function openWave(
  state: State,
  command: CommandOf<'open-wave'>,
): Result {
  if (Object.hasOwn(state.waves, command.wave)) {
    return fail(state, 'invalid', `wave "${command.wave}" exists already`);
  }
  const unknown = command.hosts?.find(id => !state.hosts[id]);
  if (unknown !== undefined) {
    return fail(state, 'unknown', `unknown host "${unknown}"`);
  }
  const pending = command.hosts ?? dueHosts(state, command.deadlineMs);
  const wave = {
    id: command.wave,
    pending: [...new Set(pending)],
    finished: [],
    phase: pending.length > 0 ? ('open' as const) : ('done' as const),
    openedAtMs: state.nowMs,
    deadlineMs: command.deadlineMs,
  };
  return succeed({...state, waves: {...state.waves, [wave.id]: wave}});
}

/**
 * Lists hosts whose maintenance is due by `deadlineMs`, the earliest due first.
 */
function dueHosts(state: State, deadlineMs: number): string[] {
  const dueMs = (host: Host) => {
    const days = state.tables.pools[host.pool]?.maintenancePeriodDays ?? 0;
    return host.maintainedAtMs + days * DAY_MS;
  };
  return Object.values(state.hosts)
    .filter(host => dueMs(host) <= deadlineMs)
    .sort((a, b) => dueMs(a) - dueMs(b))
    .map(host => host.id);
}

export function setWave(state: State, command: CommandOf<'set-wave'>): Result {
  const wave = state.waves[command.wave];
  if (!wave) return fail(state, 'unknown', `unknown wave "${command.wave}"`);
  if (wave.phase === 'done' || wave.phase === 'withdrawn') {
    return fail(state, 'invalid', `wave "${wave.id}" is ${wave.phase}`);
  }
  const next = completeIfEmpty({...wave, phase: command.phase});
  return succeed({...state, waves: {...state.waves, [wave.id]: next}});
}
