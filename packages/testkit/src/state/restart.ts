/** Time in which a control process restarts on a folder with many changes. */
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
/** The daemon's name for its group. */
const GROUP = 'lentildrift';
const SECRET = 'cluster-secret-of-restarts';
const BATCH = 100;
const POLL_MS = 10;
const TIMEOUT_MS = 30_000;
const NEVER = Number.MAX_SAFE_INTEGER;

/** Changes, and the number of changes from one snapshot to the next. */
const CASES = [
  {changes: 500, snapshotEvery: NEVER},
  {changes: 500, snapshotEvery: 200},
  {changes: 5000, snapshotEvery: NEVER},
  {changes: 5000, snapshotEvery: 1000},
] as const;

export interface RestartTimes {
  readonly changes: number;
  readonly snapshots: boolean;
  /** From the start of the process until it listens, its state read. */
  readonly loadedMs: number;
  /** Until it leads; holds an election timeout of 1,500 to 3,000 ms. */
  readonly leadsMs: number;
  /** Until an operator has read the tables of the last change. */
  readonly readMs: number;
}

export async function measureRestarts(): Promise<readonly RestartTimes[]> {
  const results: RestartTimes[] = [];
  for (const {changes, snapshotEvery} of CASES) {
    const folder = await mkdtemp(join(tmpdir(), 'lentildrift-restart-'));
    try {
      await fill(folder, changes, snapshotEvery);
      const times = await restart(folder, changes);
      results.push({changes, snapshots: snapshotEvery !== NEVER, ...times});
    } finally {
      await rm(folder, {recursive: true, force: true});
    }
  }
  return results;
}

/** Writes a folder through the replica itself, as its only voter. */
async function fill(
  folder: string,
  changes: number,
  snapshotEvery: number,
): Promise<void> {
  const tasks = startTasks(() => undefined);
  const {identity, store} = await openDiskStore(
    folder,
    GROUP,
    new NamedIdentity(NAME),
  );
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

async function restart(folder: string, changes: number) {
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
    const loaded = await daemon.waitForLine(['control-listening'], TIMEOUT_MS);
    const led = await daemon.waitForLine(['role=leader'], TIMEOUT_MS);
    const tables = await operator.read('tables', NAME);
    const readMs = Math.round(performance.now() - startMs);
    const {version} = tables as {version: number};
    if (version !== changes) throw new Error(`version ${version} came back`);
    return {
      loadedMs: Math.round(loaded.atMs - startMs),
      leadsMs: Math.round(led.atMs - startMs),
      readMs,
    };
  } finally {
    await daemon.kill();
    await operator.stop();
  }
}
