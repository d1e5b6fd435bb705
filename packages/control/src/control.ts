/** The control role: its tasks, and the services that stand before them. */
import {listJobs, type State} from '@lentildrift/model';
import type {Log} from '@lentildrift/observe';
import {
  ControlService,
  ServiceError,
  type PeerService,
  type CancelRequest,
  type ClaimRequest,
  type CloseSessionRequest,
  type CommandRequest,
  type JobsRequest,
  type OpenSessionRequest,
  type OpenSessionResponse,
  type ReadRequest,
  type SettleRequest,
  type SubmitRequest,
  type SyncRequest,
  type SyncResponse,
} from '@lentildrift/protocol';
import type {TaskSystem} from '@lentildrift/task';
import {randomUUID} from 'node:crypto';
import {createBurn, type BurnTask} from './burn.js';
import {createClaims, type Claims} from './claims.js';
import {createFreshness, type Freshness} from './freshness.js';
import {DemandPolicy, type LimitPolicy} from './limit.js';
import {createLimits, type Limits} from './limits.js';
import type {StateReplica} from './machine.js';
import {
  createOperators,
  type Operators,
  type ReportProvider,
} from './operators.js';
import {LocalPeer, type Admit, type Deliver} from './peer.js';
import {createProposals, type Peers, type Proposals} from './propose.js';
import {createRoster, type RosterTask} from './roster.js';
import {createSessions, type Sessions} from './sessions.js';
import {createViews, type Views} from './views.js';

export interface ControlOptions {
  readonly replica: StateReplica;
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Other control processes, by member ID. */
  readonly peers?: Peers;
  /** Takes consensus messages of other control processes. */
  readonly deliver?: Deliver;
  /** Takes members that ask to belong to the group. */
  readonly admit?: Admit;
  readonly report?: ReportProvider;
  readonly policy?: LimitPolicy;
}

export interface Control {
  readonly control: ControlService;
  readonly peer: PeerService;
  readonly proposals: Proposals;
  /** Stops the tasks, not the replica. */
  stop(): Promise<void>;
}

/** Starts the control role over a replica. */
export function createControl(options: ControlOptions): Control {
  const {replica, tasks, log, peers = new Map()} = options;
  const {member} = replica.status();
  const proposals = createProposals({replica, peers, tasks});
  const freshness = createFreshness({replica, peers, tasks});
  const patience = createFreshness({replica, peers, tasks, patient: true});
  const policy = options.policy ?? new DemandPolicy();
  const limits = createLimits({replica, proposals, policy, tasks, log});
  const roster = createRoster({member, peers, tasks});
  const sessions = createSessions({member, replica, peers, limits, tasks});
  const views = createViews(replica.state(), tasks);
  const claims = createClaims(tasks, proposals);
  const burn = createBurn(tasks);
  const report = options.report ?? (() => burn.report(replica.state()));
  const operators = createOperators({
    replica,
    freshness,
    proposals,
    roster,
    report,
  });
  const parts: Parts = {
    replica,
    proposals,
    freshness,
    patience,
    limits,
    roster,
    sessions,
    views,
    claims,
    burn,
    operators,
  };
  const {deliver = () => undefined, admit = () => undefined} = options;

  async function stop(): Promise<void> {
    // Tasks that others ask stop last.
    for (const part of [claims, burn, sessions, limits, roster, views]) {
      await part.stop();
    }
    await patience.stop();
    await freshness.stop();
    await proposals.stop();
  }

  return {
    control: new LocalControl(parts),
    peer: new LocalPeer({replica, limits, roster, deliver, admit}),
    proposals,
    stop,
  };
}

interface Parts {
  readonly replica: StateReplica;
  readonly proposals: Proposals;
  readonly freshness: Freshness;
  /** For reads that may wait for the leader's next heartbeat. */
  readonly patience: Freshness;
  readonly limits: Limits;
  readonly roster: RosterTask;
  readonly sessions: Sessions;
  readonly views: Views;
  readonly claims: Claims;
  readonly burn: BurnTask;
  readonly operators: Operators;
}

class LocalControl extends ControlService {
  constructor(private readonly parts: Parts) {
    super();
  }

  override async openSession({
    entryHost,
  }: OpenSessionRequest): Promise<OpenSessionResponse> {
    const {proposals, replica} = this.parts;
    const session = randomUUID();
    await proposals.propose(
      {type: 'open-session', session, entryHost},
      {idempotent: true},
    );
    // The ID is unique, so a second run was refused only as a repetition.
    if (isOpen(replica.state(), session)) return {session};
    throw new ServiceError('unavailable', 'the session was not opened');
  }

  override async closeSession({session}: CloseSessionRequest): Promise<void> {
    const {proposals} = this.parts;
    const rest = {idempotent: true};
    await proposals.propose({type: 'close-session', session}, rest);
    // The entry has no work left: its slices need not wait.
    await proposals.propose({type: 'end-session', session}, rest);
  }

  override async sync(request: SyncRequest): Promise<SyncResponse> {
    const {burn, freshness, patience, replica, roster, sessions, views} =
      this.parts;
    const {session} = request;
    const known = hasSlices(replica.state(), session);
    // Others may wait for what this entry gave up: the leader hears of it now.
    if (known) sessions.heard(request);
    const reads = isPressing(request) ? freshness : patience;
    const readIndex = await reads.confirm();
    if (!isOpen(replica.state(), session)) return CLOSED;
    roster.merge(request.roster, true);
    if (request.burn) burn.take(request.burn, request.sequence);
    if (!known) {
      // Without slices the entry could admit nothing until its next sync.
      await sessions.report(request).catch(() => undefined);
      // The leader has committed its slices; this replica may lag behind.
      await freshness.confirm();
    }
    const [useAnswer, news] = await Promise.all([
      sessions.answer(request),
      roster.since(request.rosterVersion),
    ]);
    const state = replica.state();
    if (!isOpen(state, session)) return CLOSED;
    return {
      ok: true,
      readIndex,
      ...(await views.since(state, request.revision, session)),
      ...useAnswer,
      roster: news.items,
      rosterVersion: news.version,
    };
  }

  override claim(request: ClaimRequest) {
    return this.parts.claims.claim(request);
  }

  override settle(request: SettleRequest) {
    return this.parts.claims.settle(request);
  }

  override command(request: CommandRequest) {
    return this.parts.operators.command(request);
  }

  override read(request: ReadRequest) {
    return this.parts.operators.read(request);
  }

  override submit(request: SubmitRequest) {
    return this.parts.proposals.propose({type: 'submit-jobs', ...request});
  }

  override cancel(request: CancelRequest) {
    const body = {type: 'cancel-jobs' as const, ...request};
    return this.parts.proposals.propose(body, {idempotent: true});
  }

  override async jobs({team}: JobsRequest) {
    await this.parts.freshness.confirm();
    const all = listJobs(this.parts.replica.state().jobs);
    return {jobs: all.filter(job => job.team === team)};
  }
}

/** A sync that an entry host or a caller waits for. */
function isPressing({revision, use, roster}: SyncRequest): boolean {
  const short = Object.values(use).some(
    ({demand, ceiling}) => demand > ceiling,
  );
  return revision === 0 || short || roster.length > 0;
}

const CLOSED: SyncResponse = {ok: false, code: 'session-closed'};

function isOpen(state: State, session: string): boolean {
  return state.sessions[session]?.phase === 'open';
}

function hasSlices(state: State, session: string): boolean {
  return Object.values(state.slices).some(held => Object.hasOwn(held, session));
}
