/**
 * A member of the group that was down gets a snapshot, and is killed while it
 * stores it. Later all control processes are killed. What was acknowledged
 * meanwhile has to be there afterwards.
 */
import {fork} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {call, createClient, putConfig, route, runCase, service, sleep, submit, tenant, until, LIMITS} from '../lib-2/case.mjs';

const MINIONS = 4;
const DOWN_MS = 9500;
/** Changes between two snapshots, and entries that a leader keeps before one. */
const SNAPSHOT_CHANGES = 1000;
const KEPT_ENTRIES = 500;
/** Entries by which the member that goes down is behind what is kept. */
const MARGIN = 20;
const JOB = 'ffffbb87a21d94b0';
const MAX_TRIES = 4;
const LEADER_DOWN_MS = 900;

const dataFile = (own, name) => join(own.folder, 'data', name);

/** The last value of a field of the entries in the log of a control process. */
function lastInLog(own, field) {
  const text = readFileSync(dataFile(own, 'log'), 'latin1').slice(-20_000);
  return Number([...text.matchAll(new RegExp(`"${field}":(\\d+)`, 'g'))].at(-1)?.[1] ?? 0);
}

const revisionOf = own => lastInLog(own, 'revision');

/** The entries up to which the snapshot and the log of a process reach. */
function readFiles(own) {
  let head = '';
  try {
    head = readFileSync(dataFile(own, 'snapshot'), 'latin1').slice(0, 200);
  } catch {
    // It has not stored a snapshot yet.
  }
  return {
    snapshot: Number(/"index":(\d+)/.exec(head)?.[1] ?? 0),
    lastEntry: lastInLog(own, 'index'),
  };
}

/**
 * The revision at which a member goes down so that the leader has dropped the
 * entries that it needs next by the time it is back.
 */
function nextKillRevision(revision) {
  const into = SNAPSHOT_CHANGES - KEPT_ENTRIES - MARGIN;
  const passed = Math.floor((revision - into) / SNAPSHOT_CHANGES) + 1;
  return Math.max(0, passed) * SNAPSHOT_CHANGES + into;
}

/** Resolves once a helper watches for the snapshot of the process. */
async function watchSnapshot(own) {
  const helper = fork(join(import.meta.dirname, '..', 'lib-2', 'kill-on-rename.mjs'), [
    join(own.folder, 'data'),
    'snapshot',
    String(own.child.pid),
  ]);
  await new Promise(resolve => helper.once('message', resolve));
  return helper;
}

await runCase(import.meta.dirname, async context => {
  const {deployment, fleet, record, rows, trouble} = context;
  deployment.startAll();
  const config = {
    version: 3,
    routes: [route('r-one', '/one/', 'svc-a')],
    services: [service('svc-a')],
    limits: LIMITS,
    tenants: [tenant('t-one', ['keyone'])],
  };
  await putConfig(context, config);
  await fleet.populate(
    {controls: deployment.controlAddresses, work: () => ({ms: 30})},
    {'svc-a': MINIONS},
  );
  await sleep(4000);
  const client = createClient(context, {key: 'keyone'});

  // Clients hand in short jobs all the time, a new one every few milliseconds.
  let isTraffic = true;
  let sent = 0;
  let accepted = 0;
  const traffic = (async () => {
    while (isTraffic) {
      const id = String(++sent).padStart(16, '0');
      void client('POST', `/one/${id}`, {
        spec: '',
        steps: [{count: 1, cpu: 100, mem_mb: 10, est_runtime_ms: 30}],
      }).then(({status}) => (accepted += status === 200 ? 1 : 0));
      await sleep(8);
    }
  })();

  // A follower is down until the leader has dropped the entries that it needs next.
  let victim;
  for (let tries = 0; tries < MAX_TRIES && !victim; tries++) {
    const leader = deployment.leader();
    const follower = deployment.controls.find(own => own !== leader && own.child);
    const target = nextKillRevision(revisionOf(leader));
    await until(`revision ${target}`, () => revisionOf(leader) >= target, 40_000);
    record('behind', {name: follower.name, revision: revisionOf(follower), leader: leader.name});
    if (!trouble) {
      await sleep(DOWN_MS);
      victim = follower;
      break;
    }
    deployment.signal(follower, 'SIGKILL');
    await sleep(DOWN_MS);
    record('back', {name: follower.name, leaderRevision: revisionOf(leader)});
    deployment.start(follower);
    const killer = await watchSnapshot(follower);
    await until('the kill', () => !follower.child, 4000).catch(() => {});
    killer.kill();
    const {snapshot, lastEntry} = readFiles(follower);
    record('stored', {name: follower.name, running: !!follower.child, snapshot, lastEntry});
    if (follower.child) continue;
    await sleep(500);
    deployment.start(follower);
    if (snapshot > lastEntry) victim = follower;
  }
  isTraffic = false;
  await traffic;
  if (!victim) throw new Error('no kill came while the snapshot was being stored');
  await sleep(6000);
  const leader = deployment.leader();
  if (leader === victim) throw new Error('the member in question leads');
  record('caught-up', {victim: revisionOf(victim), leader: revisionOf(leader)});
  const other = deployment.controls.find(own => own !== leader && own !== victim);

  // One more follower stands still while work and a change are acknowledged, and
  // then all control processes are killed. The leader comes back last.
  if (trouble) deployment.signal(other, 'SIGSTOP');
  await submit(client, `/one/${JOB}`, {
    spec: 'accepted',
    steps: [{count: 1, cpu: 100, mem_mb: 10, est_runtime_ms: 30}],
    times: 1,
    start_time_ms: Date.now() + 20_000,
  });
  const {status} = await call(leader.listen.control, 'PUT', '/config', {
    body: {...config, version: 7},
    timeoutMs: 1000,
  });
  record('config-sent', {version: 7, status});
  record('acknowledged', {job: JOB, version: status === 200 ? 7 : 3});
  if (trouble) {
    for (const own of [other, victim, leader]) deployment.signal(own, 'SIGKILL');
    await until('the end of all', () => deployment.controls.every(own => !own.child), 3000);
    deployment.start(other);
    deployment.start(victim);
    await sleep(LEADER_DOWN_MS);
    deployment.start(leader);
  }
  await sleep(12_000);
  for (const own of deployment.controls) {
    for (const line of deployment.logLines(own, /event=(member-loaded|role|stop|start-failed) /)) {
      record('log', {name: own.name, line: line.replace(/^at=\S+ /, '')});
    }
  }
  const breaks = [];
  const answer = await until(
    'a clear answer for the job',
    async () => {
      const each = await client('GET', `/one/${JOB}`);
      return [200, 404, 410].includes(each.status) && each;
    },
    10_000,
  );
  if (answer.status === 410) breaks.push('LOST: a job that was accepted and that nobody has cancelled is answered 410');
  for (const own of deployment.controls) {
    const {status: read, body} = await call(own.listen.control, 'GET', '/config', {timeoutMs: 2000});
    record('config-read', {name: own.name, status: read, version: body?.version});
    if (read === 200 && status === 200 && body.version < 7) {
      breaks.push(`CONFIG: ${own.name} answers a read with version ${body.version}, and 7 was acknowledged`);
    }
  }
  return breaks;
});
