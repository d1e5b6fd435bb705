/** A control process of the queues: one member of the replicated log. */
import {
  JsonCodec,
  NotLeader,
  PeerMessage,
  PeerTransport,
  Rules,
  startRaft,
  type StateMachine,
  type RaftReplica,
  type ReplicaStatus,
} from '@lentildrift/consensus';
import {startLinkServer} from '@lentildrift/link';
import type {Log, Metrics} from '@lentildrift/observe';
import {
  apply,
  Change,
  EMPTY_STATE,
  fromStored,
  StoredState,
  toStored,
  type Outcome,
  type State,
} from '@lentildrift/queue';
import type {LogStore} from '@lentildrift/storage';
import type {TaskSystem} from '@lentildrift/task';
import {randomBytes, randomInt} from 'node:crypto';
import {z} from 'zod';
import type {WorkerDriver} from './driver.js';
import {createHostOrderGuard, type HostOrderGuard} from './host-order-guard.js';
import {startLeader, type Leader} from './leader.js';
import {createLocalQueues, type LocalQueues} from './local.js';
import {startMembership} from './membership.js';
import {
  addressOf,
  createMesh,
  STATUS,
  type GroupStatus,
  type Mesh,
} from './mesh.js';
import type {Adviser, HostProvider} from './provider.js';
import {Envelope, RemoteService, type EnvelopeReply} from './remote.js';
import {QueueService, refuse, type Reply, type Request} from './request.js';

/** Voters that survive the loss of `losses` of them. */
export function voterCountFor(losses: number): number {
  return 2 * Math.max(1, losses) + 1;
}

/**
 * Timing between hosts whose delays are a few milliseconds: a change of leader
 * takes about a second, well within the lease of the workers' runs.
 */
export class QueueRules extends Rules {
  override readonly heartbeatIntervalMs = 100;
  override readonly minElectionTimeoutMs = 550;
  override readonly maxElectionTimeoutMs = 950;
  override readonly startupTimeoutFactor = 0.35;
  /** A batch of events, or one edit of large tables. */
  override readonly maxChangeBytes = 4 * 1024 * 1024;
}

class StateCodec extends JsonCodec<State, Change> {
  constructor() {
    super({change: Change});
  }

  override encodeState(state: State): string {
    return JSON.stringify(toStored(state));
  }

  override decodeState(text: string): State {
    return fromStored(StoredState.parse(JSON.parse(text)));
  }
}

export const queueMachine: StateMachine<State, Change, readonly Outcome[]> = {
  initial: EMPTY_STATE,
  apply(state, change) {
    const {state: next, outcomes} = apply(state, change);
    return {state: next, answer: outcomes};
  },
  revision: state => state.revision,
};

export interface QueueControlOptions {
  /** ID of this member; begins with its address for links. */
  readonly member: string;
  readonly store: LogStore;
  /** Addresses of the seeds for links; they may change. */
  seeds(): readonly string[];
  /** Whether this is the first start of the whole system. */
  readonly firstStart: boolean;
  /** Hosts with a disk that may be lost at once. */
  readonly toleratedDiskLosses: number;
  readonly driver: WorkerDriver;
  readonly hosts: HostProvider;
  readonly adviser: Adviser;
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Name of this process towards the provider of hosts. */
  readonly holder: string;
  readonly rules?: Rules;
  /** The process must exit: it can no longer keep what it accepted. */
  onFatal(error: Error): void;
}

export interface QueueControl {
  readonly service: QueueService;
  status(): ReplicaStatus;
  /** Whether this process leads, see `Replica.isConfirmedLeader`. */
  isConfirmedLeader(): boolean;
  refreshSeeds(): void;
  stop(): Promise<void>;
}

/** Pause after a failed confirmation, if this process still leads. */
const PREPARE_RETRY_MS = 50;
const MAX_SEED = 2 ** 31 - 1;
const RAFT = 'raft';
const JOIN = 'join';
const GROUP = 'lentildrift';
const Batch = z.array(PeerMessage);

type QueueRaft = RaftReplica<State, Change, readonly Outcome[]>;

/** Rejects if the store is damaged or the port for links is taken. */
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
  const replica = await startRaft({
    member,
    group: GROUP,
    seed: randomInt(MAX_SEED),
    stateMachine: queueMachine,
    codec: new StateCodec(),
    store: options.store,
    transport: new MeshTransport(mesh, member),
    tasks,
    rules: options.rules ?? new QueueRules(),
    onFatal: options.onFatal,
  });
  const hostOrderGuard = createHostOrderGuard({
    replica,
    processId,
    hasEnded(other) {
      const address = addressOf(other);
      if (address === self) return other !== processId;
      const now = mesh.processIdAt(address);
      return now !== undefined && now !== other;
    },
  });
  const leadership = followLeadership(
    {...options, processId, hostOrderGuard},
    replica,
  );
  const service = new ControlService(leadership, mesh, log);
  const server = await startLinkServer({
    host,
    port: Number(port),
    tasks,
    log,
    initialPost: () => ({kind: STATUS, body: statusOf(replica, processId)}),
    // A peer that has just started: what waits for it need not wait longer.
    onPeerConnect: from => mesh.linkTo(addressOf(from))?.reconnect(),
    onRequest: (_from, body) => service.takeEnvelope(Envelope.parse(body)),
    onPost(from, kind, body) {
      if (kind === RAFT) receive(replica, from, body, log);
      else if (kind === JOIN) membership.admit(from);
    },
  });
  const membership = startMembership({
    replica,
    tasks,
    log,
    canBootstrap: options.firstStart && [...options.seeds()].sort()[0] === self,
    voterCount: voterCountFor(options.toleratedDiskLosses),
    isReachable: id => mesh.linkTo(addressOf(id))?.isOpen() ?? false,
    requestToJoin: () => mesh.leaderLink()?.post(JOIN, {}),
  });
  const unobserve = replica.onStatusChange(status => {
    log.info('role', {
      role: status.role,
      term: status.term,
      leader: status.leader,
      voters: status.voters.length,
      learners: status.learners.length,
    });
    mesh.refresh([...status.voters, ...status.learners]);
    server.broadcast(STATUS, statusOf(replica, processId));
    leadership.update();
  });
  const {voters, learners} = replica.status();
  mesh.refresh([...voters, ...learners]);
  leadership.update();

  return {
    service,
    status: () => replica.status(),
    isConfirmedLeader: () => replica.isConfirmedLeader(),
    refreshSeeds: () => mesh.refresh(),
    async stop() {
      await membership.stop();
      await replica.stop();
      unobserve();
      hostOrderGuard.stop();
      await leadership.stop();
      await server.stop();
      await mesh.stop();
    },
  };
}

