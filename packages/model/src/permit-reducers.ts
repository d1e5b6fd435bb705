/**
 * Reducers of hosts and permits. `grantPermit` is the one serialised
 * check of availability budgets: nothing else takes a host out of service.
 */
import {listOccupyingJobs} from './job-store.js';
import type {BodyOf, PermitRequest} from './change.js';
import {failureDomain, type Host, type HostPhase, type Permit} from './host.js';
import {fail, succeed, type Result} from './result.js';
import type {State} from './state.js';
import type {Pool, Tables} from './table.js';
import {finishHostInWave} from './wave-reducers.js';

/** Records what the platform observed of hosts that are in a pool. */
export function observeHosts(
  state: State,
  body: BodyOf<'observe-hosts'>,
): Result {
  const hosts = {...state.hosts};
  for (const {healthy, ...facts} of body.hosts) {
    const host = hosts[facts.id];
    if (!host) continue;
    const phase = observedPhase(host, healthy);
    hosts[host.id] = inPhase({...host, ...facts}, phase, state.nowMs);
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

/** Notes when the host was lost; its tasks' leases lapse from then on. */
function inPhase(host: Host, phase: HostPhase, nowMs: number): Host {
  const {lostAtMs, ...rest} = host;
  if (phase === 'serving') return {...rest, phase};
  if (phase !== 'failed') return {...host, phase};
  return {...rest, phase, lostAtMs: lostAtMs ?? nowMs};
}

/**
 * Grants a permit if the pool's budget holds without the host. A move that
 * the tables do not ask for yet is written into them by the same change, so
 * that desired and actual placement stay in agreement.
 */
export function grantPermit(state: State, request: PermitRequest): Result {
  const result = decidePermit(state, request, hostsOf(state));
  if ('answer' in result) return result;
  const {taken, ...rest} = result;
  return succeed(
    {...state, ...rest, hosts: {...state.hosts, [taken.id]: taken}},
    String(rest.fence),
  );
}

/**
 * Grants one permit after the other, each on the state that the ones before
 * it left. Copying the hosts once matters: 16 copies of 2,200 took 40 ms.
 */
export function grantPermits(
  state: State,
  {grants}: BodyOf<'grant-permits'>,
): Result {
  const hosts = {...state.hosts};
  const members = groupHosts(hosts);
  let next: State = {...state, hosts};
  let granted = 0;
  for (const request of grants) {
    const result = decidePermit(next, request, pool => members.get(pool) ?? []);
    if ('answer' in result) continue;
    const {taken, ...rest} = result;
    hosts[taken.id] = taken;
    const others = members.get(taken.pool)!.filter(({id}) => id !== taken.id);
    members.set(taken.pool, [...others, taken]);
    next = {...next, ...rest};
    granted++;
  }
  return succeed(next, String(granted));
}

function groupHosts(hosts: State['hosts']): Map<string, Host[]> {
  const pools = new Map<string, Host[]>();
  for (const id in hosts) {
    const host = hosts[id]!;
    const members = pools.get(host.pool);
    if (members) members.push(host);
    else pools.set(host.pool, [host]);
  }
  return pools;
}

/** The hosts that are in a pool. */
type Members = (pool: string) => readonly Host[];

function hostsOf(state: State): Members {
  return pool => Object.values(state.hosts).filter(host => host.pool === pool);
}

interface Grant {
  readonly taken: Host;
  readonly tables: Tables;
  readonly fence: number;
}

function decidePermit(
  state: State,
  request: PermitRequest,
  members: Members,
): Grant | Result {
  const host = state.hosts[request.host];
  if (!host) return fail(state, 'unknown', `unknown host "${request.host}"`);
  if (host.permit) {
    return fail(state, 'invalid', `host "${host.id}" holds a permit already`);
  }
  const wrong =
    request.kind === 'move' ? moveRefusal(state, host, request) : undefined;
  if (wrong) return wrong;
  const refusal = budgetRefusal(state, host, members);
  if (refusal) return fail(state, 'budget', refusal);
  const fence = state.fence + 1;
  const permit: Permit = {
    kind: request.kind,
    token: fence,
    grantedAtMs: state.nowMs,
    targetPool: request.targetPool,
    wave: request.wave,
  };
  const phase = host.phase === 'failed' ? 'failed' : 'draining';
  const tables =
    request.kind === 'move'
      ? withHostIn(state.tables, host.id, request.targetPool!)
      : state.tables;
  return {taken: {...host, permit, phase}, tables, fence};
}

function moveRefusal(
  state: State,
  host: Host,
  request: PermitRequest,
): Result | undefined {
  const target = request.targetPool ?? '';
  if (!state.tables.pools[target]) {
    return fail(state, 'unknown', `unknown pool "${target}"`);
  }
  if (target === host.pool) {
    return fail(
      state,
      'invalid',
      `host "${host.id}" is in "${target}" already`,
    );
  }
  const desired = desiredPool(state.tables, host.id);
  if (desired === undefined || desired === target || desired === host.pool) {
    return undefined;
  }
  return fail(
    state,
    'invalid',
    `the tables move host "${host.id}" to "${desired}", not to "${target}"`,
  );
}

/** Pool in which the tables list the host. */
export function desiredPool(tables: Tables, host: string): string | undefined {
  for (const pool of Object.values(tables.pools)) {
    if (pool.hosts.includes(host)) return pool.name;
  }
  return undefined;
}

function withHostIn(tables: Tables, host: string, target: string): Tables {
  const pool = tables.pools[target];
  if (!pool || pool.hosts.includes(host)) return tables;
  const without = removeHostFromTables(tables, host);
  const joined = {...pool, hosts: [...pool.hosts, host]};
  return {...without, pools: {...without.pools, [target]: joined}};
}

/** The next version of the tables, in which no pool lists the host. */
export function removeHostFromTables(tables: Tables, host: string): Tables {
  const pools = {...tables.pools};
  for (const pool of Object.values(pools)) {
    if (!pool.hosts.includes(host)) continue;
    const hosts = pool.hosts.filter(id => id !== host);
    pools[pool.name] = {...pool, hosts};
  }
  return {...tables, version: tables.version + 1, pools};
}

/** Why the budget forbids taking `host` out of service; else undefined. */
export function budgetRefusal(
  state: State,
  host: Host,
  members: Members = hostsOf(state),
): string | undefined {
  // A failed host already costs its pool everything that it can.
  if (host.phase === 'failed') return undefined;
  const pool = state.tables.pools[host.pool];
  if (!pool) return undefined;
  const others = members(host.pool).filter(other => other.id !== host.id);
  return poolBudgetRefusal(pool, host, others);
}

/** `budgetRefusal` for a caller that has the pool's other hosts at hand. */
export function poolBudgetRefusal(
  pool: Pool,
  host: Host,
  others: readonly Host[],
): string | undefined {
  if (host.phase === 'failed') return undefined;
  const available = others.filter(isAvailable).length;
  if (available < pool.minAvailable) {
    return `pool "${pool.name}" would keep ${available} available hosts of the ${pool.minAvailable} that its budget asks for`;
  }
  if (pool.kind === 'spare') return undefined;
  const domain = failureDomain(host);
  const opened = others.find(
    other => opensDomain(other) && failureDomain(other) !== domain,
  );
  return opened
    ? `pool "${pool.name}" has host "${opened.id}" under a permit in another failure domain`
    : undefined;
}

/** A host that joins by a move was never taken out of the pool it joins. */
function opensDomain({permit, pool}: Host): boolean {
  if (!permit) return false;
  return permit.kind !== 'move' || permit.targetPool !== pool;
}

export function isAvailable(host: Host): boolean {
  return host.phase === 'serving' && !host.permit;
}

/**
 * Starts to give a drained host back. The permit counts until the host is
 * seen healthy; its new token fences the drain that came before.
 */
export function releasePermit(state: State, id: string): Result {
  const host = state.hosts[id];
  if (!host) return fail(state, 'unknown', `unknown host "${id}"`);
  if (!host.permit) return succeed(state);
  if (host.permit.kind !== 'drain') {
    return fail(
      state,
      'invalid',
      `host "${id}" is under a ${host.permit.kind}; withdraw its wave or edit the pools table`,
    );
  }
  const token = state.fence + 1;
  const phase = host.phase === 'failed' ? 'failed' : 'joining';
  const released: Host = {...host, phase, permit: {...host.permit, token}};
  const hosts = {...state.hosts, [id]: released};
  return succeed({...state, fence: token, hosts}, String(token));
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
  if (!EMPTY_PHASES.has(body.to) || !hasJobs(state, host.id)) {
    const joined = body.to === 'joining' ? joinPool(state, host) : host;
    const stepped = inPhase(joined, body.to, state.nowMs);
    const repaired = host.phase === 'failed' && body.to === 'rebooting';
    return repaired
      ? withNewToken(state, stepped)
      : succeed({...state, hosts: {...state.hosts, [host.id]: stepped}});
  }
  return fail(state, 'invalid', `host "${host.id}" still holds jobs`);
}

/** A further reboot needs its own token, or the platform would not repeat it. */
function withNewToken(state: State, host: Host): Result {
  const token = state.fence + 1;
  const permit = {...host.permit!, token, grantedAtMs: state.nowMs};
  const hosts = {...state.hosts, [host.id]: {...host, permit}};
  return succeed({...state, fence: token, hosts}, String(token));
}

/** Phases that a host enters only once no attempt is left on it. */
const EMPTY_PHASES: ReadonlySet<HostPhase> = new Set([
  'drained',
  'rebooting',
  'joining',
]);

/** Whether an attempt of some job is on the host, as far as is known. */
export function hasJobs(state: State, host: string): boolean {
  return listOccupyingJobs(state.jobs).some(job => job.host === host);
}

/** The switch of a move: into the pool that the tables name by now. */
function joinPool(state: State, host: Host): Host {
  const {permit} = host;
  if (permit?.kind !== 'move') return host;
  const pool = desiredPool(state.tables, host.id) ?? host.pool;
  const kind = pool === host.pool ? ('drain' as const) : permit.kind;
  return {...host, pool, permit: {...permit, kind, targetPool: pool}};
}

function finishPermit(state: State, host: Host, permit: Permit): Result {
  const {permit: _, lostAtMs: _lost, ...rest} = host;
  const maintained = permit.kind === 'reboot' && permit.wave !== undefined;
  const back: Host = {
    ...rest,
    phase: 'serving',
    maintainedAtMs: maintained ? state.nowMs : host.maintainedAtMs,
  };
  const hosts = {...state.hosts, [host.id]: back};
  return succeed({
    ...state,
    hosts,
    waves: finishHostInWave(state, host.id, permit),
  });
}
