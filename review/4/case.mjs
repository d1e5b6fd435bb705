/**
 * A queue with advice and a pool of more than 100 minions. The minions that its
 * policy allows are replaced one after the other; then a job is handed in.
 */
import {join} from 'node:path';
import {serve} from '../lib/http.mjs';
import {createJudge} from '../lib/judge.mjs';
import {startMinion} from '../lib/minion.mjs';
import {closeRecord, nowMs, openRecord, record} from '../lib/record.mjs';
import {createConfig, newJobId, sleep, startSystem} from '../lib/system.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const MINIONS = 110;
/** Minions on the rack that the policy of the queue allows. */
const ALLOWED = 8;
const ALLOWED_RACK = 'r1-1';
const WORK_MS = 800;
const DRAIN_MS = 2000;
const ADVICE = {decide_ms: 20, per_worker_ms: 0.2, valid_ms: 3000};
/** From the end of the trouble until the job is judged. */
const WAIT_MS = 25_000;

openRecord(join(import.meta.dirname, 'record.txt'));
const judge = createJudge();
const minions = [];
/** Rack by minion ID. */
const racks = new Map();
const tickets = new Map();
let system;
let adviser;
let code = 2;

/** Answers one call at a time, as the pages say. */
async function startAdviser() {
  let turn = Promise.resolve();
  return serve(system.adviserAddress, ({body}) => {
    const {step, workers} = body;
    turn = turn.then(async () => {
      await sleep(ADVICE.decide_ms + ADVICE.per_worker_ms * workers.length);
      const allowed = workers
        .filter(id => racks.get(id) === ALLOWED_RACK)
        .map(id => {
          const ticket = `${step}-${id}`;
          tickets.set(ticket, nowMs() + ADVICE.valid_ms);
          return [id, ticket];
        });
      record('advice', {
        step,
        workers: workers.length,
        allowed: allowed.length,
      });
      return {status: 200, body: {allowed, valid_ms: ADVICE.valid_ms}};
    });
    return turn;
  });
}

function acceptsTicket(life, task, ticket) {
  const step = task.slice(0, task.lastIndexOf('.'));
  const id = life.slice(0, life.lastIndexOf('@'));
  return ticket === `${step}-${id}` && (tickets.get(ticket) ?? 0) > nowMs();
}

function launch(at, rack) {
  const machine = `m-${at + 1}`;
  const id = `i-${at + 1}`;
  const capacity = {cpu: 64000, mem_mb: 131072, gpu: 0};
  const labels = ['a', rack];
  const zone = ['zone-a', 'zone-b', 'zone-c'][at % 3];
  racks.set(id, rack);
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
    acceptsTicket,
  });
}

/** Hands a job in, and resolves with its state once it has ended or `waitMs` is over. */
async function runJob(name, waitMs) {
  const id = newJobId();
  const path = `/rota/${id}`;
  const answer = await system.callAsClient({
    method: 'POST',
    host: 'jobs.example',
    path,
    key: 'key-1',
    body: {
      spec: name,
      steps: [{count: 6, cpu: 4600, mem_mb: 6600, est_runtime_ms: WORK_MS}],
    },
  });
  if (answer?.status !== 200)
    throw new Error(`the job was not accepted: ${answer?.status}`);
  const acceptedMs = nowMs();
  let state;
  while (nowMs() - acceptedMs < waitMs) {
    await sleep(1000);
    state = (
      await system.callAsClient({
        method: 'GET',
        host: 'jobs.example',
        path,
        key: 'key-1',
      })
    )?.body?.state;
    if (state === 'completed' || state === 'failed') break;
  }
  record('job', {name, state});
  return state;
}

try {
  system = await startSystem();
  adviser = await startAdviser();
  await system.putConfig(
    createConfig({queues: [{name: 'rota', service: 'desk', advice: ADVICE}]}),
  );
  for (let at = 0; at < MINIONS; at++) {
    const rack = at < ALLOWED ? ALLOWED_RACK : `r1-${2 + Math.floor(at / 20)}`;
    minions.push(await launch(at, rack));
    if (at === ALLOWED) await sleep(2000);
  }
  await sleep(5000);
  const before = await runJob('before', WAIT_MS);
  if (TROUBLE) {
    // The new one starts first; then the old one drains and leaves.
    for (let at = 0; at < ALLOWED; at++) {
      minions.push(await launch(MINIONS + at, ALLOWED_RACK));
      await minions[at].setState('draining');
      await sleep(1000);
    }
    await sleep(DRAIN_MS);
    for (let at = 0; at < ALLOWED; at++) {
      await minions[at].leave();
      system.machines.delete(minions[at].machine);
    }
  }
  await sleep(4000);
  const after = await runJob('after', WAIT_MS);
  record('result', {before, after, ...judge.counts});
  console.log(
    `job before: ${before}, job after: ${after} (${WAIT_MS} ms), ${minions.filter(minion => minion.isUp()).length} minions up, ${judge.counts.starts} starts`,
  );
  if (before === 'completed') code = after === 'completed' ? 0 : 1;
} catch (error) {
  record('failed', {error: error.stack});
  console.log(error.stack);
} finally {
  for (const minion of minions) minion.close();
  adviser?.close();
  await system?.stop();
  closeRecord();
}
process.exit(code);
