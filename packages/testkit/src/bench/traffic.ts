/** The measurement `traffic`: bytes between one entry host and control. */
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
const TEAMS = 280;
const BUSY_TEAMS = 30;
/** Calls that each busy team keeps running. */
const CALLERS_PER_TEAM = 2;
const MAX_CALL_MS = 200;
const SETTLE_MS = 4000;
const PHASE_MS = 10_000;
const LEASE_MS = 30_000;
const TIMEOUT_MS = 2000;
const CLUSTER_SECRET = 'cluster-secret-of-measurement';

class Recording extends CallObserver {
  readonly recorder = new CallRecorder();

  override onCallFinished(call: FinishedCall): void {
    this.recorder.record(call);
  }
}

interface Bytes {
  sent: number;
  received: number;
}

/** Counts what passes to and from a port of the loopback. */
async function startCounter(port: number) {
  const bytes: Bytes = {sent: 0, received: 0};
  const server = createServer(near => {
    const far = connect(port, LOOPBACK);
    near.on('data', chunk => (bytes.sent += chunk.length));
    far.on('data', chunk => (bytes.received += chunk.length));
    near.pipe(far).pipe(near);
    near.on('error', () => far.destroy());
    far.on('error', () => near.destroy());
  });
  return {bytes, server, port: await listen(server)};
}

async function listen(server: Server) {
  await new Promise<void>(done => server.listen(0, LOOPBACK, () => done()));
  return (server.address() as AddressInfo).port;
}

const teamName = (index: number) => `team-${index}`;

/** A replica with the tables, the host and the keys of the measurement. */
async function prepare() {
  const replica = new SoloReplica(stateMachine);
  let count = 0;
  const run = (command: Command) =>
    replica.propose({
      atMs: Date.now(),
      body: {type: 'command', requestId: `r${count++}`, command},
    });
  const name = 'bench';
  const pool = {name, kind: 'calls', hosts: [name], slotsPerHost: 1000};
  const teams = Array.from({length: TEAMS}, (_, index) =>
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
  const teamKeys = teams.slice(0, BUSY_TEAMS).map(team => ({
    ...createKey(),
    subject: {kind: 'team' as const, team: team.name},
  }));
  const subject = {kind: 'pool' as const, pool: name};
  for (const {id, secretHash, ...rest} of [
    {...poolKey, subject},
    ...teamKeys,
  ]) {
    const given = {keyId: id, subject: rest.subject, secretHash};
    await run({type: 'give-key', ...given});
  }
  return {replica, poolKey: poolKey.text, teamKeys: teamKeys.map(k => k.text)};
}

async function announce(port: number, key: string, address: string) {
  const name = 'bench';
  const at = {pool: name, service: name, host: name, address};
  const {body, statusCode} = await request(
    `http://${LOOPBACK}:${port}/announce`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        ...at,
        incarnation: 1,
        sequence: 1,
        leaseMs: LEASE_MS,
      }),
    },
  );
  await body.dump();
  if (statusCode >= 300) throw new Error(`announce: status ${statusCode}`);
}

/** Calls one after the other until the time is over; returns how many. */
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

/** Bytes per second of both directions while `work` runs. */
async function phase(bytes: Bytes, work: () => Promise<unknown>) {
  const before = {...bytes};
  const startedMs = performance.now();
  await work();
  const seconds = (performance.now() - startedMs) / 1000;
  return {
    sentPerS: Math.round((bytes.sent - before.sent) / seconds),
    receivedPerS: Math.round((bytes.received - before.received) / seconds),
  };
}

/** Prints bytes per second with no calls, and with 30 of 280 teams busy. */
export async function measureTraffic(): Promise<object> {
  const log = createLog('error');
  const tasks = startTasks((task, error) =>
    log.error('task-failed', {task, error: error.message}),
  );
  const {replica, poolKey, teamKeys} = await prepare();
  const control = await startControlProcess({
    replica,
    tasks,
    log,
    peers: new Map(),
    clusterSecret: CLUSTER_SECRET,
    listen: {host: LOOPBACK, port: 0},
  });
  const counter = await startCounter(control.port);
  const client = createServiceClient({
    address: `${LOOPBACK}:${counter.port}`,
    clusterSecret: CLUSTER_SECRET,
    timeoutMs: TIMEOUT_MS,
  });
  const observer = new Recording();
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
  const idle = await phase(counter.bytes, () => sleep(PHASE_MS));
  const url = `http://${LOOPBACK}:${entry.port}/call/bench/`;
  let calls = 0;
  const busy = await phase(counter.bytes, async () => {
    const endMs = performance.now() + PHASE_MS;
    const callers = teamKeys.flatMap(key =>
      Array.from({length: CALLERS_PER_TEAM}, () => callUntil(endMs, url, key)),
    );
    for (const each of await Promise.all(callers)) calls += each;
  });
  console.table({idle, busy});
  await entry.stop();
  await client.close();
  counter.server.close();
  await control.stop();
  upstream.close();
  upstream.closeAllConnections();
  tasks.stop();
  return {teams: TEAMS, busyTeams: BUSY_TEAMS, idle, busy, calls};
}
