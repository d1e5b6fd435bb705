import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {startEmbedded, type EmbeddedDaemon} from '@lentildrift/daemon';
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

describe('a call through the embedded default', () => {
  it('is answered by an upstream that announced itself', async () => {
    const response = await call('/call/lanes/today?n=1', embedded.teamKey);
    expect(response.status).toBe(200);
    expect(response.headers.get('lentildrift-verdict')).toBe('ran');
    expect(await response.json()).toMatchObject({url: '/today?n=1'});
  });

  it('is refused with not-run without a key, and with a forged one', async () => {
    for (const key of [undefined, createKey().text, 'nonsense']) {
      const response = await call('/call/lanes/', key);
      expect(response.status).toBe(401);
      expect(response.headers.get('lentildrift-verdict')).toBe('not-run');
    }
  });

  it('is refused with not-run on a route that does not exist', async () => {
    const response = await call('/call/constructor/', embedded.teamKey);
    expect(response.status).toBe(404);
    expect(await response.json()).toMatchObject({verdict: 'not-run'});
  });
});

const POLL = {timeout: 20_000, interval: 100};

async function jobs(method: string, body?: object): Promise<Response> {
  return fetch(`http://127.0.0.1:${embedded.entryPort}/jobs`, {
    method,
    headers: {authorization: `Bearer ${embedded.teamKey}`},
    body: body && JSON.stringify(body),
  });
}

async function phases(): Promise<Record<string, string>> {
  const {jobs: list} = (await (await jobs('GET')).json()) as {jobs: Job[]};
  return Object.fromEntries(list.map(({id, phase}) => [id, phase]));
}

function job(id: string, command: string) {
  const declared = {cores: 1, memoryMiB: 256};
  return {id, queue: 'recounts', declared, runTimeMs: 1000, command};
}

describe('the planner of the embedded default', () => {
  it('leaves no job that came over HTTP without an end', async () => {
    const list = [
      job('short', 'sleep 500'),
      job('broken', 'fail'),
      job('long', 'sleep 600000'),
    ];
    const response = await jobs('POST', {jobs: list});
    expect(response.status).toBe(200);
    await expect
      .poll(phases, POLL)
      .toEqual({short: 'done', broken: 'parked', long: 'running'});
    expect((await jobs('DELETE', {jobs: ['long']})).status).toBe(200);
    await expect.poll(phases, POLL).toMatchObject({long: 'cancelled'});
  }, 45_000);

  it('carries drains, undrains and waves of the operators to the platform', async () => {
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
    const hostPhase = async (id: string) =>
      (await read<Host>('hosts')).find(host => host.id === id)?.phase;
    await run({type: 'drain', host: 'worker-1'});
    await expect.poll(() => hostPhase('worker-1'), POLL).toBe('drained');
    await run({type: 'undrain', host: 'worker-1'});
    await expect.poll(() => hostPhase('worker-1'), POLL).toBe('serving');
    const hosts = ['worker-1', 'worker-2', 'worker-3', 'worker-4'];
    const deadlineMs = Date.now() + 3600_000;
    await run({type: 'open-wave', wave: 'upgrade', hosts, deadlineMs});
    const finished = async () => (await read<Wave>('waves'))[0]?.finished;
    await expect
      .poll(finished, {timeout: 60_000, interval: 200})
      .toHaveLength(hosts.length);
    await close();
  }, 100_000);
});
