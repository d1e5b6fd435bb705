/** Runs one case: record, deployment, fleet, clients, verdict, clean-up. */
import {writeFileSync, appendFileSync} from 'node:fs';
import {join} from 'node:path';
import {createDeployment, sleep} from './deployment.mjs';
import {startFleet} from './fleet.mjs';
import {call} from './http.mjs';

export {sleep, call};

/** `play(context)` resolves with a list of breaks; throws if it could not run. */
export async function runCase(folder, play) {
  const startMs = performance.now();
  const file = join(folder, 'record.txt');
  writeFileSync(file, '');
  const rows = [];
  const record = (what, fields = {}) => {
    const atMs = Math.round(performance.now() - startMs);
    rows.push({atMs, what, ...fields});
    appendFileSync(file, `${String(atMs).padStart(6)} ms ${what} ${JSON.stringify(fields)}\n`);
  };
  const trouble = process.env.TROUBLE !== '0';
  record('begin', {trouble});
  let fleet;
  let deployment;
  let code = 2;
  const limit = setTimeout(() => {
    record('time-limit');
    void finish(2);
  }, 115_000);

  async function finish(exitCode) {
    clearTimeout(limit);
    fleet?.stop();
    await deployment?.stopAll();
    record('end', {code: exitCode});
    process.exit(exitCode);
  }
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => void finish(2));

  try {
    fleet = await startFleet({record});
    deployment = await createDeployment({platformAddress: fleet.address, record});
    const breaks = await play({
      trouble,
      record,
      rows,
      fleet,
      deployment,
      startMs,
      nowMs: () => Math.round(performance.now() - startMs),
    });
    for (const each of breaks) record('BROKEN', {rule: each});
    code = breaks.length > 0 ? 1 : 0;
    console.log(code === 1 ? `rule broken: ${breaks.join('; ')}` : 'rule held');
  } catch (error) {
    record('failed-to-run', {reason: error.message});
    console.log(`could not run: ${error.message}`);
  }
  await finish(code);
}

/** Sends a configuration until it is acknowledged, as the operator does. */
export async function putConfig({deployment, record}, config, withinMs = 15_000) {
  const endMs = performance.now() + withinMs;
  for (let at = 0; performance.now() < endMs; at++) {
    const address = deployment.controlAddresses[at % deployment.controlAddresses.length];
    const {status} = await call(address, 'PUT', '/config', {body: config, timeoutMs: 1000});
    record('config-sent', {version: config.version, status});
    if (status === 200) return;
    if ([400, 409, 412, 413, 422].includes(status)) throw new Error(`configuration refused: ${status}`);
    await sleep(100);
  }
  throw new Error(`configuration ${config.version} was not acknowledged`);
}

export const HOST = 'queues.example';

/** A call of a client, at entry processes in turn. */
export function createClient({deployment, record}, {key, host = HOST}) {
  let next = 0;
  return async (method, path, body, {deadlineMs = 3000, entry} = {}) => {
    const own = entry ?? deployment.entries[next++ % deployment.entries.length];
    const {status, body: answer, error} = await call(own.listen.front, method, path, {
      body,
      timeoutMs: deadlineMs,
      headers: {
        host,
        'lentildrift-deadline-ms': String(deadlineMs),
        ...(key && {authorization: `Token ${key}`}),
      },
    });
    record('call', {method, path, entry: own.name, status, answer, error});
    return {status, body: answer};
  };
}

/** Submits until there is a clear answer, as a client with retries does. */
export async function submit(client, path, job, tries = 10) {
  let last;
  for (let at = 0; at < tries; at++) {
    last = await client('POST', path, job);
    if (last.status === 200) return;
    await sleep(300);
  }
  throw new Error(`job ${path} was not accepted: ${last.status}`);
}

export function route(name, prefix, service, extra = {}) {
  return {
    name,
    host: HOST,
    path_prefix: prefix,
    kind: 'unsafe',
    timeout_ms: 3000,
    target_latency_ms: 600,
    priority: 0,
    service,
    max_attempts: 4,
    stretch: 1.6,
    public: false,
    ...extra,
  };
}

export function service(name, extra = {}) {
  return {
    name,
    health_path: '/health',
    max_conns: 64,
    protocol: 'h1',
    tls: false,
    rejects_overload: false,
    standby: false,
    ...extra,
  };
}

export const LIMITS = {
  max_header_bytes: 16384,
  max_body_bytes: 262144,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

export function tenant(name, keys, cap = {cpu: 0, mem_mb: 0, gpu: 0}) {
  return {name, api_keys: keys, priority: 1, weight: 30, cap};
}

/** Waits until the condition holds; rejects after `withinMs`. */
export async function until(what, condition, withinMs) {
  const endMs = performance.now() + withinMs;
  while (performance.now() < endMs) {
    const value = await condition();
    if (value) return value;
    await sleep(20);
  }
  throw new Error(`${what} did not happen within ${withinMs} ms`);
}

/** The rule TWICE, for the starts and ends that the minions have seen. */
export function findTwice(rows) {
  const breaks = [];
  /** Task -> runs at work, as `run N on MINION`. */
  const live = new Map();
  const done = new Set();
  for (const {what, task, minion, run, how, atMs, running} of rows) {
    if (what === 'minion-crashed') {
      for (const each of running) {
        const left = [...(live.get(each) ?? [])].filter(name => !name.endsWith(` on ${minion}`));
        live.set(each, new Set(left));
      }
    } else if (what === 'run-started') {
      const others = live.get(task) ?? new Set();
      if (others.size > 0) {
        breaks.push(`TWICE: task ${task} run ${run} starts on ${minion} at ${atMs} ms while ${[...others]} is at work`);
      }
      if (done.has(task)) breaks.push(`TWICE: task ${task} run ${run} starts at ${atMs} ms after a run has ended done`);
      live.set(task, new Set([...others, `run ${run} on ${minion}`]));
    } else if (what === 'run-ended') {
      live.get(task)?.delete(`run ${run} on ${minion}`);
      if (how === 'done') done.add(task);
    }
  }
  return breaks;
}
