/** Commands and reads of operators, and the bootstrap of the first operator key. */
import {
  listJobs,
  parseKey,
  verifyKey,
  hashSecret,
  type Answer,
} from '@lentildrift/model';
import {
  ServiceError,
  type CommandRequest,
  type ReadRequest,
  type ReadResponse,
  type ReadTopic,
} from '@lentildrift/protocol';
import type {ReadBarrier} from './barrier.js';
import type {StateReplica} from './machine.js';
import type {Proposer} from './propose.js';
import type {RosterTask} from './roster.js';

/** Builds the body of the `report` topic, or a promise of it. */
export type ReportProvider = () => unknown;

export interface OperatorApiOptions {
  readonly replica: StateReplica;
  readonly readBarrier: ReadBarrier;
  readonly proposer: Proposer;
  readonly roster: RosterTask;
  readonly report: ReportProvider;
}

export interface OperatorApi {
  /**
   * Runs an operator's command. Sending the same request ID again is safe.
   * Rejects with `ServiceError`, with the code `unauthorised` for a key that is
   * not an operator's.
   */
  command(request: CommandRequest): Promise<Answer>;
  /** Reads a topic of the committed state. Rejects like `command`. */
  read(request: ReadRequest): Promise<ReadResponse>;
}

export function createOperatorApi(options: OperatorApiOptions): OperatorApi {
  const {replica, readBarrier, proposer} = options;

  /** Checks the key against a state that is at least as new as the request. */
  async function verifyOperatorKey(key: string): Promise<void> {
    await readBarrier.confirm();
    const subject = verifyKey(key, replica.state().keys);
    if (subject?.kind === 'operator') return;
    throw new ServiceError('unauthorised', 'not the key of an operator');
  }

  async function command(request: CommandRequest): Promise<Answer> {
    await verifyOperatorKey(request.key);
    const {requestId, command: content} = request;
    const body = {type: 'command' as const, requestId, command: content};
    return proposer.propose(body, {idempotent: true});
  }

  async function read(request: ReadRequest): Promise<ReadResponse> {
    await verifyOperatorKey(request.key);
    const body = await readTopic(options, request.topic);
    return {revision: replica.state().revision, body};
  }

  return {command, read};
}

async function readTopic(
  options: OperatorApiOptions,
  topic: ReadTopic,
): Promise<unknown> {
  const state = options.replica.state();
  switch (topic) {
    case 'tables':
      return state.tables;
    case 'keys':
      return Object.values(state.keys).map(
        ({secretHash: _, ...shown}) => shown,
      );
    case 'hosts':
      return Object.values(state.hosts);
    case 'jobs':
      return listJobs(state.jobs);
    case 'waves':
      return Object.values(state.waves);
    case 'upstreams':
      return readUpstreams(options.roster);
    case 'limits':
      return readLimits(options.replica);
    case 'status':
      return readStatus(options.replica);
    case 'report':
      return options.report();
  }
}

async function readUpstreams(roster: RosterTask) {
  const nowMs = performance.now();
  const live = await roster.liveUpstreams();
  return live.map(({announcement, receivedMs}) => ({
    ...announcement,
    ageMs: Math.round(Math.max(0, nowMs - receivedMs)),
  }));
}

function readLimits(replica: StateReplica) {
  const {tables, slices, sessions} = replica.state();
  return Object.values(tables.teams).map(({name, limit}) => {
    const held = Object.entries(slices[name] ?? {}).map(([id, slice]) => ({
      session: id,
      entryHost: sessions[id]?.entryHost,
      phase: sessions[id]?.phase,
      ...slice,
    }));
    const given = held.reduce((total, {amount}) => total + amount, 0);
    return {team: name, limit, given, slices: held};
  });
}

function readStatus(replica: StateReplica) {
  const {sessions, tables} = replica.state();
  return {
    ...replica.status(),
    version: tables.version,
    sessions: Object.values(sessions),
  };
}

/** Name of the operator that owns the key from the settings. */
const FIRST_OPERATOR = 'first';

/**
 * Registers the key from the settings as the key of the first operator. A key
 * that is already registered, even if it was withdrawn since, stays as it is.
 * Rejects with `RangeError` for a malformed key, and with `ServiceError` if there
 * is no leader.
 */
export async function bootstrapOperator(
  proposer: Pick<Proposer, 'propose'>,
  keyText: string,
): Promise<Answer> {
  const parsed = parseKey(keyText);
  if (!parsed) throw new RangeError('the first operator key is malformed');
  return proposer.propose(
    {
      type: 'command',
      requestId: `first-operator-${parsed.id}`,
      command: {
        type: 'give-key',
        keyId: parsed.id,
        subject: {kind: 'operator', operator: FIRST_OPERATOR},
        secretHash: hashSecret(parsed.secret),
      },
    },
    {idempotent: true},
  );
}
