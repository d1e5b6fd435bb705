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
import {createPeerClient, type Endpoint} from './rpc.js';
import type {Network} from './network.js';
import {SimulatedProcess} from './process.js';
import type {Mechanisms} from './weakened.js';

const SYNC_MS = 15;

export type Replica = RaftReplica<State, Change, Answer>;

export interface ControlHost {
  readonly name: string;
  member: string;
  disk: MemoryDisk;
  wipeCount: number;
  process?: SimulatedProcess;
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
  readonly initialVoters: readonly string[];
  readonly mechanisms: Mechanisms;
  readonly changesPerSnapshot?: number;
  nextSeed(): number;
  reportFailure(text: string): void;
}

export function createControlHost(name: string): ControlHost {
  return {name, member: name, disk: new MemoryDisk(), wipeCount: 0};
}

/** Starts the process; it is up once the paused clock has advanced a little. */
export function startControl(context: ControlContext, host: ControlHost): void {
  if (host.process) return;
  const process = new SimulatedProcess();
  host.process = process;
  process.run(() => {
    boot(context, host, process).catch(error =>
      context.reportFailure(String(error)),
    );
  });
}

async function boot(
  context: ControlContext,
  host: ControlHost,
  process: SimulatedProcess,
): Promise<void> {
  const {network, hosts, mechanisms} = context;
  const {member, name} = host;
  const endpoint: Endpoint = {name, process};
  const tasks = startTasks((task, error) =>
    context.reportFailure(`${name}: ${task}: ${error.message}`),
  );
  const store = new MemoryStore(host.disk, {syncMs: SYNC_MS});
  host.store = store;
  process.onExit(() => store.crash());
  const replica: Replica = await startRaft({
    member,
    group: 'proof',
    seed: context.nextSeed(),
    stateMachine: mechanisms.stateMachine ?? stateMachine,
    codec: new JsonCodec<State, Change>(),
    store,
    transport: createTransport(context, endpoint),
    tasks,
    initialVoters: context.initialVoters,
    rules: mechanisms.rules,
    changesPerSnapshot: context.changesPerSnapshot,
    onFatal: error => {
      context.reportFailure(`${name}: ${error.message}`);
      killControl(host);
    },
  });
  watch(context.history, member, replica);
  const peers = new Map<string, PeerService>();
  for (const other of hosts) {
    if (other === host) continue;
    peers.set(other.member, peerOf(network, endpoint, other));
    // A host that lost its disk is known by its new member ID.
    if (other.peers && other.process) {
      const back = {name: other.name, process: other.process};
      other.peers.set(member, peerOf(network, back, host));
    }
  }
  host.peers = peers;
  host.replica = replica;
  host.role = createControl({
    replica,
    tasks,
    log: createSilentLog(),
    peers,
    policy: mechanisms.policy,
  });
}

function peerOf(
  network: Network,
  from: Endpoint,
  to: ControlHost,
): PeerService {
  return createPeerClient(network, from, () => ({
    ...to,
    service: to.role?.peer,
  }));
}

function createTransport(
  {network, hosts}: ControlContext,
  endpoint: Endpoint,
): PeerTransport {
  const byMember = (id: string) => hosts.find(({member}) => member === id);
  class Transport extends PeerTransport {
    override send(to: string, messages: readonly PeerMessage[]): void {
      const target = byMember(to);
      if (!target) return;
      const from = hosts.find(({name}) => name === endpoint.name)!.member;
      const text = JSON.stringify(messages);
      network.send(endpoint.name, target.name, () => {
        if (target.member !== to) return;
        target.process?.dispatch(() => {
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
  host.process?.kill();
  delete host.process;
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
  host.wipeCount += 1;
  if (!reusesMemberId) host.member = `${host.name}-${host.wipeCount}`;
}

/** The newest leader that is up. */
export function findLeader(
  hosts: readonly ControlHost[],
): ControlHost | undefined {
  return hosts
    .filter(({replica}) => replica?.status().role === 'leader')
    .sort((a, b) => b.replica!.status().term - a.replica!.status().term)[0];
}

/** The next step that puts `member` in the place of `old`, if one is left. */
export function nextMembershipChange(
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

export function createSilentLog(): Log {
  return createLog('error', {}, () => undefined);
}
