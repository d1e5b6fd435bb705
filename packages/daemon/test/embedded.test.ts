import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {startEmbedded, type EmbeddedDaemon} from '@lentildrift/daemon';
import {createIntake} from '@lentildrift/intake-limits';
import {
  createKey,
  type Command,
  type Host,
  type Job,
  type Wave,
} from '@lentildrift/model';
import {createLog} from '@lentildrift/observe';
import {createServiceClient} from '@lentildrift/protocol';
import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

let embedded: EmbeddedDaemon;

beforeAll(async () => {
  const log = createLog('error', {}, () => undefined);
  embedded = await startEmbedded({
    log,
    intake: createIntake({
      listeners: 'http',
      limits: {budgetBytes: 64 * 1024 * 1024, maxConnections: 1000},
      log,
    }),
    entryPort: 0,
    dataFolder: await mkdtemp(join(tmpdir(), 'lentildrift-')),
    onFatal: error => {
      throw error;
    },
  });
});

afterAll(() => embedded.stop());

function call(path: string, key?: string) {
  return fetch(`http://127.0.0.1:${embedded.entryPort}${path}`, {
    headers: key ? {authorization: `Bearer ${key}`} : {},
  });
}

describe('a call in embedded mode', () => {
  it('is answered by an upstream that announced itself', async () => {
    const response = await call('/call/lanes/today?n=1', embedded.teamKey);
    expect(response.status).toBe(200);
    expect(response.headers.get('lentildrift-verdict')).toBe('ran');
    expect(await response.json()).toMatchObject({url: '/today?n=1'});
  });

  it('is refused with verdict not-run without a valid key', async () => {
    for (const key of [undefined, createKey().text, 'nonsense']) {
      const response = await call('/call/lanes/', key);
      expect(response.status).toBe(401);
      expect(response.headers.get('lentildrift-verdict')).toBe('not-run');
    }
  });

  it('is refused with verdict not-run on an unknown route', async () => {
    const response = await call('/call/constructor/', embedded.teamKey);
    expect(response.status).toBe(404);
    expect(await response.json()).toMatchObject({verdict: 'not-run'});
  });
});

const POLL_OPTIONS = {timeout: 20_000, interval: 100};

async function sendJobs(method: string, body?: object): Promise<Response> {
  return fetch(`http://127.0.0.1:${embedded.entryPort}/jobs`, {
    method,
    headers: {authorization: `Bearer ${embedded.teamKey}`},
    body: body && JSON.stringify(body),
  });
}

async function readPhases(): Promise<Record<string, string>> {
  const {jobs: list} = (await (await sendJobs('GET')).json()) as {jobs: Job[]};
  return Object.fromEntries(list.map(({id, phase}) => [id, phase]));
}

function createJob(id: string, command: string) {
  const declared = {cores: 1, memoryMiB: 256};
  return {id, queue: 'recounts', declared, runTimeMs: 1000, command};
}

describe('the planner in embedded mode', () => {
  it('finishes, parks or cancels every job submitted over HTTP', async () => {
    const list = [
      createJob('short', 'sleep 500'),
      createJob('broken', 'fail'),
      createJob('long', 'sleep 600000'),
    ];
    const response = await sendJobs('POST', {jobs: list});
    expect(response.status).toBe(200);
    await expect
      .poll(readPhases, POLL_OPTIONS)
      .toEqual({short: 'done', broken: 'parked', long: 'running'});
    expect((await sendJobs('DELETE', {jobs: ['long']})).status).toBe(200);
    await expect
      .poll(readPhases, POLL_OPTIONS)
      .toMatchObject({long: 'cancelled'});
  }, 45_000);

  it('carries out the drains, undrains and waves of operators', async () => {
    const address = `127.0.0.1:${embedded.controlPort}`;
    const {control, close} = createServiceClient({address, timeoutMs: 2000});
    const key = embedded.operatorKey;
    let requests = 0;
    const run = async (command: Command) => {
      const requestId = `request-${++requests}`;
      expect((await control.command({key, requestId, command})).ok).toBe(true);
    };
    const read = async <T>(topic: 'hosts' | 'waves') =>
      (await control.read({key, topic})).body as T[];
    const readHostPhase = async (id: string) =>
      (await read<Host>('hosts')).find(host => host.id === id)?.phase;
    await run({type: 'drain', host: 'worker-1'});
    await expect
      .poll(() => readHostPhase('worker-1'), POLL_OPTIONS)
      .toBe('drained');
    await run({type: 'undrain', host: 'worker-1'});
    await expect
      .poll(() => readHostPhase('worker-1'), POLL_OPTIONS)
      .toBe('serving');
    const hosts = ['worker-1', 'worker-2', 'worker-3', 'worker-4'];
    const deadlineMs = Date.now() + 3600_000;
    await run({type: 'open-wave', wave: 'upgrade', hosts, deadlineMs});
    const readFinished = async () => (await read<Wave>('waves'))[0]?.finished;
    await expect
      .poll(readFinished, {timeout: 60_000, interval: 200})
      .toHaveLength(hosts.length);
    await close();
  }, 100_000);
});
