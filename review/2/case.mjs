/**
 * A minion that drains says that it leaves. The connection is reset before the
 * acknowledgement arrives, so it stays for some seconds, as the pages say.
 */
import {connect, createServer} from 'node:net';
import {join} from 'node:path';
import {call} from '../lib/http.mjs';
import {createJudge} from '../lib/judge.mjs';
import {startMinion} from '../lib/minion.mjs';
import {closeRecord, openRecord, record} from '../lib/record.mjs';
import {createConfig, newJobId, sleep, startSystem} from '../lib/system.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const MINIONS = 4;
const WORK_MS = 12_000;
const DRAIN_MS = 2000;
/** How long a minion stays that got no acknowledgement. */
const STAY_MS = 3000;

openRecord(join(import.meta.dirname, 'record.txt'));
const judge = createJudge();
const minions = [];
let system;
let proxy;
let code = 2;

/** Passes a request on, and resets the connection once the answer comes. */
async function startProxy(control) {
  const [host, port] = control.split(':');
  const server = createServer(client => {
    const upstream = connect(Number(port), host);
    client.on('data', chunk => upstream.write(chunk));
    client.on('close', () => upstream.destroy());
    client.on('error', () => {});
    upstream.on('error', () => client.destroy());
    upstream.on('close', () => client.destroy());
    upstream.on('data', chunk => {
      if (!TROUBLE) {
        client.write(chunk);
        return;
      }
      record('reset', {answer: chunk.toString().split('\r\n')[0]});
      client.resetAndDestroy();
      upstream.destroy();
    });
  });
  await new Promise(resolve => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    close: () => server.close(),
  };
}

function launch(at) {
  const machine = `m-${at + 1}`;
  const id = `i-${at + 1}`;
  const capacity = {cpu: 64000, mem_mb: 131072, gpu: 0};
  const labels = ['a', `r1-${at + 1}`];
  const zone = 'zone-a';
  system.machines.set(machine, {
    machine,
    pool: 'desk',
    state: 'up',
    zone,
    labels,
    capacity,
    id,
  });
  return startMinion({
    id,
    machine,
    service: 'desk',
    address: system.minionAddress(at),
    zone,
    capacity,
    labels,
    controls: system.coreNames.map(system.controlAddress),
    durationMs: () => WORK_MS,
    watch: judge.watch,
  });
}

try {
  system = await startSystem();
  await system.putConfig(
    createConfig({queues: [{name: 'rota', service: 'desk'}]}),
  );
  for (let at = 0; at < MINIONS; at++) minions.push(await launch(at));
  await sleep(4000);
  const follower = system.coreNames.find(name => name !== system.leader());
  proxy = await startProxy(system.controlAddress(follower));
  const id = newJobId();
  const path = `/rota/${id}`;
  const answer = await system.callAsClient({
    method: 'POST',
    host: 'jobs.example',
    path,
    key: 'key-1',
    body: {
      spec: 'long tasks',
      steps: [
        {
          count: 2 * MINIONS - 1,
          cpu: 9900,
          mem_mb: 18000,
          est_runtime_ms: WORK_MS,
          anti_affinity: 2,
        },
      ],
    },
  });
  await sleep(2000);
  const [leaving] = minions;
  await leaving.setState('draining');
  await sleep(DRAIN_MS);
  const atWork = leaving.running.size;
  record('delete-sent', {id: leaving.id, tasks: atWork});
  const reply = await call({
    address: proxy.address,
    method: 'DELETE',
    path: `/instances/${leaving.id}`,
  }).catch(error => ({status: error.message}));
  record('delete-answered', {status: reply.status});
  if (reply.status !== 200) await sleep(STAY_MS);
  leaving.close();
  await sleep(20_000);
  const state = (
    await system.callAsClient({
      method: 'GET',
      host: 'jobs.example',
      path,
      key: 'key-1',
    })
  )?.body?.state;
  const breaks = judge.finish();
  record('result', {state, ...judge.counts, breaks: breaks.length});
  console.log(
    `job ${answer?.status}, ${atWork} tasks on the leaving minion, DELETE: ${reply.status}, job ${state}, ${breaks.length} breaks of TWICE`,
  );
  for (const text of breaks.slice(0, 5)) console.log(text);
  if (answer?.status === 200 && atWork > 0) code = breaks.length > 0 ? 1 : 0;
} catch (error) {
  record('failed', {error: error.stack});
  console.log(error.stack);
} finally {
  for (const minion of minions) minion.close();
  proxy?.close();
  await system?.stop();
  closeRecord();
}
process.exit(code);
