/**
 * The leader stands still while jobs are handed in, and the key of their tenant is
 * taken away while the next one takes over.
 */
import {call, createClient, putConfig, route, runCase, service, sleep, tenant, LIMITS} from '../lib-2/case.mjs';

const MINIONS = 6;
const ROUNDS = 8;
const FREEZE_MS = 4000;
/** Times from the begin of the freeze until the two operators send their changes. */
const REVOKE_AFTER_MS = [650, 680];
const JOBS = 40;
/** Longest payload of a job. */
const SPEC = 'x'.repeat(3900);

await runCase(import.meta.dirname, async context => {
  const {deployment, fleet, record, rows, trouble} = context;
  deployment.startAll();
  const keys = Array.from({length: ROUNDS}, (_, at) => `key${at}`);
  const config = {
    version: 3,
    routes: [route('r-one', '/one/', 'svc-a')],
    services: [service('svc-a')],
    limits: LIMITS,
    tenants: [tenant('t-one', [...keys, 'keylast'])],
  };
  await putConfig(context, config);
  await fleet.populate(
    {controls: deployment.controlAddresses, work: () => ({ms: 500})},
    {'svc-a': MINIONS},
  );
  await sleep(5000);
  /** Job -> statuses of all attempts. */
  const attempts = new Map();

  async function handIn(client, id) {
    const statuses = [];
    attempts.set(id, statuses);
    for (let tries = 0; tries < 5; tries++) {
      const {status} = await client('POST', `/one/${id}`, {
        spec: SPEC,
        steps: [{count: 1, cpu: 500, mem_mb: 100, est_runtime_ms: 500}],
      });
      statuses.push(status);
      // After no answer, 502 or 504 the request is repeated.
      if (status !== 0 && status !== 502 && status !== 504) return;
      await sleep(100);
    }
  }

  async function change(next, others, first, afterMs) {
    await sleep(afterMs);
    for (let tries = 0; tries < 20; tries++) {
      const to = others[(first + tries) % 2];
      const {status} = await call(to.listen.control, 'PUT', '/config', {body: next, timeoutMs: 1000});
      record('config-sent', {version: next.version, to: to.name, status});
      if (status === 200) return;
      await sleep(50);
    }
  }

  for (let round = 0; round < ROUNDS; round++) {
    const client = createClient(context, {key: keys[round]});
    const leader = deployment.leader();
    if (!leader) throw new Error('no leader found');
    const others = deployment.controls.filter(own => own !== leader);
    const calls = [];
    for (let at = 0; at < JOBS; at++) {
      const id = `${String(round).padStart(4, '0')}7a21d94b${String(at).padStart(4, '0')}`;
      calls.push(handIn(client, id));
    }
    await sleep(12 + 3 * round);
    if (trouble) deployment.signal(leader, 'SIGSTOP');
    // Two operators take the key away, at nodes that run.
    for (const [at, afterMs] of REVOKE_AFTER_MS.entries()) {
      const next = {
        ...config,
        version: 5 + 2 * round + at,
        tenants: [tenant('t-one', [...keys.slice(round + 1), 'keylast'])],
      };
      calls.push(change(next, others, at, afterMs));
    }
    await sleep(FREEZE_MS);
    if (trouble) deployment.signal(leader, 'SIGCONT');
    await Promise.all(calls);
    await sleep(5500);
  }
  await sleep(4000);
  const started = new Set(rows.filter(({what}) => what === 'run-started').map(({task}) => task.split('.')[0]));
  const breaks = [];
  for (const [id, statuses] of attempts) {
    const isRejected = statuses.every(status => [400, 401, 404, 429, 503].includes(status));
    record('job', {id, statuses, ran: started.has(id)});
    if (isRejected && started.has(id)) {
      breaks.push(`REFUSED: job ${id} runs, and all attempts to hand it in were rejected (${statuses})`);
    }
  }
  return breaks;
});
