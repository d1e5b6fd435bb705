/**
 * Test harness: the members of a control group with their membership tasks, on
 * hosts that can lose their process, power, network or disk.
 */
import {
  JsonCodec,
  PeerTransport,
  startRaft,
  type PeerMessage,
  type RaftReplica,
} from '@lentildrift/consensus';
import {
  createGroupMembership,
  memberName,
  MemberPeers,
  type GroupMembership,
} from '@lentildrift/control';
import {createLog} from '@lentildrift/observe';
import {PeerService, type JoinResponse} from '@lentildrift/protocol';
import {MemoryDisk, MemoryStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';
import {vi} from 'vitest';

/** The group accepts any text; its state is the sequence of changes. */
type Values = readonly string[];
type TestReplica = RaftReplica<Values, string, number>;

interface Process {
  readonly replica: TestReplica;
  readonly membership: GroupMembership;
  readonly store: MemoryStore;
}

export interface MemberHost {
  readonly name: string;
  member: string;
  disk: MemoryDisk;
  process: Process | undefined;
  /** Whether packets reach the host; a host without power is not connected. */
  isConnected: boolean;
}

const NETWORK_DELAY_MS = 1;
const SYNC_MS = 4;
/** Time-out of a request to a host that does not answer. */
const REQUEST_TIMEOUT_MS = 2000;
const STEP_MS = 50;

export class MemberGroup {
  readonly hosts: readonly MemberHost[];
  /** All sets of voters that a leader had, in order. */
  readonly voterSets: (readonly string[])[] = [];
  private readonly failures: string[] = [];
  private readonly tasks = startTasks((task, error) =>
    this.failures.push(`${task}: ${error.message}`),
  );
  private readonly log = createLog('error', {}, () => {});
  private starts = 0;

  /** Use `startMemberGroup` instead. */
  constructor(size: number) {
    this.hosts = Array.from({length: size}, (_, index) => ({
      name: `c${index + 1}`,
      member: `c${index + 1}~0`,
      disk: new MemoryDisk(),
      process: undefined,
      isConnected: true,
    }));
  }

  async start(host: MemberHost): Promise<void> {
    const {member} = host;
    const store = new MemoryStore(host.disk, {syncMs: SYNC_MS});
    const send = (to: string, messages: readonly PeerMessage[]) =>
      this.deliver(host, to, messages);
    const replica = await startRaft<Values, string, number>({
      member,
      group: 'g',
      seed: 7 * ++this.starts,
      stateMachine: {
        initial: [],
        apply: (state, change) => ({
          state: [...state, change],
          answer: state.length + 1,
        }),
        revision: state => state.length,
      },
      codec: new JsonCodec(),
      store,
      transport: new (class extends PeerTransport {
        override send = send;
      })(),
      tasks: this.tasks,
      onFatal: error => this.failures.push(`${member}: ${error.message}`),
    });
    replica.onStatusChange(({role, voters}) => {
      if (role === 'leader') this.voterSets.push(voters);
    });
    const peers = new MemberPeers();
    for (const other of this.hosts) {
      if (other === host) continue;
      const link = Object.create(PeerService.prototype) as PeerService;
      link.join = request => this.join(host, other, request.member);
      peers.set(other.name, link);
    }
    const {tasks, log} = this;
    const membership = createGroupMembership({replica, peers, tasks, log});
    host.process = {replica, membership, store};
  }

  private deliver(
    from: MemberHost,
    to: string,
    messages: readonly PeerMessage[],
  ): void {
    const target = this.hosts.find(({name}) => name === memberName(to));
    setTimeout(() => {
      if (!target || !from.isConnected || !target.isConnected) return;
      target.process?.replica.receive(messages[0]!.from, messages);
    }, NETWORK_DELAY_MS);
  }

  private async join(
    from: MemberHost,
    to: MemberHost,
    member: string,
  ): Promise<JoinResponse> {
    await new Promise(resolve => setTimeout(resolve, NETWORK_DELAY_MS));
    if (!from.isConnected || !to.isConnected) {
      await new Promise(resolve => setTimeout(resolve, REQUEST_TIMEOUT_MS));
      throw new Error('time-out');
    }
    if (!to.process) throw new Error('connection refused');
    const {membership, replica} = to.process;
    membership.handleJoinRequest(member);
    const status = replica.status();
    return {member: status.member, founded: status.voters.length > 0};
  }

  private endProcess(host: MemberHost): void {
    const {process} = host;
    if (!process) return;
    host.process = undefined;
    process.store.crash();
    process.replica.kill();
    void process.membership.stop();
  }

  /** Ends the process; the host refuses connections. */
  crash(host: MemberHost): void {
    this.endProcess(host);
  }

  /** Ends the process; the host no longer answers. */
  powerOff(host: MemberHost): void {
    this.endProcess(host);
    host.isConnected = false;
  }

  async powerOn(host: MemberHost): Promise<void> {
    host.isConnected = true;
    await this.start(host);
  }

  cut(host: MemberHost): void {
    host.isConnected = false;
  }

  heal(host: MemberHost): void {
    host.isConnected = true;
  }

  /** Empties the disk of a host that is off. */
  wipe(host: MemberHost): void {
    const [name, incarnation] = host.member.split('~');
    host.disk = new MemoryDisk();
    host.member = `${name}~${Number(incarnation) + 1}`;
  }

  /** The connected leader of the highest term. */
  leader(): MemberHost | undefined {
    const term = (host: MemberHost) => host.process!.replica.status().term;
    return this.hosts
      .filter(
        ({process, isConnected}) =>
          isConnected && process?.replica.isConfirmedLeader(),
      )
      .sort((a, b) => term(b) - term(a))[0];
  }

  /** Voters and learners according to the leader; empty without one. */
  members(): {
    readonly voters: readonly string[];
    readonly learners: readonly string[];
  } {
    const status = this.leader()?.process!.replica.status();
    return {voters: status?.voters ?? [], learners: status?.learners ?? []};
  }

  /** Running voters that do not lead. */
  followers(): MemberHost[] {
    const leader = this.leader();
    const {voters} = this.members();
    return this.hosts.filter(
      host => host !== leader && host.process && voters.includes(host.member),
    );
  }

  async advance(ms: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(ms);
    if (this.failures.length > 0) throw new Error(this.failures.join('; '));
  }

  /** Resolves with the time until the condition holds. */
  async timeUntil(condition: () => boolean, limitMs: number): Promise<number> {
    for (let waitedMs = 0; waitedMs <= limitMs; waitedMs += STEP_MS) {
      if (condition()) return waitedMs;
      await this.advance(STEP_MS);
    }
    return Infinity;
  }

  async stop(): Promise<void> {
    for (const host of this.hosts) this.endProcess(host);
    // Requests in progress end first.
    await vi.advanceTimersByTimeAsync(2 * REQUEST_TIMEOUT_MS);
    this.tasks.stop();
  }
}

/** Starts a group with all its members; the caller must use fake timers. */
export async function startMemberGroup(size: number): Promise<MemberGroup> {
  const group = new MemberGroup(size);
  for (const host of group.hosts) await group.start(host);
  const isComplete = () => {
    const {voters, learners} = group.members();
    return voters.length + learners.length === size;
  };
  if ((await group.timeUntil(isComplete, 30_000)) === Infinity) {
    throw new Error('the group is not complete');
  }
  await group.advance(2000);
  return group;
}
