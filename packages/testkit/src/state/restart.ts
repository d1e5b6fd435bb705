/**
 * Measures the restart time of a control process whose data folder holds many
 * changes.
 */
import {JsonCodec, startRaft} from '@lentildrift/consensus';
import {
  MemberPeers,
  NamedIdentity,
  PeerChannels,
  stateMachine,
} from '@lentildrift/control';
import {changeSchema, createKey, stateSchema} from '@lentildrift/model';
import {openDiskStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {createHistory} from '../history.js';
import {
  createOperator,
  findFreePorts,
  LOOPBACK,
  startDaemon,
  buildTableEdit,
} from '../process/index.js';

const NAME = 'c1';
/** Group name that the daemon uses. */
const GROUP = 'lentildrift';
const SECRET = 'cluster-secret-of-restarts';
const BATCH = 100;
const POLL_MS = 10;
const TIMEOUT_MS = 30_000;
const NEVER = Number.MAX_SAFE_INTEGER;

/** Total number of changes, and the number of changes per snapshot. */
const CASES = [
  {changes: 500, snapshotEvery: NEVER},
  {changes: 500, snapshotEvery: 200},
  {changes: 5000, snapshotEvery: NEVER},
  {changes: 5000, snapshotEvery: 1000},
] as const;

export interface RestartTimes {
  readonly changes: number;
  readonly snapshots: boolean;
  /**
   * From the start of the process until it has loaded its state and listens.
   */
  readonly loadedMs: number;
  /**
   * Until the process is leader, which includes an election timeout of 1,500 to
   * 3,000 ms.
   */
  readonly leadsMs: number;
  /** Until an operator has read the tables as of the last change. */
  readonly readMs: number;
}

export async function measureRestarts(): Promise<readonly RestartTimes[]> {
  const results: RestartTimes[] = [];
  for (const {changes, snapshotEvery} of CASES) {
    const folder = await mkdtemp(join(tmpdir(), 'lentildrift-restart-'));
    try {
      await writeChanges(folder, changes, snapshotEvery);
      const times = await measureRestart(folder, changes);
      results.push({changes, snapshots: snapshotEvery !== NEVER, ...times});
    } finally {
      await rm(folder, {recursive: true, force: true});
    }
  }
  return results;
}

/**
 * Writes the changes to a data folder through a replica that is the only voter.
 */
async function writeChanges(
  folder: string,
  changes: number,
  snapshotEvery: number,
): Promise<void> {
  const tasks = startTasks(() => undefined);
  const {identity, store} = await openDiskStore(folder, GROUP, {
    identitySource: new NamedIdentity(NAME),
  });
  const member = identity.memberId;
  const transport = new PeerChannels(member, new MemberPeers(), tasks);
  const replica = await startRaft({
    member,
    group: GROUP,
    seed: 1,
    stateMachine,
    codec: new JsonCodec({change: changeSchema, state: stateSchema}),
    store,
    transport,
    tasks,
    initialVoters: [member],
    changesPerSnapshot: snapshotEvery,
    onFatal: error => {
      throw error;
    },
  });
  while (replica.status().role !== 'leader') await sleep(POLL_MS);
  for (let base = 0; base < changes;) {
    const batch = [];
    for (let i = 0; i < BATCH && base < changes; i++, base++) {
      const edit = buildTableEdit(base, base % 2 === 0 ? 'odd' : 'even');
      const command = {type: 'edit' as const, edit};
      const requestId = `edit-${base}`;
      const body = {type: 'command' as const, requestId, command};
      batch.push(replica.propose({atMs: Date.now(), body}));
    }
    await Promise.all(batch);
  }
  await replica.stop();
  await transport.stop();
  tasks.stop();
}

async function measureRestart(folder: string, changes: number) {
  const [port] = await findFreePorts(1);
  const operatorKey = createKey();
  const operator = createOperator({
    history: createHistory(),
    key: operatorKey.text,
    clusterSecret: SECRET,
    ports: new Map([[NAME, port!]]),
  });
  const startMs = performance.now();
  const daemon = startDaemon(NAME, {
    roles: 'control',
    'host-name': NAME,
    'data-folder': folder,
    'control-port': String(port),
    'control-members': `${NAME}=${LOOPBACK}:${port}`,
    'cluster-secret': SECRET,
    'operator-key-hash': `${operatorKey.id}:${operatorKey.secretHash}`,
  });
  try {
    const listeningLine = await daemon.waitForLine(
      ['control-listening'],
      TIMEOUT_MS,
    );
    const leaderLine = await daemon.waitForLine(['role=leader'], TIMEOUT_MS);
    const tables = await operator.read('tables', NAME);
    const readMs = Math.round(performance.now() - startMs);
    const {version} = tables as {version: number};
    if (version !== changes) throw new Error(`wrong tables version ${version}`);
    return {
      loadedMs: Math.round(listeningLine.atMs - startMs),
      leadsMs: Math.round(leaderLine.atMs - startMs),
      readMs,
    };
  } finally {
    await daemon.kill();
    await operator.stop();
  }
}
