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
  type ReplicaStatus,
} from '@lentildrift/consensus';
import {createLog} from '@lentildrift/observe';
import {MemoryDisk, MemoryStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';
import {vi} from 'vitest';
import {QueueRules} from '../src/control.js';
import {startMembership, type Membership} from '../src/membership.js';

/** The group accepts any text; its state is the sequence of changes. */
type Values = readonly string[];
type TestReplica = RaftReplica<Values, string, number>;

interface Process {
  readonly member: string;
  readonly replica: TestReplica;
  readonly membership: Membership;
  readonly store: MemoryStore;
}

export interface GroupHost {
  readonly address: string;
  disk: MemoryDisk;
  member: string;
  process: Process | undefined;
  /** Whether packets reach the host; a host without power is not connected. */
  isConnected: boolean;
  /** One-way delay of the host's packets. */
  delayMs: number;
  /** Duration of a sync of the host's disk. */
  syncMs: number;
}

/** Time without an answer after which a link counts as closed. */
const SILENCE_MS = 1100;
/** Time between the start of a process and its links to the others. */
const CONNECT_MS = 100;
const NETWORK_DELAY_MS = 1;
const SYNC_MS = 4;

export interface GroupOptions {
  readonly voterCount: number;
  /** Hosts beyond the voters; they join as learners. */
  readonly spares?: number;
}

export interface Group {
  readonly hosts: readonly GroupHost[];
  /** Adds a host with an empty disk at an address of its own, and starts it. */
  addHost(): Promise<GroupHost>;
  start(host: GroupHost): Promise<void>;
  /** Ends the process; the host answers that nothing listens. */
  crash(host: GroupHost): void;
  /**
   * Ends the process; the host no longer answers. The write that was not synced
   * is lost, unless the disk keeps it.
   */
  powerOff(host: GroupHost, loss?: {readonly keepsUnsynced: boolean}): void;
  /** Starts the process of a host that was off. */
  powerOn(host: GroupHost): Promise<void>;
  cut(host: GroupHost): void;
  heal(host: GroupHost): void;
  /** Empties the disk of a host that is off. */
  wipe(host: GroupHost): void;
  /** The connected leader of the highest term. */
  leader(): GroupHost | undefined;
  /** Membership according to the leader, or to the longest log without one. */
  status(): ReplicaStatus;
  /** Whether the loss of any one more running voter leaves a quorum. */
  toleratesLoss(): boolean;
  /** Rejects if an invariant was broken, such as one leader a term. */
  advance(ms: number): Promise<void>;
  stop(): Promise<void>;
}

/** Starts a group with all its voters; the caller must use fake timers. */
export async function startGroup(options: GroupOptions): Promise<Group> {
  const {voterCount, spares = 0} = options;
  const hosts: GroupHost[] = [];
  const log = createLog('error', {}, () => {});
  const failures: string[] = [];
  /** The member that led each term. */
  const leaders = new Map<number, string>();
  const tasks = startTasks((task, error) =>
    failures.push(`${task}: ${error.message}`),
  );
  /** When the link between two addresses last changed, by both addresses. */
  const linkChanges = new Map<string, {open: boolean; atMs: number}>();
  let starts = 0;

  function hostAt(address: string): GroupHost | undefined {
    return hosts.find(host => host.address === address);
  }

  function canReach(from: GroupHost, to: GroupHost): boolean {
    return from === to || (from.isConnected && to.isConnected);
  }

  /** Whether the link is open, as seen from the host `from`. */
  function isLinkOpen(from: GroupHost, to: GroupHost): boolean {
    const key = `${from.address} ${to.address}`;
    const open = canReach(from, to) && to.process !== undefined;
    const last = linkChanges.get(key);
    if (last?.open !== open) {
      linkChanges.set(key, {open, atMs: performance.now()});
    }
    const sinceMs = performance.now() - linkChanges.get(key)!.atMs;
    if (open) return sinceMs >= CONNECT_MS;
    // A host that still has power closes its connections at once.
    return !canReach(from, to) && last !== undefined && sinceMs < SILENCE_MS;
  }

  function observeLinks(): void {
    for (const from of hosts) for (const to of hosts) isLinkOpen(from, to);
  }

  function send(from: GroupHost, to: string, messages: readonly PeerMessage[]) {
    const target = hostAt(to.slice(0, to.indexOf('/')));
    if (!target) return;
    setTimeout(
      () => {
        if (!canReach(from, target)) return;
        target.process?.replica.receive(messages[0]!.from, messages);
      },
      Math.max(from.delayMs, target.delayMs),
    );
  }

  async function start(host: GroupHost): Promise<void> {
    const {member} = host;
    const store = new MemoryStore(host.disk, {
      get syncMs() {
        return host.syncMs;
      },
    });
    const replica = await startRaft<Values, string, number>({
      member,
      group: 'g',
      seed: 7 * ++starts,
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
        override send = (to: string, messages: readonly PeerMessage[]) =>
          send(host, to, messages);
      })(),
      tasks,
      rules: new QueueRules(),
      onFatal: error => failures.push(`${member}: ${error.message}`),
    });
    const membership = startMembership({
      replica,
      tasks,
      log,
      canBootstrap: starts === 1,
      voterCount,
      isReachable(id) {
        const target = hostAt(id.slice(0, id.indexOf('/')));
        return target?.member === id && isLinkOpen(host, target);
      },
      dataCentreOf: id => id.slice(0, id.indexOf('/')),
      leaderMembers() {
        const status = reportedLeader(host)?.process?.replica.status();
        if (status?.role !== 'leader') return undefined;
        return [...status.voters, ...status.learners];
      },
      requestToJoin(id) {
        const leader = reportedLeader(host);
        setTimeout(
          () => leader?.process?.membership.admit(id),
          NETWORK_DELAY_MS,
        );
      },
    });
    host.process = {member, replica, membership, store};
    replica.onStatusChange(({role, term}) => {
      if (role !== 'leader') return;
      const other = leaders.get(term);
      if (other !== undefined && other !== member) {
        failures.push(`${other} and ${member} lead term ${term}`);
      }
      leaders.set(term, member);
    });
    observeLinks();
  }

  /** The leader of the highest term that any reachable process knows. */
  function reportedLeader(from: GroupHost): GroupHost | undefined {
    const latest = hosts
      .filter(host => host.process && isLinkOpen(from, host))
      .map(host => host.process!.replica.status())
      .filter(({leader}) => leader !== undefined)
      .sort((a, b) => b.term - a.term)[0];
    const address = latest?.leader!.slice(0, latest.leader!.indexOf('/'));
    const host = address === undefined ? undefined : hostAt(address);
    return host && isLinkOpen(from, host) ? host : undefined;
  }

  function endProcess(host: GroupHost, loss = {keepsUnsynced: false}): void {
    const {process} = host;
    if (!process) return;
    host.process = undefined;
    process.store.crash(loss);
    process.replica.kill();
    void process.membership.stop();
  }

  function leader(): GroupHost | undefined {
    const term = (host: GroupHost) => host.process!.replica.status().term;
    return hosts
      .filter(
        ({process, isConnected}) =>
          isConnected && process?.replica.isConfirmedLeader(),
      )
      .sort((a, b) => term(b) - term(a))[0];
  }

  function status(): ReplicaStatus {
    const host =
      leader() ??
      hosts
        .filter(({process}) => process)
        .sort(
          (a, b) =>
            b.process!.replica.status().term - a.process!.replica.status().term,
        )[0];
    return host!.process!.replica.status();
  }

  function toleratesLoss(): boolean {
    if (!leader()) return false;
    const {voters} = status();
    const running = hosts.filter(
      ({process, isConnected, member}) =>
        process && isConnected && voters.includes(member),
    );
    return running.length - 1 >= Math.floor(voters.length / 2) + 1;
  }

  async function advance(ms: number): Promise<void> {
    observeLinks();
    await vi.advanceTimersByTimeAsync(ms);
    if (failures.length > 0) throw new Error(failures.join('; '));
  }

  async function addHost(): Promise<GroupHost> {
    const address = `10.0.0.${hosts.length + 1}:1`;
    const host: GroupHost = {
      address,
      disk: new MemoryDisk(),
      member: `${address}/0`,
      process: undefined,
      isConnected: true,
      delayMs: NETWORK_DELAY_MS,
      syncMs: SYNC_MS,
    };
    hosts.push(host);
    await start(host);
    return host;
  }

  async function waitFor(condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition(); waitedMs += 50) {
      if (waitedMs > 10_000) throw new Error('the group is not complete');
      await advance(50);
    }
  }

  const group: Group = {
    hosts,
    addHost,
    start,
    crash(host) {
      endProcess(host);
      observeLinks();
    },
    powerOff(host, loss) {
      endProcess(host, loss);
      host.isConnected = false;
      observeLinks();
    },
    async powerOn(host) {
      host.isConnected = true;
      await start(host);
    },
    cut(host) {
      host.isConnected = false;
      observeLinks();
    },
    heal(host) {
      host.isConnected = true;
      observeLinks();
    },
    wipe(host) {
      host.disk = new MemoryDisk();
      const wipes = Number(host.member.slice(host.member.indexOf('/') + 1)) + 1;
      host.member = `${host.address}/${wipes}`;
    },
    leader,
    status,
    toleratesLoss,
    advance,
    async stop() {
      for (const host of hosts) endProcess(host);
      await vi.advanceTimersByTimeAsync(10);
      tasks.stop();
    },
  };

  for (let index = 0; index < voterCount; index++) await addHost();
  await waitFor(() => group.status().voters.length === voterCount);
  for (let index = 0; index < spares; index++) await addHost();
  await waitFor(() => group.status().learners.length === spares);
  await advance(2000);
  return group;
}
