/** Embedded mode: every role in one process, on loopback, with sample data. */
import type {Intake} from '@lentildrift/intake-limits';
import {
  createKey,
  type ChangeBody,
  type Command,
  type Subject,
} from '@lentildrift/model';
import type {Log, Metrics} from '@lentildrift/observe';
import {
  FakePlatform,
  SAMPLE_HOSTS,
  sampleTables,
  startUpstream,
} from '@lentildrift/sample';
import {startTasks} from '@lentildrift/task';
import {randomBytes, randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  startControl,
  type ControlRole,
  type PlannerSettings,
} from './control.js';
import {startEntryRole} from './entry.js';

const LOOPBACK = '127.0.0.1';
const SECRET_BYTES = 24;
const LEADER_POLL_INTERVAL_MS = 20;

/** How long a sample host takes to reboot. */
const SAMPLE_REBOOT_MS = 3000;

export interface EmbeddedOptions {
  readonly log: Log;
  /** Limits of clients that the roles share. */
  readonly intake: Intake;
  /** Metrics that the entry role shows; its own if absent. */
  readonly metrics?: Metrics;
  readonly entryPort: number;
  readonly dataFolder: string;
  /**
   * Called when the replica failed. The process must then exit, because it can
   * no longer keep the changes that it accepted.
   */
  onFatal(error: Error): void;
  /** Absent means any free port. */
  readonly controlPort?: number;
  /** Loopback addresses of the roles; absent means 127.0.0.1. */
  readonly entryAddress?: string;
  readonly controlAddress?: string;
  /** Settings of the planner; its `platformAddress` is ignored. */
  readonly planner?: Partial<PlannerSettings>;
}

export interface EmbeddedDaemon {
  readonly entryPort: number;
  readonly controlPort: number;
  /** Key of the sample team. */
  readonly teamKey: string;
  /** Key for the operators' command. */
  readonly operatorKey: string;
  stop(): Promise<void>;
}

/** Starts all roles, the sample platform and a sample upstream. */
export async function startEmbedded(
  options: EmbeddedOptions,
): Promise<EmbeddedDaemon> {
  const {
    log,
    intake,
    entryPort,
    controlPort = 0,
    dataFolder,
    onFatal,
  } = options;
  const {entryAddress = LOOPBACK, controlAddress = LOOPBACK} = options;
  const tasks = startTasks((task, error) =>
    log.error('task-failed', {task, error: error.message}),
  );
  const operator = createKey();
  const platform = new FakePlatform({
    hosts: SAMPLE_HOSTS,
    now: () => performance.now(),
    rebootMs: SAMPLE_REBOOT_MS,
  });
  const control = await startControl(
    {
      ...options.planner,
      hostName: 'control-1',
      memberId: undefined,
      dataFolder,
      controlAddress,
      controlPort,
      controlMembers: undefined,
      clusterSecret: randomBytes(SECRET_BYTES).toString('hex'),
      operatorKeyHash: operator,
    },
    {tasks, log, intake, onFatal, platform},
  );
  await waitForLeadership(control);
  const {teamKey, poolKey} = await applySampleData(control);
  const entry = await startEntryRole(
    {
      hostName: 'entry-1',
      entryAddress,
      entryPort,
      controlMembers: undefined,
      clusterSecret: undefined,
    },
    {
      tasks,
      log,
      intake,
      metrics: options.metrics,
      onFatal,
      control: control.service,
    },
  );
  const upstream = await startUpstream({
    pool: 'booking',
    service: 'booking',
    host: 'sample-1',
    key: poolKey,
    entry: formatEndpoint(entryAddress, entry.port),
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

/** Formats IP:PORT, with an IPv6 address in square brackets. */
export function formatEndpoint(address: string, port: number): string {
  return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Waits until the only member is the leader of its group. */
async function waitForLeadership({replica}: ControlRole): Promise<void> {
  while (replica.status().role !== 'leader')
    await sleep(LEADER_POLL_INTERVAL_MS);
}

/** Applies the sample tables, reports the sample hosts and creates the keys. */
async function applySampleData({replica}: ControlRole) {
  const propose = (body: ChangeBody) =>
    replica.propose({atMs: Date.now(), body});
  const run = (command: Command) =>
    propose({type: 'command', requestId: randomUUID(), command});
  const createKeyFor = async (subject: Subject) => {
    const {id, text, secretHash} = createKey();
    await run({type: 'give-key', keyId: id, subject, secretHash});
    return text;
  };
  // The data folder of an earlier run holds the operators' tables, which must
  // not be overwritten.
  if (replica.state().tables.version === 0) {
    await run({type: 'edit', edit: sampleTables()});
  }
  // With the hosts known, the sample upstream can announce itself before the
  // planner's first round.
  const hosts = SAMPLE_HOSTS.map(host => ({...host, healthy: true}));
  await propose({type: 'observe-hosts', hosts});
  return {
    teamKey: await createKeyFor({kind: 'team', team: 'juniors'}),
    poolKey: await createKeyFor({kind: 'pool', pool: 'booking'}),
  };
}
