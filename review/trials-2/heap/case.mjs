/**
 * Many scheduled jobs are accepted, then all control processes are killed once and
 * start again. From then on they end by themselves at each snapshot.
 */
import {createClient, putConfig, route, runCase, service, sleep, tenant, until, LIMITS} from '../../lib-2/case.mjs';

const JOBS = 3700;
const TENANTS = 6;
/** Below the sum of the tenants' weights, which is 180. */
const JOBS_PER_S = 150;
/** The longest payload, 4,000 bytes, with one Cyrillic letter. */
const SPEC = 'ж' + 'x'.repeat(3998);
const SMALL_JOBS_PER_S = 50;
const END_MS = 103_000;
/** Ends of one process by itself that count, and of how many of three. */
const MIN_ENDS = 3;
const MIN_PROCESSES = 2;

await runCase(import.meta.dirname, async context => {
  const {deployment, fleet, record, trouble, nowMs} = context;
  deployment.startAll();
  const names = Array.from({length: TENANTS}, (_, at) => `t-${at}`);
  await putConfig(context, {
    version: 3,
    routes: [route('r-one', '/one/', 'svc-a')],
    services: [service('svc-a')],
    limits: LIMITS,
    tenants: names.map(name => tenant(name, [`key-${name}`])),
  });
  await fleet.populate({controls: deployment.controlAddresses, work: () => ({ms: 100})}, {'svc-a': 4});
  await sleep(4000);
  const clients = names.map(name => createClient(context, {key: `key-${name}`}));
  const startAt = Date.now() + 3_600_000;
  const accepted = [];

  async function handIn(at) {
    const id = String(at).padStart(16, '0');
    for (let tries = 0; tries < 5; tries++) {
      const {status} = await clients[at % TENANTS]('POST', `/one/${id}`, {
        spec: SPEC,
        steps: [{count: 1, cpu: 100, mem_mb: 10, est_runtime_ms: 100}],
        times: 2,
        start_time_ms: startAt,
        interval_ms: 60_000,
      });
      if (status === 200) {
        accepted.push(id);
        return;
      }
      await sleep(500);
    }
  }

  const calls = [];
  const beganMs = performance.now();
  for (let at = 0; at < JOBS; at++) {
    calls.push(handIn(at));
    const waitMs = beganMs + (at * 1000) / JOBS_PER_S - performance.now();
    if (waitMs > 0) await sleep(waitMs);
  }
  await Promise.all(calls);
  const ends = () => deployment.controls.map(({exits}) => exits.length);
  record('handed-in', {accepted: accepted.length, ends: ends()});
  if (trouble) {
    for (const own of deployment.controls) deployment.signal(own, 'SIGKILL');
    await until('the end of all', () => deployment.controls.every(own => !own.child), 3000);
    for (const own of deployment.controls) {
      own.exits.length = 0;
      deployment.start(own);
    }
  }
  // The platform starts a process again that ends by itself.
  const keeper = setInterval(() => {
    for (const own of deployment.controls) if (!own.child) deployment.start(own);
  }, 500);
  let sent = 0;
  let acceptedSmall = 0;
  while (nowMs() < END_MS) {
    const id = `ff${String(++sent).padStart(14, '0')}`;
    void clients[sent % TENANTS]('POST', `/one/${id}`, {
      spec: '',
      steps: [{count: 1, cpu: 100, mem_mb: 10, est_runtime_ms: 100}],
    }).then(({status}) => (acceptedSmall += status === 200 ? 1 : 0));
    await sleep(1000 / SMALL_JOBS_PER_S);
  }
  await sleep(1500);
  clearInterval(keeper);
  const count = ends();
  for (const own of deployment.controls) {
    const reasons = deployment.logLines(own, /heap out of memory/i);
    record('ended-by-itself', {name: own.name, exits: own.exits, outOfMemory: reasons.length});
  }
  record('summary', {sent, acceptedSmall, ends: count});
  if (count.filter(each => each >= MIN_ENDS).length < MIN_PROCESSES) return [];
  return [`Fault: the control processes have ended by themselves ${count.join(', ')} times since they were back`];
});
