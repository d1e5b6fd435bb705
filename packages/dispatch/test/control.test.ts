/** Tests control and entry processes connected over loopback, in real time. */
import {openLink} from '@lentildrift/link';
import {createLog, createMetrics, type Metrics} from '@lentildrift/observe';
import {MemoryDisk, MemoryStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';
import {createServer} from 'node:net';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {
  Adviser,
  initialVotersFor,
  startQueueControl,
  startQueueEntry,
  type QueueControl,
  type QueueEntry,
  type Reply,
  type Request,
} from '../src/index.js';
import {MAX_DIRECT_WORKERS} from '../src/relayed-driver.js';
import type {Envelope} from '../src/remote.js';
import {HOLD_WAIT_MS} from '../src/timing.js';
import {job, TABLES, worker} from './harness.js';
import {FakeFleet, FakeHostProvider} from './fakes.js';

const HOST = '127.0.0.1';

class NoAdviser extends Adviser {
  override readonly maxWorkersPerCall = 100;

  override async advise(): Promise<never> {
    throw new Error('no advice');
  }
}

interface ControlProcess {
  control: QueueControl | undefined;
  readonly address: string;
  member: string;
  disk: MemoryDisk;
  readonly fleet: FakeFleet;
  /** Metrics of the last start. */
  metrics?: Metrics;
}

const processes: ControlProcess[] = [];
const entries: QueueEntry[] = [];

afterEach(async () => {
  vi.restoreAllMocks();
  await Promise.all(entries.splice(0).map(entry => entry.stop()));
  await Promise.all(processes.splice(0).map(each => each.control?.stop()));
});

async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  for (const server of servers) {
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  }
  const ports = servers.map(
    server => (server.address() as {port: number}).port,
  );
  for (const server of servers) {
    await new Promise(resolve => server.close(resolve));
  }
  return ports;
}

const log = createLog('error', {}, () => {});

async function start(
  target: ControlProcess,
  seeds: readonly string[],
  initialVoters: readonly string[],
): Promise<void> {
  const {fleet} = target;
  target.metrics = createMetrics();
  target.control = await startQueueControl({
    member: target.member,
    store: new MemoryStore(target.disk),
    seeds: () => seeds,
    initialVoters,
    toleratedDiskLosses: 1,
    driver: fleet,
    dataCentre: 'a',
    hosts: new FakeHostProvider(fleet, () => {}),
    adviser: new NoAdviser(),
    tasks: startTasks(() => {}),
    log,
    metrics: target.metrics,
    holder: target.address,
    onFatal: error => {
      throw error;
    },
  });
}

async function startGroup(size = 3): Promise<QueueEntry> {
  const ports = await freePorts(size);
  const seeds = ports.map(port => `${HOST}:${port}`);
  for (const address of seeds) {
    processes.push({
      control: undefined,
      address,
      member: `${address}/first`,
      disk: new MemoryDisk(),
      fleet: new FakeFleet(),
    });
  }
  await Promise.all(
    processes.map(each => start(each, seeds, initialVotersFor(seeds))),
  );
  const entry = startQueueEntry({
    name: 'entry',
    seeds: () => seeds,
    tasks: startTasks(() => {}),
    log,
  });
  entries.push(entry);
  return entry;
}

/** Repeats the request until its reply is other than `unavailable`. */
async function retryWhileUnavailable(
  entry: Pick<QueueEntry, 'service'>,
  request: Request,
): Promise<Reply> {
  for (let attempt = 0; attempt < 15; attempt++) {
    const reply = await entry.service.handle(`r-${attempt}`, request, 900);
    if (reply.type !== 'refused' || reply.reason !== 'unavailable') {
      return reply;
    }
  }
  throw new Error('unavailable for too long');
}

const EDIT: Request = {type: 'edit', tables: TABLES};

function submit(id: string): Request {
  const {payload, steps} = job(id);
  return {type: 'submit', host: 'h', path: `/q/${id}`, payload, steps};
}

function inspect(path: string): Request {
  return {type: 'inspect', host: 'h', path};
}

