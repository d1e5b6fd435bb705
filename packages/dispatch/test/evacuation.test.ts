/** Tests the evacuation of data centres, on the fake clock. */
import {createLog, createMetrics} from '@lentildrift/observe';
import {toStored} from '@lentildrift/queue';
import {PoolPolicy, type Move, type PoolView} from '@lentildrift/scheduling';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {QueueCodec} from '../src/codec.js';
import {createLocalQueues} from '../src/local.js';
import type {Reply, Request} from '../src/request.js';
import {createHarness, job, worker, type Harness} from './harness.js';

const DONE: Reply = {type: 'done'};
const log = createLog('error', {}, () => {});
let harness: Harness;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(async () => {
  expect(harness.fleet.violations).toEqual([]);
  await harness.stop();
  vi.useRealTimers();
});

async function handle(request: Request, isRetry = false): Promise<Reply> {
  const {replica, leader} = harness;
  const options = {replica, leader, metrics: createMetrics(), log};
  const reply = createLocalQueues(options).handle('r', request, isRetry);
  await harness.advance(200);
  return reply;
}

const evacuate = (dataCentre: string) => handle({type: 'evacuate', dataCentre});
const endEvacuation = (dataCentre: string) =>
  handle({type: 'end-evacuation', dataCentre});

function evacuated(): string[] {
  return [...harness.replica.state().evacuated];
}

/** A worker of data centre `a` and one of `b`, by their IDs. */
async function addBoth(): Promise<void> {
  for (const name of ['a', 'b']) {
    await harness.addWorker(worker(name, {dataCentre: name}));
    const host = harness.hosts.hosts.get(`m-${name}`)!;
    harness.hosts.hosts.set(host.id, {...host, dataCentre: name});
  }
  await harness.advance(1500);
}

/** IDs of the workers that runs were started on. */
function startedOn(): string[] {
  return harness.fleet.starts.map(({worker: id}) => id);
}

