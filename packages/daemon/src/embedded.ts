/** The embedded default: every role in one process on loopback. */
import {
  createKey,
  type ChangeBody,
  type Command,
  type Subject,
} from '@lentildrift/model';
import type {Log} from '@lentildrift/observe';
import {sampleTables, startUpstream} from '@lentildrift/sample';
import {startTasks} from '@lentildrift/task';
import {randomBytes, randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {startControl, type ControlRole} from './control.js';
import {startEntryRole} from './entry.js';

const LOOPBACK = '127.0.0.1';
const SECRET_BYTES = 24;
const LEAD_POLL_MS = 20;

export interface EmbeddedOptions {
  readonly log: Log;
  readonly entryPort: number;
  readonly dataFolder: string;
  /** The process must exit: it can no longer keep what it accepted. */
  onFatal(error: Error): void;
  /** Absent means any free port. */
  readonly controlPort?: number;
  /** Loopback addresses of the roles; absent means 127.0.0.1. */
  readonly entryAddress?: string;
  readonly controlAddress?: string;
}

export interface Embedded {
  readonly entryPort: number;
  readonly controlPort: number;
  /** Key of the sample team. */
  readonly teamKey: string;
  /** Key for the operators' command. */
  readonly operatorKey: string;
  stop(): Promise<void>;
}

export async function startEmbedded(
  options: EmbeddedOptions,
): Promise<Embedded> {
  const {log, entryPort, controlPort = 0, dataFolder, onFatal} = options;
  const {entryAddress = LOOPBACK, controlAddress = LOOPBACK} = options;
  const tasks = startTasks((task, error) =>
    log.error('task-failed', {task, error: error.message}),
  );
  const operator = createKey();
  const control = await startControl(
    {
      hostName: 'control-1',
      memberId: undefined,
      dataFolder,
      controlAddress,
      controlPort,
      controlMembers: undefined,
      clusterSecret: randomBytes(SECRET_BYTES).toString('hex'),
      operatorKeyHash: operator,
    },
    {tasks, log, onFatal},
  );
  await leads(control);
  const {teamKey, poolKey} = await prepare(control);
  const entry = await startEntryRole(
    {
      hostName: 'entry-1',
      entryAddress,
      entryPort,
      controlMembers: undefined,
      clusterSecret: undefined,
    },
    {tasks, log, onFatal, control: control.service},
  );
  const upstream = await startUpstream({
    pool: 'booking',
    service: 'booking',
    host: 'sample-1',
    key: poolKey,
    entry: endpoint(entryAddress, entry.port),
  });

  async function stop(): Promise<void> {
    await upstream.stop();
    await entry.stop();
    await control.stop();
    tasks.stop();
  }

  return {
    entryPort: entry.port,
    controlPort: control.port,
    teamKey,
    operatorKey: operator.text,
    stop,
  };
}

/** IP:PORT; an IPv6 number stands in square brackets. */
export function endpoint(address: string, port: number): string {
  return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Resolves once the only member leads its group. */
async function leads({replica}: ControlRole): Promise<void> {
  while (replica.status().role !== 'leader') await sleep(LEAD_POLL_MS);
}

/** Applies the sample tables, shows the sample host and gives the keys. */
async function prepare({replica}: ControlRole) {
  const propose = (body: ChangeBody) =>
    replica.propose({atMs: Date.now(), body});
  const run = (command: Command) =>
    propose({type: 'command', requestId: randomUUID(), command});
  const give = async (subject: Subject) => {
    const {id, text, secretHash} = createKey();
    await run({type: 'give-key', keyId: id, subject, secretHash});
    return text;
  };
  // A folder of an earlier run holds the operators' tables: those stay.
  if (replica.state().tables.version === 0) {
    await run({type: 'edit', edit: sampleTables()});
  }
  await propose({
    type: 'observe-hosts',
    hosts: [
      {
        id: 'sample-1',
        dataCentre: 'dc-1',
        rack: 'rack-1',
        cores: 4,
        memoryMiB: 4096,
        accelerators: 0,
        healthy: true,
      },
    ],
  });
  return {
    teamKey: await give({kind: 'team', team: 'juniors'}),
    poolKey: await give({kind: 'pool', pool: 'booking'}),
  };
}
