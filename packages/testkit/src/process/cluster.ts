/** Starts control and entry hosts as `lentildriftd` processes on loopback. */
import {createKey} from '@lentildrift/model';
import {rmSync} from 'node:fs';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createHistory, type History} from '../history.js';
import {createCaller, type Caller} from './caller.js';
import {startDaemon, type Daemon, type LogLine} from './daemon.js';
import {createOperator, type Operator} from './operator.js';
import {findFreePorts, LOOPBACK} from './port.js';
import {startRelay, type Relay, type Traffic} from './relay.js';

const CLUSTER_SECRET = 'cluster-secret-of-tests';
const START_TIMEOUT_MS = 15_000;

export interface ClusterOptions {
  /** Number of control processes; 3 by default. */
  readonly controls?: number;
  /** Number of entry hosts that get a name and a port; none is started yet. */
  readonly entries: number;
  /** Whether relays count the bytes of all connections to control processes. */
  readonly countTraffic?: boolean;
}

export interface EntryHost {
  readonly name: string;
  readonly port: number;
}

export interface Cluster {
  readonly history: History;
  readonly operator: Operator;
  readonly caller: Caller;
  readonly controls: readonly string[];
  readonly entries: readonly EntryHost[];
  /** The last process started under this name; throws if there is none. */
  daemon(name: string): Daemon;
  /** Starts or restarts a process; resolves once the process listens. */
  start(name: string): Promise<Daemon>;
  startEntries(names: readonly string[]): Promise<void>;
  dataFolder(name: string): string;
  /** Command-line flags of a process, for starting a second process with them. */
  flags(name: string): Readonly<Record<string, string>>;
  /** Deletes the data folder of a process that has exited. */
  wipeDataFolder(name: string): Promise<void>;
  /**
   * Bytes that a process exchanged over the relays, in both directions; needs
   * `countTraffic`.
   */
  traffic(name: string): Traffic;
  /** Kills every process with SIGKILL and removes the data folders. */
  stop(): Promise<void>;
}

/** Starts the control processes and waits until one of them is the leader. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const history = createHistory();
  const root = await mkdtemp(join(tmpdir(), 'lentildrift-cluster-'));
  const controls = names('c', options.controls ?? 3);
  const entryNames = names('e', options.entries);
  const freePorts = await findFreePorts(controls.length + entryNames.length);
  const ports = new Map(
    [...controls, ...entryNames].map((name, i) => [name, freePorts[i]!]),
  );
  const entries = entryNames.map(name => ({name, port: ports.get(name)!}));
  const operatorKey = createKey();
  const running = new Map<string, Daemon>();
  const relays = new Map<string, Relay>();
  const removeRoot = () => rmSync(root, {recursive: true, force: true});
  process.once('exit', removeRoot);
  const operator = createOperator({
    history,
    key: operatorKey.text,
    clusterSecret: CLUSTER_SECRET,
    ports: new Map(controls.map(name => [name, ports.get(name)!])),
  });
  const caller = createCaller(history);

  async function connectRelays(): Promise<void> {
    for (const from of ports.keys()) {
      for (const to of controls) {
        if (from === to) continue;
        relays.set(`${from}>${to}`, await startRelay(ports.get(to)!));
      }
    }
  }

  function flags(name: string): Record<string, string> {
    const members = controls.map(to => {
      const port = relays.get(`${name}>${to}`)?.port ?? ports.get(to);
      return `${to}=${LOOPBACK}:${port}`;
    });
    const isControl = controls.includes(name);
    // Each entry host lists another control process first, as entry hosts in
    // different data centres would, so that their sessions are spread.
    if (!isControl) rotate(members, entryNames.indexOf(name));
    const port = String(ports.get(name));
    return {
      roles: isControl ? 'control' : 'entry',
      'host-name': name,
      'data-folder': dataFolder(name),
      'control-members': members.join(','),
      'cluster-secret': CLUSTER_SECRET,
      ...(isControl
        ? {
            'control-port': port,
            'operator-key-hash': `${operatorKey.id}:${operatorKey.secretHash}`,
          }
        : {'entry-port': port}),
    };
  }

  function dataFolder(name: string): string {
    return join(root, name);
  }

  /** Records an election that the process logs as `role=leader term=…`. */
  function recordLeadership(name: string, {text}: LogLine): void {
    const term = / role=leader term=(\d+)/.exec(text)?.[1];
    if (term === undefined) return;
    history.record({type: 'led', member: name, term: Number(term)});
  }

  function spawnDaemon(name: string): Daemon {
    const daemon = startDaemon(name, flags(name), line =>
      recordLeadership(name, line),
    );
    running.set(name, daemon);
    return daemon;
  }

  async function start(name: string): Promise<Daemon> {
    const daemon = spawnDaemon(name);
    await daemon.waitForLine(['-listening'], START_TIMEOUT_MS);
    return daemon;
  }

  async function stop(): Promise<void> {
    await Promise.all([...running.values()].map(daemon => daemon.kill()));
    await Promise.all([...relays.values()].map(relay => relay.stop()));
    await operator.stop();
    await caller.stop();
    process.off('exit', removeRoot);
    await rm(root, {recursive: true, force: true});
  }

  try {
    if (options.countTraffic) await connectRelays();
    await Promise.all(controls.map(start));
    await operator.waitForLeader();
  } catch (error) {
    await stop();
    throw error;
  }

  return {
    history,
    operator,
    caller,
    controls,
    entries,
    daemon(name) {
      const daemon = running.get(name);
      if (!daemon) throw new Error(`no process ${name} was started`);
      return daemon;
    },
    start,
    startEntries: async list => void (await Promise.all(list.map(start))),
    dataFolder,
    flags,
    wipeDataFolder: name =>
      rm(dataFolder(name), {recursive: true, force: true}),
    traffic(name) {
      let [sentBytes, receivedBytes] = [0, 0];
      for (const [pair, relay] of relays) {
        const [from, to] = pair.split('>');
        const traffic = relay.traffic();
        if (from === name) {
          sentBytes += traffic.sentBytes;
          receivedBytes += traffic.receivedBytes;
        } else if (to === name) {
          sentBytes += traffic.receivedBytes;
          receivedBytes += traffic.sentBytes;
        }
      }
      return {sentBytes, receivedBytes};
    },
    stop,
  };
}

function rotate<T>(list: T[], by: number): void {
  list.unshift(...list.splice(by % list.length));
}

function names(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${prefix}${index + 1}`);
}
