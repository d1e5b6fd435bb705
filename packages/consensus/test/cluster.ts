/** A group of in-memory replicas whose hosts can crash and lose their disks. */
import {MemoryDisk, MemoryStore} from '@lentildrift/storage';
import {startTasks, type TaskSystem} from '@lentildrift/task';
import {
  JsonCodec,
  startRaft,
  type StateMachine,
  type MemberChange,
  type RaftReplica,
  type ReplicaStatus,
  type Rules,
} from '@lentildrift/consensus';
import {History} from './history.js';
import {Network, Random} from './network.js';

/** The state is the sequence of changes. */
export type Values = readonly string[];
export type TestReplica = RaftReplica<Values, string, number>;

export interface Host {
  readonly name: string;
  member: string;
  disk: MemoryDisk;
  store?: MemoryStore;
  replica?: TestReplica;
  /** Crash before or after a sync, having skipped `skip` syncs. */
  crashAt?: {point: 'before' | 'after'; skip: number};
}

export interface ClusterOptions {
  readonly seed: number;
  readonly size?: number;
  readonly rules?: Rules;
  readonly snapshotEvery?: number;
  /** Returns the member ID of a host after the given number of disk losses. */
  readonly memberId?: (host: string, wipes: number) => string;
  /** Called for each change that a member applies. */
  readonly onApplying?: () => void;
  /** Advances the time by `ms` milliseconds. */
  readonly advance: (ms: number) => Promise<unknown>;
}

const SYNC_MS = 2;

export class Cluster {
  readonly random: Random;
  readonly network: Network;
  readonly history = new History();
  readonly hosts: Host[];
  readonly failures: string[] = [];
  private readonly tasks: TaskSystem;
  private readonly memberId: (host: string, wipes: number) => string;
  private readonly initialVoters: string[];
  private readonly stateMachine: StateMachine<Values, string, number> = {
    initial: [],
    apply: (state, change) => {
      this.options.onApplying?.();
      return {state: [...state, change], answer: state.length + 1};
    },
    revision: state => state.length,
  };
  private wipes = 0;
  private startCount = 0;
  private readCount = 0;
  private proposalCount = 0;

  constructor(private readonly options: ClusterOptions) {
    this.random = new Random(options.seed);
    this.network = new Network(this.random);
    this.memberId = options.memberId ?? ((host, n) => `${host}${n || ''}`);
    this.hosts = Array.from({length: options.size ?? 3}, (_, i) => {
      const name = String.fromCharCode(97 + i);
      return {name, member: this.memberId(name, 0), disk: new MemoryDisk()};
    });
    this.initialVoters = this.hosts.map(({member}) => member);
    this.tasks = startTasks((task, error) =>
      this.failures.push(`${task}: ${error.message}`),
    );
  }

  async start(...hosts: Host[]): Promise<void> {
    for (const host of hosts.length > 0 ? hosts : this.hosts) {
      if (!host.replica) await this.startOne(host);
    }
  }

  kill(host: Host): void {
    host.store?.crash();
    host.replica?.kill();
    this.network.detach(host.member);
    delete host.replica;
    delete host.crashAt;
  }

  /** Kills a host, loses its disk and gives the host its next member ID. */
  wipe(host: Host): void {
    this.kill(host);
    host.disk = new MemoryDisk();
    host.member = this.memberId(host.name, ++this.wipes);
  }

  async stop(): Promise<void> {
    for (const host of this.hosts) this.kill(host);
    await this.options.advance(10);
    this.tasks.stop();
  }

  advance(ms: number): Promise<unknown> {
    return this.options.advance(ms);
  }

  liveHosts(): Host[] {
    return this.hosts.filter(({replica}) => replica);
  }

  leader(): Host | undefined {
    return this.liveHosts()
      .filter(({replica}) => replica!.status().role === 'leader')
      .sort((a, b) => b.replica!.status().term - a.replica!.status().term)[0];
  }

  host(name: string): Host {
    return this.hosts.find(host => host.name === name)!;
  }

  async waitForLeader(timeoutMs = 20_000): Promise<Host> {
    for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += 100) {
      const leader = this.leader();
      if (leader) return leader;
      await this.advance(100);
    }
    throw new Error(`no leader within ${timeoutMs} ms`);
  }

  /** Proposes a new change; resolves with whether it was acknowledged. */
  async propose(host: Host, size = 0): Promise<boolean> {
    const value = `v${++this.proposalCount}`.padEnd(size, '.');
    try {
      const {revision} = await host.replica!.propose(value);
      this.history.recordAcknowledged(value, revision);
      return true;
    } catch {
      return false;
    }
  }

  /** Reads, and checks that the read is not stale. */
  async read(host: Host): Promise<boolean> {
    const minRevision = this.history.acknowledgedRevision();
    // Every second read is patient: neither kind may be stale under any fault.
    const patient = this.readCount++ % 2 === 1;
    try {
      this.history.recordRead(
        minRevision,
        await host.replica!.readIndex({patient}),
      );
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Replaces the member `old` with the member of `host`. Resolves with whether
   * the replacement was committed in time.
   */
  async repair(host: Host, old: string, timeoutMs = 30_000): Promise<boolean> {
    // The next change is chosen anew each time, since a change that was not
    // committed can be undone.
    for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += 200) {
      const leader = this.leader();
      const replica = leader?.replica;
      const change = replica && nextChange(replica.status(), host.member, old);
      let committed = false;
      if (change) replica.changeMembers(change).catch(() => {});
      else if (leader) {
        // Once a later change is committed, the removal is committed as well.
        void this.propose(leader).then(done => (committed = done));
      }
      await this.advance(200);
      if (committed) return true;
    }
    return false;
  }

  private async startOne(host: Host): Promise<void> {
    const store = new MemoryStore(host.disk, {
      syncMs: SYNC_MS,
      onSync: point => {
        const crash = host.crashAt;
        if (crash?.point !== point) return;
        if (crash.skip-- <= 0) this.kill(host);
      },
    });
    const {member} = host;
    const replicaStart = startRaft<Values, string, number>({
      member,
      group: 'test',
      seed: this.options.seed * 1009 + ++this.startCount,
      stateMachine: this.stateMachine,
      codec: new JsonCodec(),
      store,
      transport: this.network.transport(member),
      tasks: this.tasks,
      initialVoters: this.initialVoters,
      rules: this.options.rules,
      changesPerSnapshot: this.options.snapshotEvery,
      onFatal: error => this.failures.push(`${member}: ${error.message}`),
    });
    await this.advance(SYNC_MS);
    const replica = await replicaStart;
    host.store = store;
    host.replica = replica;
    this.history.checkAll(member, replica.state());
    replica.onApply(({state}) => this.history.recordApplied(member, state));
    replica.onStatusChange(status => this.history.recordStatus(status));
    this.network.attach(member, (from, messages) =>
      replica.receive(from, messages),
    );
  }
}

function nextChange(
  {voters, learners}: ReplicaStatus,
  member: string,
  old: string,
): MemberChange | undefined {
  if (voters.includes(member)) {
    return voters.includes(old) ? {type: 'remove', member: old} : undefined;
  }
  const type = learners.includes(member) ? 'promote' : 'add-learner';
  return {type, member};
}
