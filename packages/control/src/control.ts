/** The control role: its tasks, and the services that call them. */
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
  /** Called with consensus messages from other control processes. */
  readonly onMessages?: ConsensusMessageHandler;
  /** Called with the ID of each member that asks to join the group. */
  readonly onJoinRequest?: JoinRequestHandler;
  /** Builds the `report` topic; the burn report by default. */
  readonly report?: ReportProvider;
  /** Divides limits between entry sessions; `DemandPolicy` by default. */
  readonly policy?: LimitPolicy;
}

export interface Control {
  readonly control: ControlService;
  readonly peer: PeerService;
  readonly proposer: Proposer;
  /** Stops the tasks, but not the replica. */
  stop(): Promise<void>;
}

/** Starts the control role over a replica. */
export function createControl(options: ControlOptions): Control {
  const {replica, tasks, log, peers = new Map()} = options;
  const {member} = replica.status();
  const proposer = createProposer({replica, peers, tasks});
  const readBarrier = createReadBarrier({replica, peers, tasks});
  const heartbeatReadBarrier = createReadBarrier({
    replica,
    peers,
    tasks,
    patient: true,
  });
  const policy = options.policy ?? new DemandPolicy();
  const allocator = createSliceAllocator({
    replica,
    proposer,
    policy,
    tasks,
    log,
  });
  const roster = createRoster({member, peers, tasks});
  const useReporter = createUseReporter({
    member,
    replica,
    peers,
    allocator,
    tasks,
  });
  const viewHistory = createViewHistory(replica.state(), tasks);
  const claimBatcher = createClaimBatcher(tasks, proposer);
  const burnRecorder = createBurnRecorder(tasks);
  const report = options.report ?? (() => burnRecorder.report(replica.state()));
  const operatorApi = createOperatorApi({
    replica,
    readBarrier,
    proposer,
    roster,
    report,
  });
  const components: Components = {
    replica,
    proposer,
    readBarrier,
    heartbeatReadBarrier,
    allocator,
    roster,
    useReporter,
    viewHistory,
    claimBatcher,
    burnRecorder,
    operatorApi,
  };
  const {onMessages = () => undefined, onJoinRequest = () => undefined} =
    options;

  async function stop(): Promise<void> {
    // Tasks that other tasks call are stopped last.
    for (const part of [
      claimBatcher,
      burnRecorder,
      useReporter,
      allocator,
      roster,
      viewHistory,
    ]) {
      await part.stop();
    }
    await heartbeatReadBarrier.stop();
    await readBarrier.stop();
    await proposer.stop();
  }

  return {
    control: new LocalControl(components),
    peer: new LocalPeer({
      replica,
      allocator,
      roster,
      onMessages,
      onJoinRequest,
    }),
    proposer,
    stop,
  };
}

interface Components {
  readonly replica: StateReplica;
  readonly proposer: Proposer;
  readonly readBarrier: ReadBarrier;
  /** For reads that may wait for the leader's next heartbeat. */
  readonly heartbeatReadBarrier: ReadBarrier;
  readonly allocator: SliceAllocator;
  readonly roster: RosterTask;
  readonly useReporter: UseReporter;
  readonly viewHistory: ViewHistory;
  readonly claimBatcher: ClaimBatcher;
  readonly burnRecorder: BurnRecorder;
  readonly operatorApi: OperatorApi;
}

class LocalControl extends ControlService {
  constructor(private readonly components: Components) {
    super();
  }

  override async openSession({
    entryHost,
  }: OpenSessionRequest): Promise<OpenSessionResponse> {
    const {proposer, replica} = this.components;
    const session = randomUUID();
    await proposer.propose(
      {type: 'open-session', session, entryHost},
      {idempotent: true},
    );
    // The answer is not checked: the ID is unique, so a refusal only means that
    // an earlier attempt of the same proposal opened the session.
    if (isOpen(replica.state(), session)) return {session};
    throw new ServiceError('unavailable', 'the session was not opened');
  }

  override async closeSession({session}: CloseSessionRequest): Promise<void> {
    const {proposer} = this.components;
    const proposeOptions = {idempotent: true};
    await proposer.propose({type: 'close-session', session}, proposeOptions);
    // The entry has no calls left, so its slices are freed without a delay.
    await proposer.propose({type: 'end-session', session}, proposeOptions);
  }

  override async sync(request: SyncRequest): Promise<SyncResponse> {
    const {
      burnRecorder,
      readBarrier,
      heartbeatReadBarrier,
      replica,
      roster,
      useReporter,
      viewHistory,
    } = this.components;
    const {session} = request;
    const hasSessionSlices = hasSlices(replica.state(), session);
    // Other entries may be waiting for slots that this entry released, so the
    // use is reported to the leader before the read barrier.
    if (hasSessionSlices) useReporter.record(request);
    const barrier = isUrgentSync(request) ? readBarrier : heartbeatReadBarrier;
    const readIndex = await barrier.confirm();
    if (!isOpen(replica.state(), session)) return SESSION_CLOSED;
    roster.merge(request.roster, true);
    if (request.burn) burnRecorder.record(request.burn, request.sequence);
    if (!hasSessionSlices) {
      // Without slices the entry could admit no call until its next sync, so
      // the leader is asked for slices before this sync is answered.
      await useReporter.report(request).catch(() => undefined);
      // The leader has committed the slices, but this replica may lag behind.
      await readBarrier.confirm();
    }
    const [useAnswer, rosterDelta] = await Promise.all([
      useReporter.answerFor(request),
      roster.deltaSince(request.rosterVersion),
    ]);
    const state = replica.state();
    if (!isOpen(state, session)) return SESSION_CLOSED;
    return {
      ok: true,
      readIndex,
      ...(await viewHistory.deltaSince(state, request.revision, session)),
      ...useAnswer,
      roster: rosterDelta.items,
      rosterVersion: rosterDelta.version,
    };
  }

  override claim(request: ClaimRequest) {
    return this.components.claimBatcher.claim(request);
  }

  override settle(request: SettleRequest) {
    return this.components.claimBatcher.settle(request);
  }

  override command(request: CommandRequest) {
    return this.components.operatorApi.command(request);
  }

  override read(request: ReadRequest) {
    return this.components.operatorApi.read(request);
  }

  override submit(request: SubmitRequest) {
    return this.components.proposer.propose({type: 'submit-jobs', ...request});
  }

  override cancel(request: CancelRequest) {
    const body = {type: 'cancel-jobs' as const, ...request};
    return this.components.proposer.propose(body, {idempotent: true});
  }

  override async jobs({team}: JobsRequest) {
    await this.components.readBarrier.confirm();
    const all = listJobs(this.components.replica.state().jobs);
    return {jobs: all.filter(job => job.team === team)};
  }
}

/**
 * Whether an entry host or a caller is waiting for the sync: the entry has no
 * state yet, is short of slots, or passes on announcements of upstreams.
 */
function isUrgentSync({revision, use, roster}: SyncRequest): boolean {
  const isShort = Object.values(use).some(
    ({demand, ceiling}) => demand > ceiling,
  );
  return revision === 0 || isShort || roster.length > 0;
}

const SESSION_CLOSED: SyncResponse = {ok: false, code: 'session-closed'};

function isOpen(state: State, session: string): boolean {
  return state.sessions[session]?.phase === 'open';
}

function hasSlices(state: State, session: string): boolean {
  return Object.values(state.slices).some(held => Object.hasOwn(held, session));
}
