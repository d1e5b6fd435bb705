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
import {createBurnRecorder, type BurnRecorder} from './burn.js';
import {createClaimBatcher, type ClaimBatcher} from './claims.js';
import {createReadBarrier, type ReadBarrier} from './barrier.js';
import {DemandPolicy, type LimitPolicy} from './policy.js';
import {createSliceAllocator, type SliceAllocator} from './allocator.js';
import type {StateReplica} from './machine.js';
import {
  createOperatorApi,
  type OperatorApi,
  type ReportProvider,
} from './operators.js';
import {
  LocalPeer,
  type JoinRequestHandler,
  type ConsensusMessageHandler,
} from './peer.js';
import {createProposer, type Peers, type Proposer} from './propose.js';
import {createRoster, type RosterTask} from './roster.js';
import {createUseReporter, type UseReporter} from './reporter.js';
import {createViewHistory, type ViewHistory} from './views.js';

export interface ControlOptions {
  readonly replica: StateReplica;
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Other control processes, by member ID. */
  readonly peers?: Peers;
  /** Takes consensus messages of other control processes. */
  readonly onMessages?: ConsensusMessageHandler;
  /** Takes members that ask to belong to the group. */
  readonly onJoinRequest?: JoinRequestHandler;
  readonly report?: ReportProvider;
  readonly policy?: LimitPolicy;
}

export interface Control {
  readonly control: ControlService;
  readonly peer: PeerService;
  readonly proposer: Proposer;
  /** Stops the tasks, not the replica. */
  stop(): Promise<void>;
}

/** Starts the control role over a replica. */
export function createControl(options: ControlOptions): Control {
  const {replica, tasks, log, peers = new Map()} = options;
  const {member} = replica.status();
  const proposer = createProposer({replica, peers, tasks});
  const freshness = createReadBarrier({replica, peers, tasks});
  const patience = createReadBarrier({replica, peers, tasks, patient: true});
  const policy = options.policy ?? new DemandPolicy();
  const limits = createSliceAllocator({replica, proposer, policy, tasks, log});
  const roster = createRoster({member, peers, tasks});
  const sessions = createUseReporter({member, replica, peers, limits, tasks});
  const views = createViewHistory(replica.state(), tasks);
  const claims = createClaimBatcher(tasks, proposer);
  const burn = createBurnRecorder(tasks);
  const report = options.report ?? (() => burn.report(replica.state()));
  const operators = createOperatorApi({
    replica,
    freshness,
    proposer,
    roster,
    report,
  });
  const parts: Parts = {
    replica,
    proposer,
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
  const {onMessages = () => undefined, onJoinRequest = () => undefined} =
    options;

  async function stop(): Promise<void> {
    // Tasks that others ask stop last.
    for (const part of [claims, burn, sessions, limits, roster, views]) {
      await part.stop();
    }
    await patience.stop();
    await freshness.stop();
    await proposer.stop();
  }

  return {
    control: new LocalControl(parts),
    peer: new LocalPeer({replica, limits, roster, onMessages, onJoinRequest}),
    proposer,
    stop,
  };
}

interface Parts {
  readonly replica: StateReplica;
  readonly proposer: Proposer;
  readonly freshness: ReadBarrier;
  /** For reads that may wait for the leader's next heartbeat. */
  readonly patience: ReadBarrier;
  readonly limits: SliceAllocator;
  readonly roster: RosterTask;
  readonly sessions: UseReporter;
  readonly views: ViewHistory;
  readonly claims: ClaimBatcher;
  readonly burn: BurnRecorder;
  readonly operators: OperatorApi;
}

class LocalControl extends ControlService {
  constructor(private readonly parts: Parts) {
    super();
  }

  override async openSession({
    entryHost,
  }: OpenSessionRequest): Promise<OpenSessionResponse> {
    const {proposer, replica} = this.parts;
    const session = randomUUID();
    await proposer.propose(
      {type: 'open-session', session, entryHost},
      {idempotent: true},
    );
    // The ID is unique, so a second run was refused only as a repetition.
    if (isOpen(replica.state(), session)) return {session};
    throw new ServiceError('unavailable', 'the session was not opened');
  }

  override async closeSession({session}: CloseSessionRequest): Promise<void> {
    const {proposer} = this.parts;
    const rest = {idempotent: true};
    await proposer.propose({type: 'close-session', session}, rest);
    // The entry has no work left: its slices need not wait.
    await proposer.propose({type: 'end-session', session}, rest);
  }

  override async sync(request: SyncRequest): Promise<SyncResponse> {
    const {burn, freshness, patience, replica, roster, sessions, views} =
      this.parts;
    const {session} = request;
    const known = hasSlices(replica.state(), session);
    // Others may wait for what this entry gave up: the leader hears of it now.
    if (known) sessions.record(request);
    const reads = isPressing(request) ? freshness : patience;
    const readIndex = await reads.confirm();
    if (!isOpen(replica.state(), session)) return CLOSED;
    roster.merge(request.roster, true);
    if (request.burn) burn.record(request.burn, request.sequence);
    if (!known) {
      // Without slices the entry could admit nothing until its next sync.
      await sessions.report(request).catch(() => undefined);
      // The leader has committed its slices; this replica may lag behind.
      await freshness.confirm();
    }
    const [useAnswer, news] = await Promise.all([
      sessions.answerFor(request),
      roster.deltaSince(request.rosterVersion),
    ]);
    const state = replica.state();
    if (!isOpen(state, session)) return CLOSED;
    return {
      ok: true,
      readIndex,
      ...(await views.deltaSince(state, request.revision, session)),
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
    return this.parts.proposer.propose({type: 'submit-jobs', ...request});
  }

  override cancel(request: CancelRequest) {
    const body = {type: 'cancel-jobs' as const, ...request};
    return this.parts.proposer.propose(body, {idempotent: true});
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
