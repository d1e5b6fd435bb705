/** A control process of the queue system: one member of the replicated log. */
import {
  PeerMessage,
  PeerTransport,
  Rules,
  startRaft,
  type StateMachine,
  type ReplicaStatus,
} from '@lentildrift/consensus';
import type {Intake} from '@lentildrift/intake-limits';
import {startLinkServer} from '@lentildrift/link';
import type {Log, Metrics} from '@lentildrift/observe';
import {
  apply,
  Change,
  EMPTY_STATE,
  type Outcome,
  type State,
} from '@lentildrift/queue';
import type {LogStore} from '@lentildrift/storage';
import type {TaskSystem} from '@lentildrift/task';
import {randomBytes, randomInt} from 'node:crypto';
import {z} from 'zod';
import {MAX_CHANGE_CHARS, QueueCodec} from './codec.js';
import {ControlService} from './control-service.js';
import type {WorkerDriver} from './driver.js';
import {createEditSender} from './edit.js';
import {createHostOrderGuard} from './host-order-guard.js';
import {followLeadership, type QueueRaft} from './leadership.js';
import {startMemberReport} from './member-report.js';
import {startMembership, voterCountFor} from './membership.js';
import {
  addressOf,
  createMesh,
  STATUS,
  type GroupStatus,
  type Mesh,
} from './mesh.js';
import {
  createPolicies,
  parsePolicyNames,
  type PolicyNames,
} from './policies.js';
import type {Adviser, HostProvider} from './provider.js';
import {MAX_DIRECT_WORKERS, RelayedWorkerDriver} from './relayed-driver.js';
import {Envelope} from './remote.js';
import type {QueueService} from './request.js';
import {createStallWatch} from './stall.js';
import {ORDER_TIMEOUT_MS} from './timing.js';
import {WorkerCall} from './worker-call.js';
import {createWorkerRelay} from './worker-relay.js';

/**
 * Raft timing for hosts with network delays of a few milliseconds. A change of
 * leader takes about a second, well within the lease of the workers' runs.
 */
export class QueueRules extends Rules {
  override readonly heartbeatIntervalMs = 100;
  override readonly minElectionTimeoutMs = 550;
  override readonly maxElectionTimeoutMs = 950;
  override readonly startupTimeoutFactor = 0.35;
  override readonly maxChangeBytes = MAX_CHANGE_CHARS;
  /** Callers ask for the phases of their jobs hundreds of times a second. */
  override readonly readIntervalMs = 20;
  /** Only the leader's state answers callers, so the others need not hurry. */
  override readonly changeStreamGapMs = 50;
}

/** The replicated state machine of the queues. */
export const queueMachine: StateMachine<State, Change, readonly Outcome[]> = {
  initial: EMPTY_STATE,
  apply(state, change) {
    const {state: next, outcomes} = apply(state, change);
    return {state: next, answer: outcomes};
  },
  revision: state => state.revision,
};

export interface QueueControlOptions {
  /** ID of this member; begins with its link address. */
  readonly member: string;
  readonly store: LogStore;
  /** Link addresses of the seeds; they may change. */
  seeds(): readonly string[];
  /** Voters of the group if it is new; see `MemberIdentity`. */
  readonly initialVoters: readonly string[];
  /** Number of hosts that may lose their disks at the same time. */
  readonly toleratedDiskLosses: number;
  /** Calls workers from this process. */
  readonly driver: WorkerDriver;
  /** Data centre of this process. */
  readonly dataCentre: string;
  readonly hosts: HostProvider;
  readonly adviser: Adviser;
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Name under which this process calls the host provider. */
  readonly holder: string;
  /** Largest number of workers while this process leads; or the default. */
  readonly maxWorkers?: number;
  /** Bounds what peers may take through links; unbounded if absent. */
  readonly intake?: Intake;
  readonly rules?: Rules;
  /** The scheduling policies of this process while it leads; or the defaults. */
  readonly policies?: PolicyNames;
  /**
   * Called when the process must exit because it can no longer store what it
   * has accepted.
   */
  onFatal(error: Error): void;
}

export interface QueueControl {
  readonly service: QueueService;
  status(): ReplicaStatus;
  /** Whether this process leads; see `Replica.isConfirmedLeader`. */
  isConfirmedLeader(): boolean;
  /** Reads `seeds` again and opens or closes links accordingly. */
  refreshSeeds(): void;
  stop(): Promise<void>;
}

/** Exclusive upper bound of the replica's random seed. */
const MAX_RANDOM_SEED = 2 ** 31 - 1;
/** Kind of the link messages that carry Raft messages. */
const RAFT_KIND = 'raft';
/** Kind of the link messages that ask the leader to add the sender. */
const JOIN_KIND = 'join';
const GROUP_NAME = 'lentildrift';
const MessageBatch = z.array(PeerMessage);
/** A request that a control process receives through a link. */
const PeerRequest = z.discriminatedUnion('type', [Envelope, WorkerCall]);

