/**
 * A control machine freezes with the DELETE of a leaving minion in its socket.
 * The minion ends and starts again under the same ID; then the machine wakes.
 */
import {join} from 'node:path';
import {call} from '../lib/http.mjs';
import {createJudge} from '../lib/judge.mjs';
import {startMinion} from '../lib/minion.mjs';
import {closeRecord, nowMs, openRecord, record} from '../lib/record.mjs';
import {createConfig, newJobId, sleep, startSystem} from '../lib/system.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const FREEZE_MS = 3900;
const DRAIN_MS = 2000;
/** How long a minion stays that got no acknowledgement. */
const STAY_MS = 2000;
const MINIONS = 4;

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
    controls: [...controls()],
    durationMs: () => Infinity,
    watch: judge.watch,
  });
}

/** The leader's address comes first, so that only the DELETE meets the frozen machine. */
function controls() {
  const names = [...system.coreNames].sort(
    (a, b) => Number(b === system.leader()) - Number(a === system.leader()),
  );
  return names.map(system.controlAddress);
}

async function leave(id, control) {
  record('delete-sent', {id, control});
  try {
    const {status} = await call({
      address: control,
      method: 'DELETE',
      path: `/instances/${id}`,
      timeoutMs: STAY_MS,
    });
    record('delete-answered', {id, status});
  } catch (error) {
    record('delete-unanswered', {id, error: error.message});
  }
}

try {
  system = await startSystem();
  await system.putConfig(
    createConfig({queues: [{name: 'season', service: 'desk'}]}),
  );
  for (let at = 0; at < MINIONS; at++) minions.push(await launch(at));
  await sleep(4000);
  const leader = system.leader();
  const frozen = system.coreNames.find(name => name !== leader);
  record('roles', {leader, frozen});

  // The minion drains, then leaves.
  await minions[0].setState('draining');
  await sleep(DRAIN_MS);
  if (TROUBLE) system.signal(frozen, 'SIGSTOP');
  const frozenMs = nowMs();
  await sleep(100);
  await leave('i-1', system.controlAddress(frozen));
  minions[0].close();

  // It starts again under the ID that it had.
  await sleep(300);
  minions[0] = await launch(0);
  await sleep(500);
  const id = newJobId();
  const answer = await system.callAsClient({
    method: 'POST',
    host: 'jobs.example',
    path: `/season/${id}`,
    key: 'key-1',
    body: {
      spec: 'lasting',
      steps: [
        {
          count: 2 * MINIONS - 1,
          cpu: 4000,
          mem_mb: 1000,
          est_runtime_ms: 1000,
          long_running: true,
          anti_affinity: 2,
        },
      ],
    },
  });
  await sleep(Math.max(0, frozenMs + FREEZE_MS - nowMs()));
  record('running', {tasks: minions.map(({running}) => running.size)});
  const began = minions[0].running.size;
  if (TROUBLE) system.signal(frozen, 'SIGCONT');
  await sleep(8000);
  record('running', {tasks: minions.map(({running}) => running.size)});
  const breaks = judge.finish();
  record('result', {...judge.counts, breaks: breaks.length});
  console.log(
    `job ${answer?.status}, ${began} tasks ran on the minion that started again, ${judge.counts.starts} starts, ${breaks.length} breaks of TWICE`,
  );
  for (const text of breaks.slice(0, 5)) console.log(text);
  if (answer?.status === 200 && began > 0) code = breaks.length > 0 ? 1 : 0;
} catch (error) {
  record('failed', {error: error.stack});
  console.log(error.stack);
} finally {
  for (const minion of minions) minion.close();
  await system?.stop();
  closeRecord();
}
process.exit(code);
