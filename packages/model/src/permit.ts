/**
 * Reducers of hosts, permits and waves. `grantPermit` is the one serialised
 * check of availability budgets: nothing else takes a host out of service.
 */
import type {BodyOf, CommandOf} from './change.js';
import type {Host, HostPhase, Permit} from './host.js';
import {fail, succeed, type Result} from './result.js';
import type {State} from './state.js';

const DAY_MS = 24 * 3600 * 1000;

/** Records what the platform observed of hosts that are in a pool. */
export function observeHosts(
  state: State,
  body: BodyOf<'observe-hosts'>,
): Result {
  const hosts = {...state.hosts};
  for (const {healthy, ...facts} of body.hosts) {
    const host = hosts[facts.id];
    if (!host) continue;
    hosts[host.id] = {
      ...host,
      ...facts,
      phase: observedPhase(host, healthy),
    };
  }
  return succeed({...state, hosts});
}

function observedPhase(host: Host, healthy: boolean): HostPhase {
  if (healthy) {
    const returned = host.phase === 'failed' || host.phase === 'joining';
    return returned && !host.permit ? 'serving' : host.phase;
  }
  const expectedAway = host.phase === 'rebooting' || host.phase === 'joining';
  return expectedAway ? host.phase : 'failed';
}

export interface PermitRequest {
  readonly host: string;
  readonly kind: Permit['kind'];
  readonly targetPool?: string;
  readonly wave?: string;
}

/** Grants a permit if the pool's budget holds without the host. */
export function grantPermit(state: State, request: PermitRequest): Result {
  const host = state.hosts[request.host];
  if (!host) return fail(state, 'unknown', `unknown host "${request.host}"`);
  if (host.permit) {
    return fail(state, 'invalid', `host "${host.id}" holds a permit already`);
  }
  if (
    request.kind === 'move' &&
    !state.tables.pools[request.targetPool ?? '']
  ) {
    return fail(state, 'unknown', `unknown pool "${request.targetPool}"`);
  }
  const refusal = budgetRefusal(state, host);
  if (refusal) return fail(state, 'budget', refusal);
  const token = state.fence + 1;
  const permit: Permit = {
    kind: request.kind,
    token,
    grantedAtMs: state.nowMs,
    targetPool: request.targetPool,
    wave: request.wave,
  };
  const draining: Host = {...host, permit, phase: 'draining'};
  return succeed(
    {...state, fence: token, hosts: {...state.hosts, [host.id]: draining}},
    String(token),
  );
}

/** Why the budget forbids taking `host` out of service; else undefined. */
export function budgetRefusal(state: State, host: Host): string | undefined {
  const pool = state.tables.pools[host.pool];
  if (!pool) return undefined;
  // Taking out a host that is away already costs the pool nothing.
  if (!isAvailable(host)) return undefined;
  const others = Object.values(state.hosts).filter(
    other => other.pool === host.pool && other.id !== host.id,
  );
  const available = others.filter(isAvailable).length;
  if (available < pool.minAvailable) {
    return `pool "${pool.name}" would keep ${available} available hosts of the ${pool.minAvailable} that its budget asks for`;
  }
  const opened = others.find(other => other.permit && other.rack !== host.rack);
  return opened && pool.kind !== 'spare'
    ? `pool "${pool.name}" has host "${opened.id}" under a permit in another failure domain`
    : undefined;
}

export function isAvailable(host: Host): boolean {
  return host.phase === 'serving' && !host.permit;
}

/** Gives a host back to service; it counts again once it is seen healthy. */
export function releasePermit(state: State, id: string): Result {
  const host = state.hosts[id];
  if (!host) return fail(state, 'unknown', `unknown host "${id}"`);
  if (!host.permit) return succeed(state);
  const {permit: _, ...rest} = host;
  const phase = host.phase === 'failed' ? 'failed' : 'joining';
  return succeed({
    ...state,
    hosts: {...state.hosts, [id]: {...rest, phase}},
  });
}

/** Steps that may follow each phase under a permit. */
const NEXT: Readonly<Record<HostPhase, readonly HostPhase[]>> = {
  serving: [],
  draining: ['drained', 'failed'],
  drained: ['rebooting', 'joining', 'failed'],
  rebooting: ['joining', 'failed'],
  joining: ['serving', 'failed'],
  failed: ['rebooting', 'joining'],
};

/** Moves a host one step on; `joining` of a move puts it in its new pool. */
export function stepHost(state: State, body: BodyOf<'step-host'>): Result {
  const host = state.hosts[body.host];
  if (!host?.permit || host.permit.token !== body.token) {
    return fail(
      state,
      'invalid',
      `token ${body.token} is not the permit of "${body.host}"`,
    );
  }
  if (!NEXT[host.phase].includes(body.to)) {
    return fail(
      state,
      'invalid',
      `host "${host.id}" cannot go from ${host.phase} to ${body.to}`,
    );
  }
  if (body.to === 'serving') return finishPermit(state, host, host.permit);
  const pool =
    body.to === 'joining' && host.permit.kind === 'move'
      ? (host.permit.targetPool ?? host.pool)
      : host.pool;
  const stepped: Host = {...host, phase: body.to, pool};
  return succeed({...state, hosts: {...state.hosts, [host.id]: stepped}});
}

function finishPermit(state: State, host: Host, permit: Permit): Result {
  const {permit: _, ...rest} = host;
  const back: Host = {
    ...rest,
    phase: 'serving',
    maintainedAtMs:
      permit.kind === 'reboot' ? state.nowMs : host.maintainedAtMs,
  };
  const hosts = {...state.hosts, [host.id]: back};
  return succeed({
    ...state,
    hosts,
    waves: finishInWave(state, host.id, permit),
  });
}

function finishInWave(
  state: State,
  host: string,
  permit: Permit,
): State['waves'] {
  const wave = permit.wave === undefined ? undefined : state.waves[permit.wave];
  if (!wave) return state.waves;
  const pending = wave.pending.filter(id => id !== host);
  const finished = [...wave.finished, host];
  const done = pending.length === 0 && wave.phase === 'open';
  const phase = done ? ('done' as const) : wave.phase;
  return {...state.waves, [wave.id]: {...wave, pending, finished, phase}};
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

/** Hosts whose maintenance falls due by `deadlineMs`, the earliest first. */
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
  const next = {...wave, phase: command.phase};
  return succeed({...state, waves: {...state.waves, [wave.id]: next}});
}