/** Rejects if the store is corrupt or the port for links is in use. */
export async function startQueueControl(
  options: QueueControlOptions,
): Promise<QueueControl> {
  const {member, tasks, log} = options;
  const self = addressOf(member);
  const [host = '', port = ''] = self.split(':');
  const processId = `${member}#${randomBytes(4).toString('hex')}`;
  const mesh = createMesh({
    name: member,
    self,
    seeds: options.seeds,
    tasks,
    log,
    onChange: () => {},
  });
  const report = startMemberReport(options);
  const replica = await startRaft({
    member,
    group: GROUP_NAME,
    seed: randomInt(MAX_RANDOM_SEED),
    stateMachine: queueMachine,
    codec: new QueueCodec(),
    store: report.store,
    initialVoters: options.initialVoters,
    transport: new MeshTransport(mesh, member),
    tasks,
    rules: options.rules ?? new QueueRules(),
    onFatal: options.onFatal,
  });
  const hostOrderGuard = createHostOrderGuard({
    replica,
    processId,
    hasProcessEnded(other) {
      const address = addressOf(other);
      if (address === self) return other !== processId;
      const current = mesh.processIdAt(address);
      return current !== undefined && current !== other;
    },
  });
  const term = () => replica.status().term;
  const relay = createWorkerRelay({
    driver: options.driver,
    stalls: createStallWatch(ORDER_TIMEOUT_MS),
    term,
    leads: () => replica.status().role === 'leader',
  });
  const driver = new RelayedWorkerDriver({
    direct: options.driver,
    peers: () => mesh.peers(),
    maxDirectWorkers: MAX_DIRECT_WORKERS,
    term,
    isServedForOthers: target => relay.serves(target),
    log,
    metrics: options.metrics,
  });
  const leadership = followLeadership({
    ...options,
    ...createPolicies(options.policies ?? parsePolicyNames('')),
    driver,
    processId,
    hostOrderGuard,
    replica,
    onLeading: () => server.broadcast(STATUS, groupStatus()),
  });
  const editSender = createEditSender({...options, replica});
  const service = new ControlService(leadership, mesh, log, editSender);

  function groupStatus(): GroupStatus {
    const {term, leader, voters, learners} = replica.status();
    return {
      member,
      process: processId,
      term,
      voters: [...voters],
      learners: [...learners],
      dataCentre: options.dataCentre,
      isServing: leadership.isLeading(),
      ...(leader !== undefined && {leader}),
    };
  }

  const server = await startLinkServer({
    host,
    port: Number(port),
    tasks,
    log,
    intake: options.intake,
    initialPost: () => ({kind: STATUS, body: groupStatus()}),
    // A peer that connects has just started, so the link to it reconnects at
    // once, and requests that wait for the peer need not wait longer.
    onPeerConnect: from => mesh.linkTo(addressOf(from))?.reconnect(),
    async onRequest(_from, body) {
      const request = PeerRequest.parse(body);
      if (request.type === 'request') return service.handleEnvelope(request);
      report.countRelayedCall();
      return relay.handle(request);
    },
    onPost(from, kind, body) {
      if (kind === RAFT_KIND) receiveBatch(replica, from, body, log);
      else if (kind === JOIN_KIND) membership.admit(from);
    },
  });
  const membership = startMembership({
    replica,
    tasks,
    log,
    voterCount: voterCountFor(options.toleratedDiskLosses),
    isReachable: id => mesh.peers().get(addressOf(id))?.member === id,
    dataCentreOf: id =>
      id === member
        ? options.dataCentre
        : mesh.peers().get(addressOf(id))?.dataCentre,
    leaderMembers: mesh.leaderMembers,
    requestToJoin: () => mesh.leaderLink()?.post(JOIN_KIND, {}),
  });
  const unsubscribe = replica.onStatusChange(status => {
    log.info('role', {
      role: status.role,
      term: status.term,
      leader: status.leader,
      voters: status.voters.length,
      learners: status.learners.length,
    });
    mesh.refresh([...status.voters, ...status.learners]);
    leadership.update();
    server.broadcast(STATUS, groupStatus());
  });
  const {voters, learners, revision} = replica.status();
  log.info('member-loaded', {
    member,
    revision,
    voters: voters.join(','),
    learners: learners.join(','),
  });
  mesh.refresh([...voters, ...learners]);
  leadership.update();

  return {
    service,
    status: () => replica.status(),
    isConfirmedLeader: () => replica.isConfirmedLeader(),
    refreshSeeds: () => mesh.refresh(),
    async stop() {
      relay.stop();
      report.stop();
      await membership.stop();
      await replica.stop();
      unsubscribe();
      hostOrderGuard.stop();
      await leadership.stop();
      await server.stop();
      await mesh.stop();
    },
  };
}

function receiveBatch(
  replica: QueueRaft,
  from: string,
  body: unknown,
  log: Log,
): void {
  const messages = MessageBatch.safeParse(body);
  if (messages.success) replica.receive(from, messages.data);
  else log.warn('peer-unreadable', {peer: from});
}

/** Sends Raft messages through the links of the mesh. */
class MeshTransport extends PeerTransport {
  constructor(
    private readonly mesh: Mesh,
    private readonly member: string,
  ) {
    super();
  }

  override send(to: string, messages: readonly PeerMessage[]): void {
    if (to === this.member) return;
    this.mesh.linkTo(addressOf(to))?.post(RAFT_KIND, messages);
  }
}