describe('an order to evacuate a data centre', () => {
  it('keeps new runs away, leaves those in progress to their ends, and can be taken back', async () => {
    harness = await createHarness();
    await addBoth();
    await harness.submit(job('before', {count: 8}));
    await harness.advance(300);
    expect(new Set(startedOn())).toEqual(new Set(['a', 'b']));
    expect(await evacuate('a')).toEqual(DONE);
    const before = startedOn().length;
    await harness.submit(job('after', {count: 8}));
    await harness.advance(4000);
    expect(harness.phase('before')).toBe('completed');
    expect(harness.phase('after')).toBe('completed');
    expect(new Set(startedOn().slice(before))).toEqual(new Set(['b']));
    const stops = harness.logLines.filter(line =>
      line.includes('task-stopped'),
    );
    expect(stops).toEqual([]);
    expect(await endEvacuation('a')).toEqual(DONE);
    await harness.submit(job('back', {count: 8}));
    await harness.advance(300);
    expect(startedOn().slice(before + 8)).toContain('a');
  });

  it('is acknowledged again when it is sent again, also to the next leader, and stays in force there', async () => {
    harness = await createHarness();
    await addBoth();
    expect(await evacuate('a')).toEqual(DONE);
    expect(await evacuate('a')).toEqual(DONE);
    await harness.replaceLeader();
    expect(await evacuate('a')).toEqual(DONE);
    expect(evacuated()).toEqual(['a']);
    await harness.submit(job('x', {count: 2}));
    await harness.advance(2500);
    expect(new Set(startedOn())).toEqual(new Set(['b']));
    expect(await endEvacuation('a')).toEqual(DONE);
    await harness.replaceLeader();
    expect(await endEvacuation('a')).toEqual(DONE);
    expect(evacuated()).toEqual([]);
  });

  it('has no false acknowledgement when the leader is lost before its commit', async () => {
    harness = await createHarness();
    await addBoth();
    const {replica, leader} = harness;
    replica.refuses = ({events}) =>
      events.some(({type}) => type === 'evacuation');
    const order = leader.setEvacuated('a', true);
    const lost = expect(order).rejects.toThrow();
    await harness.advance(200);
    await lost;
    expect(evacuated()).toEqual([]);
    replica.refuses = () => false;
    await harness.replaceLeader();
    expect(await handle({type: 'evacuate', dataCentre: 'a'}, true)).toEqual(
      DONE,
    );
    expect(evacuated()).toEqual(['a']);
  });

  it('whose end was recorded is not refused when it is sent again after the last host has gone', async () => {
    harness = await createHarness();
    await addBoth();
    await evacuate('a');
    await endEvacuation('a');
    harness.hosts.hosts.delete('m-a');
    harness.fleet.byAddress.get('a:1')!.isAlive = false;
    void harness.leader.leave('a');
    await harness.advance(10_000);
    const again: Request = {type: 'end-evacuation', dataCentre: 'a'};
    expect(await handle(again, true)).toEqual(DONE);
    // The process that takes it may not know that it was sent before.
    expect(await handle(again)).toEqual(DONE);
    expect(evacuated()).toEqual([]);
  });

  it('is kept by the encoding of snapshots, and one of an earlier version holds none', async () => {
    harness = await createHarness();
    await addBoth();
    await evacuate('b');
    const codec = new QueueCodec();
    const text = codec.encodeState(harness.replica.state());
    expect([...codec.decodeState(text).evacuated]).toEqual(['b']);
    const {evacuated: _, ...earlier} = toStored(harness.replica.state());
    const restored = codec.decodeState(JSON.stringify(earlier));
    expect(restored.evacuated.size).toBe(0);
  });

  it('is refused for a data centre that does not exist, and changes nothing', async () => {
    harness = await createHarness();
    await addBoth();
    expect(await evacuate('c')).toMatchObject({
      type: 'refused',
      reason: 'invalid',
      verdict: 'not-run',
      detail: 'no worker or host is in c',
    });
    expect(await endEvacuation('c')).toEqual(DONE);
    expect(evacuated()).toEqual([]);
  });

  // An operator's order may come before the first list of hosts; it would be
  // given up if it were refused as invalid.
  it('is to be repeated, not given up, while the hosts are not known yet', async () => {
    harness = await createHarness();
    const refusal = {
      type: 'refused',
      reason: 'unavailable',
      verdict: 'not-run',
      retryAfterMs: 500,
    };
    expect(await evacuate('a')).toMatchObject(refusal);
    await addBoth();
    const host = harness.hosts.hosts.get('m-b')!;
    harness.hosts.hosts.set('m-c', {...host, id: 'm-c', dataCentre: 'c'});
    await harness.advance(1500);
    expect(await evacuate('c')).toEqual(DONE);
    expect(evacuated()).toEqual(['c']);
    // A host whose data centre nobody has told may be in any.
    const {dataCentre: _, ...unplaced} = host;
    harness.hosts.hosts.set('m-d', {...unplaced, id: 'm-d'});
    await harness.advance(1500);
    expect(await evacuate('d')).toMatchObject(refusal);
  });

  it('may empty the last data centre: jobs wait, are said to, and run once it is over', async () => {
    harness = await createHarness();
    await addBoth();
    expect(await evacuate('a')).toEqual(DONE);
    expect(await evacuate('b')).toEqual(DONE);
    await harness.submit(job('x'));
    await harness.advance(3000);
    expect(startedOn()).toEqual([]);
    const inspect: Request = {type: 'inspect', host: 'h', path: '/q/x'};
    expect(await handle(inspect)).toEqual({
      type: 'job',
      phase: 'queued',
      waitReason: 'evacuated',
    });
    const said = harness.logLines.filter(line =>
      line.includes('event=jobs-held-by-evacuation jobs=1 firstJob=x'),
    );
    expect(said.length).toBeGreaterThanOrEqual(1);
    expect(harness.metrics.text()).toContain(
      'lentildrift_jobs_held_by_evacuation 1',
    );
    expect(await endEvacuation('b')).toEqual(DONE);
    await harness.advance(2000);
    expect(harness.phase('x')).toBe('completed');
    expect(harness.metrics.text()).toContain(
      'lentildrift_jobs_held_by_evacuation 0',
    );
  });

  it('tells how much still runs in each evacuated data centre', async () => {
    harness = await createHarness();
    await addBoth();
    await harness.submit(job('x', {count: 8}));
    await harness.advance(100);
    await evacuate('a');
    expect(await handle({type: 'evacuations'})).toEqual({
      type: 'evacuations',
      dataCentres: [{name: 'a', workers: 1, runs: 4}],
    });
  });
});

describe('a run that is recorded before the evacuation', () => {
  /** Has the leadership unconfirmed while the job's runs are to be ordered. */
  async function deferStarts(...steps: Parameters<typeof job>[1][]) {
    harness = await createHarness();
    await addBoth();
    await harness.addWorker(worker('c', {dataCentre: 'b'}));
    const {replica, leader} = harness;
    replica.delayMs = 100;
    const event = {type: 'submit', job: job('x', ...steps), atMs: Date.now()};
    void leader.commit({...event, type: 'submit'});
    await harness.advance(60);
    replica.acceptsProposals = false;
    await harness.advance(300);
    replica.delayMs = 0;
    expect(startedOn()).toEqual([]);
    const {runsByWorker} = replica.state();
    expect(runsByWorker.size).toBeGreaterThan(0);
  }

  /** Records the order while this process is not sure whether it leads. */
  async function evacuateMeanwhile(dataCentre: string): Promise<void> {
    const {replica} = harness;
    replica.acceptsProposals = true;
    const event = {type: 'evacuation', dataCentre, evacuated: true} as const;
    const recorded = replica.propose({events: [event]});
    replica.acceptsProposals = false;
    await recorded;
    await harness.advance(500);
    replica.acceptsProposals = true;
  }

  it('is not ordered once the leadership is confirmed again, but runs elsewhere', async () => {
    await deferStarts({count: 8});
    await evacuateMeanwhile('a');
    await harness.advance(4000);
    expect(startedOn()).not.toContain('a');
    expect(harness.phase('x')).toBe('completed');
    expect(harness.logLines.join('\n')).toMatch(
      /event=start-withheld .*reason=evacuated/,
    );
  });

  it('is withheld with all members of its gang, of which none waits alone', async () => {
    await deferStarts({count: 6, gang: true});
    await evacuateMeanwhile('a');
    await harness.advance(6000);
    expect(startedOn()).not.toContain('a');
    expect(harness.phase('x')).toBe('completed');
    // All six members were placed anew, under the next number.
    const lines = harness.logLines.filter(line =>
      line.includes('event=task-restarted'),
    );
    expect(lines).toHaveLength(6);
    expect(harness.fleet.starts).toHaveLength(6);
  });
});

