/** Reducers of operators' commands. */
import {addAnswer, findAnswer} from './answer.js';
import type {Command, CommandOf} from './change.js';
import {fail, succeed, type Result} from './result.js';
import {
  grantPermit,
  hasJobs,
  releasePermit,
  removeHostFromTables,
} from './permit-reducers.js';
import {capSlices, type Slices} from './session.js';
import type {State} from './state.js';
import {mergeTables, type Tables} from './table.js';
import type {Host} from './host.js';
import {removeHostFromWaves, openWave, setWave} from './wave-reducers.js';

/**
 * Applies `command` once: a command resent under the same request ID gets the
 * stored answer and does not modify the state.
 */
export function applyCommand(
  state: State,
  requestId: string,
  command: Command,
): Result {
  const first = findAnswer(state.answers, requestId);
  if (first) return {state, answer: first};
  const result = runCommand(state, command);
  return {
    state: {
      ...result.state,
      answers: addAnswer(result.state.answers, requestId, result.answer),
    },
    answer: result.answer,
  };
}

function runCommand(state: State, command: Command): Result {
  // `hasOwn` also rejects inherited names such as "constructor".
  if ('host' in command && !Object.hasOwn(state.hosts, command.host)) {
    return fail(state, 'unknown', `unknown host "${command.host}"`);
  }
  switch (command.type) {
    case 'edit':
      return editTables(state, command);
    case 'give-key':
      return giveKey(state, command);
    case 'withdraw-key':
      return withdrawKey(state, command);
    case 'drain':
      return grantPermit(state, {host: command.host, kind: 'drain'});
    case 'undrain':
      return releasePermit(state, command.host);
    case 'retire':
      return retire(state, command);
    case 'open-wave':
      return openWave(state, command);
    case 'set-wave':
      return setWave(state, command);
    case 'release-worker':
      return releaseWorker(state, command);
  }
}

function editTables(state: State, command: CommandOf<'edit'>): Result {
  const {basedOn} = command.edit;
  const current = state.tables.version;
  if (basedOn !== current) {
    return fail(
      state,
      'conflict',
      `the edit is based on version ${basedOn}; the current version is ${current}`,
    );
  }
  const {tables, problems} = mergeTables(state.tables, command.edit);
  const missing = findHostsWithoutPool(state, tables);
  if (problems.length > 0 || missing.length > 0) {
    const texts = problems.map(p => `${p.path.join('.')}: ${p.message}`);
    return fail(state, 'invalid', [...texts, ...missing].join('; '));
  }
  const hosts = addHosts(state, tables);
  return succeed({
    ...state,
    tables,
    hosts,
    slices: capAllSlices(state, tables),
  });
}

/** Puts ceilings on the slices of teams whose limit the new tables lower. */
function capAllSlices(state: State, tables: Tables): Slices {
  const capped = Object.entries(state.slices).map(([team, slicesBySession]) => {
    const row = Object.hasOwn(tables.teams, team)
      ? tables.teams[team]
      : undefined;
    return [team, capSlices(slicesBySession, row?.limit ?? 0)] as const;
  });
  return Object.fromEntries(capped);
}

/**
 * Returns an error for each known host that no pool of the new tables lists.
 */
function findHostsWithoutPool(state: State, tables: Tables): string[] {
  const listed = new Set(Object.values(tables.pools).flatMap(p => p.hosts));
  return Object.keys(state.hosts)
    .filter(id => !listed.has(id))
    .map(id => `pools: host "${id}" must stay in a pool until it is retired`);
}

/**
 * Adds hosts that are new to the tables. Known hosts change pools by permit.
 */
function addHosts(state: State, tables: Tables): Record<string, Host> {
  const hosts = {...state.hosts};
  for (const pool of Object.values(tables.pools)) {
    for (const id of pool.hosts) {
      if (Object.hasOwn(hosts, id)) continue;
      hosts[id] = {
        id,
        pool: pool.name,
        dataCentre: '',
        rack: '',
        cores: 0,
        memoryMiB: 0,
        accelerators: 0,
        phase: 'joining',
        maintainedAtMs: state.nowMs,
        quarantined: false,
      };
    }
  }
  return hosts;
}

function giveKey(state: State, command: CommandOf<'give-key'>): Result {
  const {keyId, subject, secretHash} = command;
  const {teams, pools} = state.tables;
  if (Object.hasOwn(state.keys, keyId)) {
    return fail(state, 'invalid', `key ${keyId} exists already`);
  }
  if (subject.kind === 'team' && !Object.hasOwn(teams, subject.team)) {
    return fail(state, 'unknown', `unknown team "${subject.team}"`);
  }
  if (subject.kind === 'pool' && !Object.hasOwn(pools, subject.pool)) {
    return fail(state, 'unknown', `unknown pool "${subject.pool}"`);
  }
  const key = {id: keyId, subject, secretHash, givenAtMs: state.nowMs};
  return succeed({...state, keys: {...state.keys, [keyId]: key}});
}

function withdrawKey(state: State, command: CommandOf<'withdraw-key'>): Result {
  const {keyId} = command;
  const key = Object.hasOwn(state.keys, keyId) ? state.keys[keyId] : undefined;
  if (!key) return fail(state, 'unknown', `unknown key ${keyId}`);
  if (key.withdrawnAtMs !== undefined) return succeed(state);
  const withdrawn = {...key, withdrawnAtMs: state.nowMs};
  return succeed({...state, keys: {...state.keys, [key.id]: withdrawn}});
}

function retire(state: State, command: CommandOf<'retire'>): Result {
  const host = state.hosts[command.host];
  if (!host) return fail(state, 'unknown', `unknown host "${command.host}"`);
  if (host.phase !== 'drained' && host.phase !== 'failed') {
    return fail(
      state,
      'invalid',
      `host "${host.id}" is ${host.phase}; drain it before it is retired`,
    );
  }
  if (hasJobs(state, host.id)) {
    return fail(state, 'invalid', `host "${host.id}" still holds jobs`);
  }
  const {[host.id]: _, ...hosts} = state.hosts;
  return succeed({
    ...state,
    hosts,
    tables: removeHostFromTables(state.tables, host.id),
    waves: removeHostFromWaves(state.waves, host.id),
  });
}

function releaseWorker(
  state: State,
  command: CommandOf<'release-worker'>,
): Result {
  const host = state.hosts[command.host];
  if (!host) return fail(state, 'unknown', `unknown host "${command.host}"`);
  const released = {...host, quarantined: false};
  return succeed({...state, hosts: {...state.hosts, [host.id]: released}});
}
