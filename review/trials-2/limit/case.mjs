/**
 * The platform is silent for some seconds while machines are due for upkeep, one
 * at a time, and a minion crashes on the machine whose turn it is.
 */
import {call, putConfig, route, runCase, service, sleep, tenant, until, LIMITS} from '../../lib-2/case.mjs';

const MINIONS = 7;
const WAVE = 4;
const CAP = 1;
const SILENT_MS = 5000;
const DOWN_MS = 1000;

await runCase(import.meta.dirname, async context => {
  const {deployment, fleet, record, rows, trouble} = context;
  deployment.startAll();
  await putConfig(context, {
    version: 3,
    routes: [route('r-one', '/one/', 'svc-a')],
    services: [service('svc-a')],
    limits: LIMITS,
    tenants: [tenant('t-one', ['keyone'])],
  });
  await fleet.populate(
    {controls: deployment.controlAddresses, work: () => ({ms: 500})},
    {'svc-a': MINIONS},
  );
  await sleep(5000);
  const machines = [...fleet.machines.keys()].slice(0, WAVE);
  if (trouble) fleet.silence(SILENT_MS);
  for (const address of deployment.controlAddresses) {
    const {status} = await call(address, 'POST', '/wave-start', {
      timeoutMs: 1000,
      body: {wave: 1, machines, duration_s: 26, cap: CAP},
    });
    record('wave-start', {status, machines});
    if (status === 200) break;
  }
  if (trouble) {
    const dropped = await until(
      'an order during the silence',
      () => rows.find(({what}) => what === 'machine-order-dropped'),
      SILENT_MS,
    );
    await sleep(200);
    fleet.crash(fleet.machines.get(dropped.machine), DOWN_MS);
  }
  await sleep(30_000);
  const {body} = await call(deployment.controlAddresses[0], 'GET', '/wave-get/1');
  record('wave-state', {body});
  const breaks = [];
  const down = new Set();
  for (const {what, machine, atMs} of rows) {
    if (what === 'upkeep-over') down.delete(machine);
    if (what !== 'upkeep-begun') continue;
    if (down.size >= CAP) {
      breaks.push(`LIMIT: the upkeep of ${machine} begins at ${atMs} ms while ${[...down]} is down for its own, and ${CAP} may be`);
    }
    down.add(machine);
  }
  return breaks;
});
