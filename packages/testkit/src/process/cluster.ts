/** The whole system as processes on loopback. */
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
  readonly controls?: number;
  /** Number of entry hosts for which ports are kept. */
  readonly entries: number;
  /** Whether every connection to a control process passes a counting relay. */
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
  /** The running process of a name; throws if there is none. */
  daemon(name: string): Daemon;
  /** Starts a process anew; it has begun to listen when this resolves. */
  start(name: string): Promise<Daemon>;
  startEntries(names: readonly string[]): Promise<void>;
  dataFolder(name: string): string;
  /** Flags of a process, for a second one beside it. */
  flags(name: string): Readonly<Record<string, string>>;
  /** Empties the data folder of a process that has ended. */
  wipeDataFolder(name: string): Promise<void>;
  /** What a process sent to and received from the others; needs `counted`. */
  traffic(name: string): Traffic;
  /** Ends every process by SIGKILL and removes the folders. */
  stop(): Promise<void>;
}

/** Starts the control processes, and waits until one of them leads. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const history = createHistory();
  const root = await mkdtemp(join(tmpdir(), 'lentildrift-cluster-'));
  const controls = names('c', options.controls ?? 3);
  const entryNames = names('e', options.entries);
  const found = await findFreePorts(controls.length + entryNames.length);
  const ports = new Map(
    [...controls, ...entryNames].map((name, i) => [name, found[i]!]),
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
    // Entry hosts are spread over the control processes, as over data centres.
    if (!isControl) rotate(members, entryNames.indexOf(name));
    const port = String(ports.get(name));
    return {
      roles: isControl ? 'control' : 'entry',
      'host-name': name,
      'data-folder': folder(name),
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

  function folder(name: string): string {
    return join(root, name);
  }

  function noteOffice(name: string, {text}: LogLine): void {
    const term = / role=leader term=(\d+)/.exec(text)?.[1];
    if (term === undefined) return;
    history.record({type: 'led', member: name, term: Number(term)});
  }

  function launch(name: string): Daemon {
    const daemon = startDaemon(name, flags(name), line =>
      noteOffice(name, line),
    );
    running.set(name, daemon);
    return daemon;
  }

  async function start(name: string): Promise<Daemon> {
    const daemon = launch(name);
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
    dataFolder: folder,
    flags,
    wipeDataFolder: name => rm(folder(name), {recursive: true, force: true}),
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