/** Polls the processes until one of them has the role of the leader. */
async function findLeader(): Promise<ControlProcess> {
  for (let turn = 0; turn < 100; turn++) {
    for (const each of processes) {
      const status = each.control?.status();
      if (status?.role === 'leader') return each;
    }
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  throw new Error('no leader');
}

// Its leader waited for an answer to a round of heartbeats that it sent to no one.
it('a group of one control process serves requests', async () => {
  const entry = await startGroup(1);
  expect(await retryWhileUnavailable(entry, EDIT)).toEqual({type: 'done'});
});

describe('a group of control processes', () => {
  it('accepts jobs through an entry process and keeps them when its leader stops', async () => {
    const entry = await startGroup();
    await vi.waitFor(
      async () => {
        const reply = await entry.service.handle('r', submit('early'), 900);
        expect(reply).toMatchObject({
          detail: 'there are no tables yet',
          verdict: 'not-run',
          retryAfterMs: expect.any(Number),
        });
      },
      {timeout: 8000},
    );
    expect(await retryWhileUnavailable(entry, EDIT)).toEqual({type: 'done'});
    expect(await retryWhileUnavailable(entry, submit('a'))).toEqual({
      type: 'done',
    });
    expect(entry.isReady()).toBe(true);
    const leader = await findLeader();
    await leader.control!.stop();
    leader.control = undefined;
    expect(await retryWhileUnavailable(entry, inspect('/q/a'))).toEqual({
      type: 'job',
      phase: 'queued',
    });
    expect(await retryWhileUnavailable(entry, inspect('/q/'))).toEqual({
      type: 'waiting',
      count: 1,
    });
    expect(await retryWhileUnavailable(entry, inspect('/q/b'))).toMatchObject({
      reason: 'unknown',
    });
    expect(await retryWhileUnavailable(entry, inspect('/r'))).toMatchObject({
      reason: 'no-queue',
    });
  }, 20_000);

  it('makes a request wait for a takeover instead of having it repeated at once', async () => {
    const seeds = (await freePorts(3)).map(port => `${HOST}:${port}`).sort();
    const address = seeds[0]!;
    const first = {
      control: undefined,
      address,
      member: `${address}/first`,
      disk: new MemoryDisk(),
      fleet: new FakeFleet(),
    };
    processes.push(first);
    // Elected by itself, it does not lead while the group lacks voters.
    await start(first, seeds, [first.member]);
    await findLeader();
    let markOpen = () => {};
    const opened = new Promise<void>(resolve => (markOpen = resolve));
    const link = openLink({
      address,
      name: 'entry',
      tasks: startTasks(() => {}),
      log,
      onPost: () => {},
      onStateChange: () => markOpen(),
    });
    await opened;
    const startMs = performance.now();
    const request: Envelope = {
      type: 'request',
      id: 'r',
      request: inspect('/q/a'),
      relay: false,
      isRetry: false,
    };
    expect(await link.request(request, 700)).toEqual({type: 'not-leader'});
    // Timers may fire a millisecond early.
    expect(performance.now() - startMs).toBeGreaterThan(290);
    await link.stop();
  });

  // One process cannot make all calls to the workers of a large fleet.
  it('divides the calls to workers among its processes, also when one stops', async () => {
    const entry = await startGroup();
    await retryWhileUnavailable(entry, EDIT);
    const rows = Array.from({length: MAX_DIRECT_WORKERS + 20}, (_, nth) =>
      worker(`w${nth}`),
    );
    const holds = processes.map(({fleet}) => {
      for (const row of rows) fleet.add(row);
      return vi.spyOn(fleet, 'hold');
    });
    for (const row of rows) {
      const announce: Request = {type: 'announce', worker: row};
      await retryWhileUnavailable(entry, announce);
    }
    const leader = await findLeader();
    const others = processes.filter(each => each !== leader);
    const calledBy = ({fleet}: ControlProcess) => {
      const {calls} =
        holds[processes.findIndex(each => each.fleet === fleet)]!.mock;
      return new Set(calls.map(([{id}]) => id)).size;
    };
    const half = rows.length / 2;
    await vi.waitFor(
      () => expect(others.map(calledBy)).toEqual([half, half]),
      5000,
    );
    const leaderHolds = holds[processes.indexOf(leader)]!;
    // Those that it sent while the fleet was small have been answered by now.
    await new Promise(resolve => setTimeout(resolve, HOLD_WAIT_MS));
    const sentBefore = leaderHolds.mock.calls.length;
    const [stopping, remaining] = others;
    await new Promise(resolve => setTimeout(resolve, HOLD_WAIT_MS));
    expect(leaderHolds.mock.calls.length).toBe(sentBefore);
    await stopping!.control!.stop();
    stopping!.control = undefined;
    await vi.waitFor(
      () => expect(calledBy(remaining!)).toBe(rows.length),
      5000,
    );
  }, 20_000);

  it('makes a member that lost its disk a voter again, twice in a row', async () => {
    const entry = await startGroup();
    await retryWhileUnavailable(entry, EDIT);
    await retryWhileUnavailable(entry, submit('a'));
    const seeds = processes.map(({address}) => address);
    for (const suffix of ['second', 'third']) {
      const leader = await findLeader();
      await leader.control!.stop();
      leader.disk = new MemoryDisk();
      leader.member = `${leader.address}/${suffix}`;
      await start(leader, seeds, []);
      await vi.waitFor(
        () => {
          const {voters} = leader.control!.status();
          expect([...voters].sort()).toEqual(
            processes.map(({member}) => member).sort(),
          );
        },
        {timeout: 8000, interval: 50},
      );
    }
    expect(await retryWhileUnavailable(entry, inspect('/q/a'))).toMatchObject({
      type: 'job',
    });
  }, 30_000);

  // The outcome of such a request would otherwise count as unknown, and it would
  // be sent again until its time is over.
  it('does not record an edit again that an operator resends', async () => {
    const entry = await startGroup();
    expect(await retryWhileUnavailable(entry, EDIT)).toEqual({type: 'done'});
    const {control} = await findLeader();
    const before = control!.status().revision;
    const other = {...TABLES, document: 'other'};
    const older = {...TABLES, version: TABLES.version - 1};
    const handle = (tables: typeof TABLES) =>
      entry.service.handle('r', {type: 'edit', tables}, 900);
    expect(await handle(TABLES)).toEqual({type: 'done'});
    expect(await handle(older)).toEqual({type: 'done'});
    expect(await handle(other)).toMatchObject({reason: 'conflict'});
    expect(control!.status().revision).toBe(before);
  });

  it('keeps the newest of edits that arrive at all processes, also when all restart', async () => {
    const entry = await startGroup();
    const tablesOf = (version: number) => {
      const queues = Array.from({length: 300}, (_, at) => ({
        ...TABLES.queues[0]!,
        name: `q${at}`,
        prefix: `/q${at}/`,
        timeoutMs: at === version ? 1000 + version : 3000,
      }));
      const document = JSON.stringify({version, queues, later: {x: 1}});
      return {...TABLES, version, queues, document};
    };
    await retryWhileUnavailable(entry, {type: 'edit', tables: tablesOf(1)});
    const send = (version: number, nth: number) =>
      processes[nth % 3]!.control!.service.handle(
        `edit-${version}-${nth}`,
        {type: 'edit', tables: tablesOf(version)},
        3000,
      );
    const versions = Array.from({length: 20}, (_, at) => at + 2);
    const first = versions.map(version => send(version, version));
    for (const reply of await Promise.all(first)) {
      expect(reply).toEqual({type: 'done'});
    }
    const {control, metrics} = await findLeader();
    expect(metrics!.text()).toMatch(/requests_total.*"edit-difference"/);
    const before = control!.status().revision;
    const again = versions.map(version => send(version, version + 1));
    for (const reply of await Promise.all(again)) {
      expect(reply).toEqual({type: 'done'});
    }
    expect(control!.status().revision).toBe(before);
    const seeds = processes.map(({address}) => address);
    await Promise.all(processes.map(each => each.control!.stop()));
    await Promise.all(processes.map(each => start(each, seeds, [])));
    const reply = await retryWhileUnavailable(entry, {type: 'tables'});
    expect(reply).toEqual({type: 'tables', document: tablesOf(21).document});
  }, 20_000);

  it('refuses a change that is too large as invalid', async () => {
    const entry = await startGroup();
    await retryWhileUnavailable(entry, EDIT);
    const document = 'x'.repeat(5 * 1024 * 1024);
    const tables = {...TABLES, version: 2, document};
    const request: Request = {type: 'edit', tables};
    expect(await entry.service.handle('r', request, 3000)).toMatchObject({
      reason: 'invalid',
      verdict: 'not-run',
    });
    expect(await retryWhileUnavailable(entry, {type: 'tables'})).toMatchObject({
      document: TABLES.document,
    });
  }, 20_000);

  // The leader acknowledged such an edit, and each other member ended when it
  // applied the edit, also after a restart.
  it('refuses a request that its members could not decode as invalid, and at once', async () => {
    await startGroup();
    const service = (await findLeader()).control!.service;
    await retryWhileUnavailable({service}, EDIT);
    const advice = {decideMs: -1, perWorkerMs: 0, validMs: 0};
    const queues = TABLES.queues.map(queue => ({...queue, advice}));
    const tables = {...TABLES, version: 2, queues};
    const startMs = performance.now();
    expect(
      await service.handle('r', {type: 'edit', tables}, 3000),
    ).toMatchObject({reason: 'invalid', verdict: 'not-run'});
    expect(performance.now() - startMs).toBeLessThan(900);
    const next: Request = {type: 'edit', tables: {...TABLES, version: 3}};
    expect(await retryWhileUnavailable({service}, next)).toEqual({
      type: 'done',
    });
  }, 20_000);

  it('does not bootstrap a new group after the loss of a disk', async () => {
    const [port] = await freePorts(1);
    const address = `${HOST}:${port}`;
    const alone: ControlProcess = {
      control: undefined,
      address,
      member: `${address}/x`,
      disk: new MemoryDisk(),
      fleet: new FakeFleet(),
    };
    processes.push(alone);
    await start(alone, [address], []);
    await new Promise(resolve => setTimeout(resolve, 1500));
    expect(alone.control!.status().voters).toEqual([]);
    const reply = await alone.control!.service.handle('r', EDIT, 900);
    expect(reply).toMatchObject({reason: 'unavailable', verdict: 'not-run'});
  }, 20_000);

  // A process that was frozen has the role of the leader when it resumes,
  // although another process may lead by then.
  it('does not count its leadership as confirmed after the clock jumped ahead', async () => {
    await startGroup();
    const leader = await findLeader();
    // The voters are known from the start, the answers of the others are not.
    await vi.waitFor(() =>
      expect(leader.control!.isConfirmedLeader()).toBe(true),
    );
    expect(leader.control!.status().voters).toHaveLength(3);
    const real = performance.now.bind(performance);
    vi.spyOn(performance, 'now').mockImplementation(() => real() + 5000);
    expect(leader.control!.status().role).toBe('leader');
    expect(leader.control!.isConfirmedLeader()).toBe(false);
  }, 20_000);
});

describe('an entry process without a leader', () => {
  it('refuses a request within its budget, as not run and with a time to retry', async () => {
    const [port] = await freePorts(1);
    const entry = startQueueEntry({
      name: 'entry',
      seeds: () => [`${HOST}:${port}`],
      tasks: startTasks(() => {}),
      log,
    });
    entries.push(entry);
    const startMs = performance.now();
    const reply = await entry.service.handle('r', submit('a'), 3000);
    expect(performance.now() - startMs).toBeLessThan(1500);
    expect(reply).toMatchObject({
      type: 'refused',
      reason: 'unavailable',
      verdict: 'not-run',
      retryAfterMs: expect.any(Number),
    });
    expect(entry.isReady()).toBe(false);
  });
});
