/**
 * A minion crashes right after the start of a task that lasts. Its next life is cut
 * off one way, so that only its heartbeats get through, and is then lost for good.
 */
import {join} from 'node:path';
import {createJudge} from '../lib/judge.mjs';
import {startMinion} from '../lib/minion.mjs';
import {closeRecord, nowMs, openRecord, record} from '../lib/record.mjs';
import {createConfig, newJobId, sleep, startSystem} from '../lib/system.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const MINIONS = 8;
const RUN_MS = 20;
const DOWN_MS = 1500;
const CUT_MS = 4000;
/** The task has to run again within 6 s; 4 s of calm and 3 s without a run break it. */
const JUDGED_MS = 25_000;

openRecord(join(import.meta.dirname, 'record.txt'));
const judge = createJudge();
const minions = [];
let system;
let code = 2;

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
    durationMs: () => Infinity,
    watch: judge.watch,
  });
}

const runnerOf = task =>
  minions.findIndex(minion => minion.isUp() && minion.running.has(task));

try {
  system = await startSystem();
  await system.putConfig(
    createConfig({queues: [{name: 'season', service: 'desk'}]}),
  );
  for (let at = 0; at < MINIONS; at++) minions.push(await launch(at));
  await sleep(4000);
  // The minion crashes before its next answer to a hold could list the run.
  const isBetweenHolds = () =>
    minions.every(
      minion => minion.holdAgeMs() > 100 && minion.holdAgeMs() < 500,
    );
  while (!isBetweenHolds() && nowMs() < 20_000) await sleep(5);
  const id = newJobId();
  const path = `/season/${id}`;
  const answer = await system.callAsClient({
    method: 'POST',
    host: 'jobs.example',
    path,
    key: 'key-1',
    body: {
      spec: 'lasting',
      steps: [
        {
          count: 2,
          cpu: 5400,
          mem_mb: 13000,
          est_runtime_ms: 1000,
          long_running: true,
          anti_affinity: 1,
        },
      ],
    },
  });
  const task = `${id}.0.0.0`;
  while (runnerOf(task) < 0 && nowMs() < 30_000) await sleep(5);
  const at = runnerOf(task);
  await sleep(RUN_MS);
  if (TROUBLE) {
    record('crash', {life: minions[at].life});
    minions[at].close();
    await sleep(DOWN_MS);
    minions[at] = await launch(at);
    minions[at].setCut(true);
    record('cut-one-way', {life: minions[at].life});
    await sleep(CUT_MS);
    record('lost', {life: minions[at].life});
    minions[at].close();
    system.machines.delete(minions[at].machine);
  }
  const lostMs = nowMs();
  let restartedMs;
  while (nowMs() - lostMs < JUDGED_MS) {
    if (runnerOf(task) >= 0) restartedMs ??= nowMs() - lostMs;
    await sleep(100);
  }
  const isRunning = runnerOf(task) >= 0;
  const state = (
    await system.callAsClient({
      method: 'GET',
      host: 'jobs.example',
      path,
      key: 'key-1',
    })
  )?.body?.state;
  record('result', {state, isRunning, restartedMs, ...judge.counts});
  console.log(
    `job ${answer?.status}, shown as ${state}, task ${isRunning ? `runs (${Math.round(restartedMs)} ms)` : 'has no run'} ${JUDGED_MS} ms after the loss`,
  );
  if (answer?.status === 200 && at >= 0) code = isRunning ? 0 : 1;
} catch (error) {
  record('failed', {error: error.stack});
  console.log(error.stack);
} finally {
  for (const minion of minions) minion.close();
  await system?.stop();
  closeRecord();
}
process.exit(code);