function statusOf(replica: QueueRaft, processId: string): GroupStatus {
  const {member, term, leader, voters, learners} = replica.status();
  return {
    member,
    process: processId,
    term,
    voters: [...voters],
    learners: [...learners],
    ...(leader !== undefined && {leader}),
  };
}

function receive(
  replica: QueueRaft,
  from: string,
  body: unknown,
  log: Log,
): void {
  const messages = Batch.safeParse(body);
  if (messages.success) replica.receive(from, messages.data);
  else log.warn('peer-unreadable', {peer: from});
}

class MeshTransport extends PeerTransport {
  constructor(
    private readonly mesh: Mesh,
    private readonly member: string,
  ) {
    super();
  }

  override send(to: string, messages: readonly PeerMessage[]): void {
    if (to === this.member) return;
    this.mesh.linkTo(addressOf(to))?.post(RAFT, messages);
  }
}

interface Leadership {
  /** The queues, while this process leads and is ready. */
  queues(): LocalQueues | undefined;
  update(): void;
  stop(): Promise<void>;
}

/** Starts and ends the leader's task as leadership comes and goes. */
function followLeadership(
  options: QueueControlOptions & {
    processId: string;
    hostOrderGuard: HostOrderGuard;
  },
  replica: QueueRaft,
): Leadership {
  const {log} = options;
  let current: {term: number; leader: Leader; queues: LocalQueues} | undefined;
  let preparing: number | undefined;

  /**
   * A group that is being founded accepts nothing before the loss of a disk
   * can be borne; later it never has fewer voters.
   */
  function isFormed(voters: readonly string[]): boolean {
    const {seeds, toleratedDiskLosses} = options;
    return (
      voters.length >=
      Math.min(voterCountFor(toleratedDiskLosses), seeds().length)
    );
  }

  function update(): void {
    const {role, term, voters} = replica.status();
    const leads = role === 'leader' && isFormed(voters);
    if (current && (!leads || current.term !== term)) {
      const {leader} = current;
      current = undefined;
      log.info('not-leading', {term});
      void leader.stop();
    }
    if (!leads || current || preparing === term) return;
    preparing = term;
    void prepare(term);
  }

  /** The state is complete once an entry of the own term is applied. */
  async function prepare(term: number): Promise<void> {
    try {
      await replica.waitForRevision(await replica.readIndex());
    } catch (error) {
      log.info('leadership-unconfirmed', {
        term,
        reason: (error as Error).message,
      });
      preparing = undefined;
      setTimeout(update, PREPARE_RETRY_MS);
      return;
    }
    preparing = undefined;
    const status = replica.status();
    if (status.role !== 'leader' || status.term !== term) return;
    const leader = startLeader({
      ...options,
      replica,
      token: term,
      isLeader: () =>
        replica.status().term === term && replica.isConfirmedLeader(),
    });
    const queues = createLocalQueues({...options, replica, leader});
    current = {term, leader, queues};
  }

  return {
    queues: () => current?.queues,
    update,
    async stop() {
      await current?.leader.stop();
      current = undefined;
    },
  };
}

/** Asks the queues here while this process leads, and the leader otherwise. */
class ControlService extends QueueService {
  private readonly remote: RemoteService;

  constructor(
    private readonly leadership: Leadership,
    mesh: Mesh,
    private readonly log: Log,
  ) {
    super();
    this.remote = new RemoteService({
      mesh,
      log,
      handleLocally: (id, request) => this.handleHere(id, request),
    });
  }

  override handle(
    id: string,
    request: Request,
    budgetMs: number,
  ): Promise<Reply> {
    return this.remote.handle(id, request, budgetMs);
  }

  async takeEnvelope(envelope: Envelope): Promise<EnvelopeReply> {
    const {id, request, relay} = envelope;
    const reply = await this.handleHere(id, request);
    if (reply) return {type: 'reply', reply};
    return relay ? this.remote.relay(envelope) : {type: 'not-leader'};
  }

  /** Undefined if this process does not lead and has done nothing. */
  private async handleHere(
    id: string,
    request: Request,
  ): Promise<Reply | undefined> {
    const queues = this.leadership.queues();
    if (!queues) return undefined;
    try {
      return await queues.handle(id, request);
    } catch (error) {
      if (error instanceof NotLeader) return undefined;
      this.log.info('request-unsettled', {
        request: id,
        reason: (error as Error).message,
      });
      return refuse('unavailable', (error as Error).message, {
        verdict: 'may-have-run',
      });
    }
  }
}
