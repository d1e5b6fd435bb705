/**
 * Many short tasks end on one minion while the leader's process is killed, so
 * that the minion lists its ends in two parts (500 at a time).
 */
import {join} from 'node:path';
import {createJudge} from '../lib/judge.mjs';
import {startMinion} from '../lib/minion.mjs';
import {closeRecord, nowMs, openRecord, record} from '../lib/record.mjs';
import {createConfig, newJobId, sleep, startSystem} from '../lib/system.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const JOBS = 60;
const TASKS = 20;
/** Until all tasks have started. */
const START_TIMEOUT_MS = 40_000;
/** The tasks end one after the other within this time. */
const END_SPREAD_MS = 1200;
const RESTART_MS = 2000;

openRecord(join(import.meta.dirname, 'record.txt'));
const judge = createJudge();
const minions = [];
let system;
let code = 2;
try {
  system = await startSystem();
  await system.putConfig(
    createConfig({queues: [{name: 'claims', service: 'desk'}]}),
  );
  const controls = system.coreNames.map(system.controlAddress);
  for (let at = 0; at < 2; at++) {
    const machine = `m-${at + 1}`;
    const capacity = {cpu: 64000, mem_mb: 131072, gpu: 0};
    const labels = ['a', `r1-${at + 1}`];
    const zone = 'zone-a';
    const address = system.minionAddress(at);
    const id = `i-${at + 1}`;
    system.machines.set(machine, {
      machine,
      pool: 'desk',
      state: 'up',
      zone,
      labels,
      capacity,
      id,
    });
    minions.push(
      await startMinion({
        id,
        machine,
        service: 'desk',
        address,
        zone,
        capacity,
        labels,
        controls,
        durationMs: () => Infinity,
        watch: judge.watch,
      }),
    );
  }
  await sleep(3000);
  const jobs = [];
  for (let at = 0; at < JOBS; at++) {
    const id = newJobId();
    jobs.push(
      system
        .callAsClient({
          method: 'POST',
          host: 'jobs.example',
          path: `/claims/${id}`,
          key: 'key-1',
          body: {
            spec: `job ${at}`,
            steps: [{count: TASKS, cpu: 50, mem_mb: 50, est_runtime_ms: 8000}],
          },
        })
        .then(answer => ({id, status: answer?.status})),
    );
    await sleep(80);
  }
  const accepted = (await Promise.all(jobs)).filter(
    ({status}) => status === 200,
  );
  record('accepted', {jobs: accepted.length});
  const total = accepted.length * TASKS;
  const countRunning = () =>
    minions.reduce((sum, {running}) => sum + running.size, 0);
  const startedMs = nowMs();
  while (countRunning() < total && nowMs() - startedMs < START_TIMEOUT_MS)
    await sleep(20);
  if (countRunning() < total)
    throw new Error(`only ${countRunning()} of ${total} tasks run`);
  await sleep(2000);
  record('all-run', {running: minions.map(({running}) => running.size)});
  if (TROUBLE) {
    const leader = system.leader();
    system.signal(leader, 'SIGKILL');
    setTimeout(() => system.start(leader), RESTART_MS);
  }
  const runs = minions.flatMap(minion =>
    [...minion.running.keys()].map(task => ({minion, task})),
  );
  for (const [at, {minion, task}] of runs.entries()) {
    setTimeout(
      () => minion.end(task, 'done'),
      (at / runs.length) * END_SPREAD_MS,
    );
  }
  await sleep(END_SPREAD_MS);
  // A task that is started once more works for as long as the first time.
  const again = setInterval(() => {
    for (const minion of minions) {
      for (const [task, {startedAtMs}] of minion.running) {
        if (nowMs() - startedAtMs > 4000) minion.end(task, 'done');
      }
    }
  }, 200);
  const waitMs = nowMs();
  while (nowMs() - waitMs < 30_000) {
    await sleep(500);
    const isQuiet = minions.every(
      ({running, unacknowledged}) =>
        running.size === 0 && unacknowledged() === 0,
    );
    if (isQuiet && judge.counts.done >= total) break;
  }
  clearInterval(again);
  await sleep(2000);
  const states = {};
  for (const {id} of accepted) {
    const answer = await system.callAsClient({
      method: 'GET',
      host: 'jobs.example',
      path: `/claims/${id}`,
      key: 'key-1',
    });
    const state = answer?.body?.state ?? String(answer?.status);
    states[state] = (states[state] ?? 0) + 1;
  }
  const breaks = judge.finish();
  record('result', {
    accepted: accepted.length,
    tasks: accepted.length * TASKS,
    ...judge.counts,
    states,
    breaks: breaks.length,
  });
  console.log(
    `${accepted.length} jobs, ${accepted.length * TASKS} tasks, ${judge.counts.starts} starts, ${judge.counts.done} done, states ${JSON.stringify(states)}, ${breaks.length} breaks of TWICE`,
  );
  for (const text of breaks.slice(0, 5)) console.log(text);
  if (accepted.length > 0) code = breaks.length > 0 ? 1 : 0;
} catch (error) {
  record('failed', {error: error.stack});
  console.log(error.stack);
} finally {
  for (const minion of minions) minion.close();
  await system?.stop();
  closeRecord();
}
process.exit(code);