describe('the hosts of an evacuated data centre', () => {
  /** Moves every standby host that it is offered into the pool `p`. */
  class TakeAllHosts extends PoolPolicy {
    /** Hosts that the pool had in the last view. */
    serving: readonly string[] = [];

    override decide(pools: readonly PoolView[]): Move[] {
      const find = (pool: string) => pools.find(({name}) => name === pool)!;
      this.serving = find('p').serving.map(({id}) => id);
      const standby = find('standby').serving;
      return standby.map(({id}) => ({host: id, from: 'standby', to: 'p'}));
    }
  }

  /** Puts a host on standby in the data centre. */
  function addStandby(dataCentre: string): void {
    const host = harness.hosts.hosts.get('m-b')!;
    const id = `m-standby-${dataCentre}`;
    harness.hosts.hosts.set(id, {
      ...host,
      id,
      dataCentre,
      pool: 'standby',
      worker: '',
    });
  }

  it('are no capacity of a pool, and are not moved into one from standby', async () => {
    const pools = new TakeAllHosts();
    harness = await createHarness({pools});
    await addBoth();
    expect(pools.serving).toEqual(['m-a', 'm-b']);
    await evacuate('a');
    addStandby('a');
    await harness.advance(2500);
    expect(harness.hosts.orders).toEqual([]);
    expect(pools.serving).toEqual(['m-b']);
    addStandby('b');
    await harness.advance(2500);
    const moved = harness.hosts.orders.map(({host}) => host);
    expect(moved).toEqual(['m-standby-b']);
  });

  it('are not moved once they are evacuated while they are being emptied', async () => {
    const pools = new TakeAllHosts();
    harness = await createHarness({pools});
    await addBoth();
    const decide = vi.spyOn(pools, 'decide');
    await harness.submit(job('x', {count: 8}));
    await harness.advance(100);
    decide.mockReturnValueOnce([{host: 'm-a', from: 'p', to: 'r'}]);
    await harness.advance(200);
    await evacuate('a');
    await harness.advance(3000);
    expect(harness.hosts.orders).toEqual([]);
    expect(harness.logLines.join('\n')).toContain(
      'event=move-ended host=m-a reason=evacuated',
    );
  });

  it('are maintained in waves, and get no runs when they are back', async () => {
    harness = await createHarness();
    await addBoth();
    await evacuate('a');
    void harness.leader.commit({
      type: 'wave',
      wave: {
        id: 1,
        durationMs: 10_000,
        atOnce: 1,
        acceptedAtMs: Date.now(),
        hosts: {'m-a': 'due'},
      },
    });
    await harness.advance(6000);
    expect(harness.replica.state().waves.get(1)!.hosts).toEqual({
      'm-a': 'done',
    });
    // The fake provider starts the new worker in data centre a.
    const ids = harness.replica.state().workers.values();
    expect(ids.some(({id}) => id.startsWith('m-a-'))).toBe(true);
    await harness.submit(job('x', {count: 8}));
    await harness.advance(4000);
    expect(harness.phase('x')).toBe('completed');
    expect(new Set(startedOn())).toEqual(new Set(['b']));
  });
});

describe('a worker that announces that it is cold', () => {
  it('gets few runs at once until it is warm, without a record of each announcement', async () => {
    harness = await createHarness();
    const row = worker('w');
    await harness.addWorker(row);
    await harness.addWorker(worker('warm'));
    const {revision} = harness.replica.state();
    void harness.leader.announce({...row, sequence: 2}, 8000);
    await harness.advance(10);
    expect(harness.replica.state().revision).toBe(revision);
    await harness.submit(job('x', {count: 8}));
    await harness.advance(500);
    const runsOnCold = () => startedOn().filter(id => id === 'w').length;
    // The warm worker is full, and a quarter of the cores of the other in use.
    expect([startedOn().length, runsOnCold()]).toEqual([5, 1]);
    void harness.leader.announce({...row, sequence: 3}, 0);
    await harness.advance(200);
    expect([startedOn().length, runsOnCold()]).toEqual([8, 4]);
  });
});
