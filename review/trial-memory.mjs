/**
 * A trial, not a case, since no disruption is needed: scheduled jobs with a `spec` of
 * 4,000 bytes are handed in, then small jobs, so that the members write snapshots.
 * Prints how often processes ended by themselves.
 *
 *     node review/trial-memory.mjs [JOBS] [TEXT]
 *
 * JOBS: number of scheduled jobs; TEXT: first characters of each `spec`.
 */
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createJudge} from './lib/judge.mjs';
import {startMinion} from './lib/minion.mjs';
import {closeRecord, nowMs, openRecord, record} from './lib/record.mjs';
import {createConfig, newJobId, sleep, startSystem} from './lib/system.mjs';

const [jobCount = '3800', text = 'ж'] = process.argv.slice(2);
const SPEC_BYTES = 4000;
const CLIENTS = 12;
const SMALL_JOBS = 900;
const LIMIT_MS = 90_000;

openRecord(join(tmpdir(), 'review-trial-memory.txt'));
const judge = createJudge();
const minions = [];
const ends = {};
const system = await startSystem();
let isOver = false;
/** The platform starts a process again that has ended. */
async function keepRunning(name) {
  for (;;) {
    await system.nodes.get(name).exited;
    if (isOver) return;
    ends[name] = (ends[name] ?? 0) + 1;
    await sleep(500);
    if (!isOver) system.start(name);
  }
}
for (const name of system.nodes.keys()) void keepRunning(name);

await system.putConfig(
  createConfig({queues: [{name: 'season', service: 'desk'}]}),
);
for (let at = 0; at < 3; at++) {
  const id = `i-${at + 1}`;
  const capacity = {cpu: 64000, mem_mb: 131072, gpu: 0};
  const labels = ['a', 'r1-1'];
  const zone = 'zone-a';
  system.machines.set(`m-${at + 1}`, {
    machine: `m-${at + 1}`,
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
      machine: `m-${at + 1}`,
      service: 'desk',
      address: system.minionAddress(at),
      zone,
      capacity,
      labels,
      controls: system.coreNames.map(system.controlAddress),
      durationMs: () => 500,
      watch: judge.watch,
    }),
  );
}
await sleep(3000);

const statuses = {};
const submit = async (front, body) => {
  const path = `/season/${newJobId()}`;
  const answer = await system.callOnce({
    front,
    method: 'POST',
    host: 'jobs.example',
    path,
    key: 'key-1',
    body,
  });
  const status = answer?.status ?? 'none';
  statuses[status] = (statuses[status] ?? 0) + 1;
};
const spec = text + 'x'.repeat(SPEC_BYTES - Buffer.byteLength(text));
let sent = 0;
async function client(at) {
  while (sent < Number(jobCount)) {
    sent++;
    const steps = [0, 1, 2, 3].map(step => ({
      count: 8,
      cpu: 500,
      mem_mb: 100,
      est_runtime_ms: 900,
      ...(step > 0 && {after: [step - 1]}),
    }));
    await submit(system.frontNames[at % 2], {
      spec,
      steps,
      times: 6,
      start_time_ms: Date.now() + 3_600_000,
      interval_ms: 3000,
    });
  }
}
await Promise.all(Array.from({length: CLIENTS}, (_, at) => client(at)));
console.log(
  `scheduled jobs handed in after ${Math.round(nowMs())} ms: ${JSON.stringify(statuses)}, ends ${JSON.stringify(ends)}`,
);
for (let at = 0; at < SMALL_JOBS && nowMs() < LIMIT_MS; at++) {
  await submit('front-1', {
    spec: 'small',
    steps: [{count: 1, cpu: 100, est_runtime_ms: 500}],
  });
}
await sleep(5000);
record('ends', ends);
console.log(
  `after the small jobs: ${JSON.stringify(statuses)}, processes that ended by themselves: ${JSON.stringify(ends)}`,
);
isOver = true;
for (const minion of minions) minion.close();
await system.stop();
closeRecord();
process.exit(0);
