/**
 * The measurement `traffic`: bytes between one entry host and the control
 * process.
 */
import {SoloReplica} from '@lentildrift/consensus';
import {stateMachine, startControlProcess} from '@lentildrift/control';
import {CallObserver, startEntry, type FinishedCall} from '@lentildrift/entry';
import {
  createKey,
  poolSchema,
  routeSchema,
  teamSchema,
  type Command,
} from '@lentildrift/model';
import {CallRecorder, createLog} from '@lentildrift/observe';
import {createServiceClient} from '@lentildrift/protocol';
import {startTasks} from '@lentildrift/task';
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer, type AddressInfo, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

const LOOPBACK = '127.0.0.1';
const TEAM_COUNT = 280;
const BUSY_TEAM_COUNT = 30;
/** Concurrent calls of each busy team. */
const CALLERS_PER_TEAM = 2;
const MAX_CALL_MS = 200;
const SETTLE_MS = 4000;
const PHASE_MS = 10_000;
const LEASE_MS = 30_000;
const TIMEOUT_MS = 2000;
const CLUSTER_SECRET = 'cluster-secret-of-measurement';

class RecordingObserver extends CallObserver {
  readonly recorder = new CallRecorder();

  override onCallFinished(call: FinishedCall): void {
    this.recorder.record(call);
  }
}

interface ByteCounts {
  sent: number;
  received: number;
}

/** Starts a proxy that counts the bytes to and from a loopback port. */
async function startCountingProxy(port: number) {
  const bytes: ByteCounts = {sent: 0, received: 0};
  const server = createServer(clientSocket => {
    const serverSocket = connect(port, LOOPBACK);
    clientSocket.on('data', chunk => (bytes.sent += chunk.length));
    serverSocket.on('data', chunk => (bytes.received += chunk.length));
    clientSocket.pipe(serverSocket).pipe(clientSocket);
    clientSocket.on('error', () => serverSocket.destroy());
    serverSocket.on('error', () => clientSocket.destroy());
  });
  return {bytes, server, port: await listen(server)};
}

async function listen(server: Server) {
  await new Promise<void>(done => server.listen(0, LOOPBACK, () => done()));
  return (server.address() as AddressInfo).port;
}

const teamName = (index: number) => `team-${index}`;

/**
 * Creates a replica with the tables, the host and the keys of the measurement.
 */
async function prepareReplica() {
  const replica = new SoloReplica(stateMachine);
  let count = 0;
  const run = (command: Command) =>
    replica.propose({
      atMs: Date.now(),
      body: {type: 'command', requestId: `r${count++}`, command},
    });
  const name = 'bench';
  const pool = {name, kind: 'calls', hosts: [name], slotsPerHost: 1000};
  const teams = Array.from({length: TEAM_COUNT}, (_, index) =>
    teamSchema.parse({name: teamName(index), share: 1, limit: 100}),
  );
  const routes = [routeSchema.parse({name, pool: name, service: name})];
  const pools = [poolSchema.parse(pool)];
  await run({type: 'edit', edit: {basedOn: 0, routes, pools, teams}});
  const host = {id: name, dataCentre: name, rack: name, healthy: true};
  const size = {cores: 1, memoryMiB: 1024, accelerators: 0};
  await replica.propose({
    atMs: Date.now(),
    body: {type: 'observe-hosts', hosts: [{...host, ...size}]},
  });
  const poolKey = createKey();
  const teamKeys = teams.slice(0, BUSY_TEAM_COUNT).map(team => ({
    ...createKey(),
    subject: {kind: 'team' as const, team: team.name},
  }));
  const subject = {kind: 'pool' as const, pool: name};
  for (const {id, secretHash, ...rest} of [
    {...poolKey, subject},
    ...teamKeys,
  ]) {
    const keyFields = {keyId: id, subject: rest.subject, secretHash};
    await run({type: 'give-key', ...keyFields});
  }
  return {replica, poolKey: poolKey.text, teamKeys: teamKeys.map(k => k.text)};
}

async function announce(port: number, key: string, address: string) {
  const name = 'bench';
  const identity = {pool: name, service: name, host: name, address};
  const {body, statusCode} = await request(
    `http://${LOOPBACK}:${port}/announce`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        ...identity,
        incarnation: 1,
        sequence: 1,
        leaseMs: LEASE_MS,
      }),
    },
  );
  await body.dump();
  if (statusCode >= 300) throw new Error(`announcement refused: ${statusCode}`);
}

/**
 * Makes sequential calls until `endMs` and returns the number that succeeded.
 */
async function callUntil(endMs: number, url: string, key: string) {
  let calls = 0;
  while (performance.now() < endMs) {
    const headers = {authorization: `Bearer ${key}`};
    const {body, statusCode} = await request(url, {headers});
    await body.dump();
    if (statusCode === 200) calls += 1;
    else await sleep(MAX_CALL_MS);
  }
  return calls;
}

/** Bytes per second in each direction while `work` runs. */
async function measureRates(bytes: ByteCounts, work: () => Promise<unknown>) {
  const before = {...bytes};
  const startedMs = performance.now();
  await work();
  const seconds = (performance.now() - startedMs) / 1000;
  return {
    sentPerS: Math.round((bytes.sent - before.sent) / seconds),
    receivedPerS: Math.round((bytes.received - before.received) / seconds),
  };
}

/** Prints the bytes per second without calls and with 30 of 280 teams busy. */
export async function measureTraffic(): Promise<object> {
  const log = createLog('error');
  const tasks = startTasks((task, error) =>
    log.error('task-failed', {task, error: error.message}),
  );
  const {replica, poolKey, teamKeys} = await prepareReplica();
  const control = await startControlProcess({
    replica,
    tasks,
    log,
    peers: new Map(),
    clusterSecret: CLUSTER_SECRET,
    listen: {host: LOOPBACK, port: 0},
  });
  const countingProxy = await startCountingProxy(control.port);
  const client = createServiceClient({
    address: `${LOOPBACK}:${countingProxy.port}`,
    clusterSecret: CLUSTER_SECRET,
    timeoutMs: TIMEOUT_MS,
  });
  const observer = new RecordingObserver();
  const entry = await startEntry({
    observer,
    burn: sinceMs => observer.recorder.getBurnSeries(sinceMs),
    control: client.control,
    tasks,
    log,
    entryHost: 'bench',
    host: LOOPBACK,
    port: 0,
  });
  const upstream = createHttpServer((_, response) => {
    setTimeout(() => response.end('ok'), Math.random() * MAX_CALL_MS);
  });
  const address = `${LOOPBACK}:${await listen(upstream)}`;
  await announce(entry.port, poolKey, address);
  await sleep(SETTLE_MS);
  const idle = await measureRates(countingProxy.bytes, () => sleep(PHASE_MS));
  const url = `http://${LOOPBACK}:${entry.port}/call/bench/`;
  let calls = 0;
  const busy = await measureRates(countingProxy.bytes, async () => {
    const endMs = performance.now() + PHASE_MS;
    const callers = teamKeys.flatMap(key =>
      Array.from({length: CALLERS_PER_TEAM}, () => callUntil(endMs, url, key)),
    );
    for (const callCount of await Promise.all(callers)) calls += callCount;
  });
  console.table({idle, busy});
  await entry.stop();
  await client.close();
  countingProxy.server.close();
  await control.stop();
  upstream.close();
  upstream.closeAllConnections();
  tasks.stop();
  return {teams: TEAM_COUNT, busyTeams: BUSY_TEAM_COUNT, idle, busy, calls};
}
