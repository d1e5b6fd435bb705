/** Control processes of a cluster: real replicas and roles on disks in memory. */
import {
  JsonCodec,
  PeerTransport,
  startRaft,
  type MemberChange,
  type PeerMessage,
  type RaftReplica,
} from '@lentildrift/consensus';
import {createControl, stateMachine, type Control} from '@lentildrift/control';
import type {Answer, Change, State} from '@lentildrift/model';
import {createLog, type Log} from '@lentildrift/observe';
import type {PeerService} from '@lentildrift/protocol';
import {MemoryDisk, MemoryStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';
import {createHash} from 'node:crypto';
import type {History} from '../history.js';
import {remotePeer, type Party} from './link.js';
import type {Network} from './network.js';
import {Owner} from './owner.js';
import type {Mechanisms} from './weak.js';

const SYNC_MS = 15;

export type Replica = RaftReplica<State, Change, Answer>;

export interface ControlHost {
  readonly name: string;
  member: string;
  disk: MemoryDisk;
  wipes: number;
  owner?: Owner;
  store?: MemoryStore;
  replica?: Replica;
  role?: Control;
  /** Clients of the other control processes, by member ID. */
  peers?: Map<string, PeerService>;
}

export interface ControlContext {
  readonly network: Network;
  readonly history: History;
  readonly hosts: ControlHost[];
  readonly founders: readonly string[];
  readonly mechanisms: Mechanisms;
  readonly snapshotEvery?: number;
  seed(): number;
  fail(text: string): void;
}

export function createControlHost(name: string): ControlHost {
  return {name, member: name, disk: new MemoryDisk(), wipes: 0};
}

/** Starts the process; it is up once the paused clock has advanced a little. */
export function startControl(context: ControlContext, host: ControlHost): void {
  if (host.owner) return;
  const owner = new Owner();
  host.owner = owner;
  owner.run(() => {
    boot(context, host, owner).catch(error => context.fail(String(error)));
  });
}

async function boot(
  context: ControlContext,
  host: ControlHost,
  owner: Owner,
): Promise<void> {
  const {network, hosts, mechanisms} = context;
  const {member, name} = host;
  const party: Party = {name, owner};
  const tasks = startTasks((task, error) =>
    context.fail(`${name}: ${task}: ${error.message}`),
  );
  const store = new MemoryStore(host.disk, {syncMs: SYNC_MS});
  host.store = store;
  owner.onEnd(() => store.crash());
  const replica: Replica = await startRaft({
    member,
    group: 'proof',
    seed: context.seed(),
    stateMachine: mechanisms.machine ?? stateMachine,
    codec: new JsonCodec<State, Change>(),
    store,
    transport: createTransport(context, party),
    tasks,
    initialVoters: context.founders,
    rules: mechanisms.rules,
    changesPerSnapshot: context.snapshotEvery,
    onFatal: error => {
      context.fail(`${name}: ${error.message}`);
      killControl(host);
    },
  });
  watch(context.history, member, replica);
  const peers = new Map<string, PeerService>();
  for (const other of hosts) {
    if (other === host) continue;
    peers.set(other.member, peerOf(network, party, other));
    // A host that lost its disk is known by its new member ID.
    if (other.peers && other.owner) {
      const back = {name: other.name, owner: other.owner};
      other.peers.set(member, peerOf(network, back, host));
    }
  }
  host.peers = peers;
  host.replica = replica;
  host.role = createControl({
    replica,
    tasks,
    log: quietLog(),
    peers,
    policy: mechanisms.policy,
  });
}

function peerOf(network: Network, from: Party, to: ControlHost): PeerService {
  return remotePeer(network, from, () => ({...to, service: to.role?.peer}));
}

function createTransport(
  {network, hosts}: ControlContext,
  party: Party,
): PeerTransport {
  const byMember = (id: string) => hosts.find(({member}) => member === id);
  class Transport extends PeerTransport {
    override send(to: string, messages: readonly PeerMessage[]): void {
      const target = byMember(to);
      if (!target) return;
      const from = hosts.find(({name}) => name === party.name)!.member;
      const text = JSON.stringify(messages);
      network.carry(party.name, target.name, () => {
        if (target.member !== to) return;
        target.owner?.enter(() => {
          target.replica?.receive(from, JSON.parse(text) as PeerMessage[]);
        });
      });
    }
  }
  return new Transport();
}

function watch(history: History, member: string, replica: Replica): void {
  const record = (state: State) => {
    const limits = Object.values(state.tables.teams).map(
      ({name, limit}) => [name, limit] as const,
    );
    history.record({
      type: 'applied',
      member,
      revision: state.revision,
      version: state.tables.version,
      digest: createHash('sha1').update(JSON.stringify(state)).digest('hex'),
      limits: Object.fromEntries(limits),
    });
  };
  replica.onApply(({state}) => record(state));
  let led = -1;
  replica.onStatusChange(({role, term}) => {
    if (role !== 'leader' || term === led) return;
    led = term;
    history.record({type: 'led', member, term});
  });
}

export function killControl(host: ControlHost): void {
  host.owner?.kill();
  delete host.owner;
  delete host.replica;
  delete host.role;
  delete host.peers;
}

/** Loses the disk; the host comes back under a new member ID. */
export function wipeControl(
  host: ControlHost,
  {reusesMemberId}: Mechanisms,
): void {
  killControl(host);
  host.disk = new MemoryDisk();
  host.wipes += 1;
  if (!reusesMemberId) host.member = `${host.name}-${host.wipes}`;
}

/** The newest leader that is up. */
export function leaderOf(
  hosts: readonly ControlHost[],
): ControlHost | undefined {
  return hosts
    .filter(({replica}) => replica?.status().role === 'leader')
    .sort((a, b) => b.replica!.status().term - a.replica!.status().term)[0];
}

/** The next step that puts `member` in the place of `old`, if one is left. */
export function nextChange(
  replica: Replica,
  member: string,
  old: string,
): MemberChange | undefined {
  const {voters, learners} = replica.status();
  if (!voters.includes(member)) {
    const type = learners.includes(member) ? 'promote' : 'add-learner';
    return {type, member};
  }
  const stays = member === old || !voters.includes(old);
  return stays ? undefined : {type: 'remove', member: old};
}

export function quietLog(): Log {
  return createLog('error', {}, () => undefined);
}
