/**
 * A new version of the configuration lowers the cap of a tenant. A job whose task
 * is larger than what is left of the cap, but not larger than the cap, waits for
 * good, although the tenant has less than half of its cap running.
 */
import {createClient, putConfig, route, runCase, service, sleep, submit, tenant, until, LIMITS} from '../../lib-2/case.mjs';

const MINIONS = 6;
const LASTING = '0000bb87a21d94b0';
const JOB = '5c0e7a21d94b36f8';
/** In thousandths of a core. */
const CAP = 8000;
const LASTING_CPU = 3000;
const JOB_CPU = 6000;

await runCase(import.meta.dirname, async context => {
  const {deployment, fleet, record, rows, trouble} = context;
  deployment.startAll();
  const config = {
    version: 3,
    routes: [route('r-one', '/one/', 'svc-a')],
    services: [service('svc-a')],
    limits: LIMITS,
    tenants: [tenant('t-one', ['keyone'], {cpu: 10 * CAP, mem_mb: 0, gpu: 0})],
  };
  await putConfig(context, config);
  await fleet.populate(
    {
      controls: deployment.controlAddresses,
      work: task => (task.startsWith(LASTING) ? {lasts: true} : {ms: 1000}),
    },
    {'svc-a': MINIONS},
  );
  await sleep(4000);
  const client = createClient(context, {key: 'keyone'});
  await submit(client, `/one/${LASTING}`, {
    spec: 'serve',
    steps: [{count: 1, cpu: LASTING_CPU, mem_mb: 1000, est_runtime_ms: 700, long_running: true}],
  });
  await until('the start of the task that lasts', () => fleet.holderOf(`${LASTING}.0.0.0`), 8000);
  const cap = trouble ? CAP : 2 * CAP;
  await putConfig(context, {
    ...config,
    version: 5,
    tenants: [tenant('t-one', ['keyone'], {cpu: cap, mem_mb: 0, gpu: 0})],
  });
  await sleep(3000);
  await submit(client, `/one/${JOB}`, {
    spec: 'one task',
    steps: [{count: 1, cpu: JOB_CPU, mem_mb: 1000, est_runtime_ms: 1000}],
  });
  await sleep(25_000);
  const {body} = await client('GET', `/one/${JOB}`);
  const isStarted = rows.some(({what, task}) => what === 'run-started' && task.startsWith(JOB));
  record('summary', {cap, running: LASTING_CPU, task: JOB_CPU, state: body?.state, isStarted});
  if (isStarted) return [];
  return [
    `LOST: an accepted job has had nothing running for 25 s, its tenant has ${LASTING_CPU} of ${cap} running, and the minions have ${MINIONS * 64000}`,
  ];
});
