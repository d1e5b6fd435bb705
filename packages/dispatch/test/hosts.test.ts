/**
 * Tests maintenance waves and moves of hosts between pools, on the fake clock.
 */
import type {HostOrder} from '@lentildrift/queue';
import {
  ElasticPools,
  FixedPools,
  type Move,
  type PoolView,
} from '@lentildrift/scheduling';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {job, createHarness, worker, type Harness} from './harness.js';

let harness: Harness;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(async () => {
  expect(harness.fleet.violations).toEqual([]);
  await harness.stop();
  vi.restoreAllMocks();
  vi.useRealTimers();
});

const LONG_RUNNING = {lasting: true, maxPerWorker: 1, mayMiss: 1};

async function openWave(hosts: string[], atOnce: number, durationMs = 20_000) {
  void harness.leader.commit({
    type: 'wave',
    wave: {
      id: 1,
      durationMs,
      atOnce,
      acceptedAtMs: Date.now(),
      hosts: Object.fromEntries(hosts.map(host => [host, 'due'])),
    },
  });
  await harness.advance(100);
}

/**
 * Refuses the first change that removes a worker. The returned function returns
 * the time of the refusal.
 */
function refuseFirstRemoval(): () => number | undefined {
  let refusedAtMs: number | undefined;
  harness.replica.refuses = ({events}) => {
    const removes = events.some(({type}) => type === 'worker-gone');
    if (refusedAtMs !== undefined || !removes) return false;
    refusedAtMs = performance.now();
    return true;
  };
  return () => refusedAtMs;
}

function maintenanceStatuses(): string[] {
  const {hosts} = harness.replica.state().waves.get(1)!;
  return Object.values(hosts);
}

describe('a maintenance wave', () => {
  it('maintains every host without exceeding the limit of hosts down at once', async () => {
    harness = await createHarness();
    const names = ['w1', 'w2', 'w3', 'w4', 'w5'];
    for (const name of names) await harness.addWorker(worker(name));
    await openWave(
      names.map(name => `m-${name}`),
      2,
    );
    await harness.advance(18_000);
    expect(maintenanceStatuses()).toEqual(Array(5).fill('done'));
    expect(harness.hosts.maxDown).toBe(2);
    expect(harness.hosts.orders).toHaveLength(5);
  });

  it('stops the tasks of a long-running step one at a time', async () => {
    harness = await createHarness({
      behave: task => ({
        durationMs: task.startsWith('l') ? Infinity : 1000,
        lasting: task.startsWith('l'),
      }),
    });
    const names = ['w1', 'w2', 'w3', 'w4'];
    for (const name of names) await harness.addWorker(worker(name));
    await harness.submit(job('l', {...LONG_RUNNING, count: 3}));
    await harness.advance(1000);
    await openWave(
      names.map(name => `m-${name}`),
      4,
      5000,
    );
    let fewest = 3;
    for (let turn = 0; turn < 300; turn++) {
      await harness.advance(50);
      const running = [0, 1, 2].filter(
        index => harness.fleet.running(`l.0.0.${index}`).length > 0,
      );
      fewest = Math.min(fewest, running.length);
    }
    expect(fewest).toBe(2);
    expect(maintenanceStatuses()).toEqual(Array(4).fill('done'));
  });

  // Such hosts were emptied only shortly before the deadline, and then waited for
  // each other, since a step may miss one task at a time.
  it('empties hosts with long-running tasks early enough for their budgets', async () => {
    harness = await createHarness({
      behave: () => ({durationMs: Infinity, lasting: true}),
    });
    const names = Array.from({length: 22}, (_, at) => `w${at}`);
    for (const name of names) await harness.addWorker(worker(name));
    await harness.submit(job('long', {...LONG_RUNNING, count: 18}));
    await harness.advance(2000);
    const durationMs = 26_000;
    await openWave(
      names.slice(0, 18).map(name => `m-${name}`),
      9,
      durationMs,
    );
    await harness.advance(durationMs);
    expect(maintenanceStatuses()).toEqual(Array(18).fill('done'));
    // Each of the 18 tasks is stopped once: it restarts on a host that stays.
    const restarts = harness.fleet.starts.length - 18;
    expect(restarts).toBeLessThanOrEqual(20);
  });

  it('continues under a new leader, which first waits for the orders of the last one', async () => {
    harness = await createHarness();
    const names = ['w1', 'w2', 'w3'];
    for (const name of names) await harness.addWorker(worker(name));
    await openWave(
      names.map(name => `m-${name}`),
      1,
    );
    for (let turn = 0; harness.hosts.orders.length === 0; turn++) {
      expect(turn).toBeLessThan(200);
      await harness.advance(10);
    }
    const firstCount = harness.hosts.orders.length;
    expect(firstCount).toBe(1);
    const changedMs = performance.now();
    await harness.replaceLeader();
    await harness.advance(18_000);
    expect(maintenanceStatuses()).toEqual(Array(3).fill('done'));
    const repeated = harness.hosts.orders
      .slice(firstCount)
      .find(({host}) => host === harness.hosts.orders[0]!.host);
    if (repeated) expect(repeated.atMs - changedMs).toBeGreaterThan(3000);
    const tokens = harness.hosts.orders.map(({issuer}) => issuer.token);
    expect(tokens).toEqual([...tokens].sort());
  });

  // The next leader started tasks on such a host and then ordered its
  // maintenance, which ended more tasks of a step than may be away at once.
  it('has no task started on a host whose maintenance the last leader has begun', async () => {
    harness = await createHarness({
      behave: () => ({durationMs: Infinity, lasting: true}),
    });
    for (const name of ['w1', 'w2']) await harness.addWorker(worker(name));
    void openWave(['m-w1'], 1);
    for (
      let turn = 0;
      !harness.replica.state().hostOrders.has('m-w1');
      turn++
    ) {
      expect(turn).toBeLessThan(200);
      await harness.advance(10);
      // The last leader ends between the record of the order and the order.
      harness.replica.delayMs = 1000;
    }
    harness.replica.delayMs = 0;
    await harness.replaceLeader();
    expect(harness.hosts.orders).toEqual([]);
    await harness.submit(job('l', {...LONG_RUNNING, mayMiss: 0, count: 2}));
    await harness.advance(15_000);
    expect(maintenanceStatuses()).toEqual(['done']);
    for (const task of ['l.0.0.0', 'l.0.0.1']) {
      expect(harness.fleet.running(task)).toHaveLength(1);
    }
    expect(harness.fleet.starts).toHaveLength(2);
  });

  // The host counted twice, as down and as one to be ordered down.
  it('empties the next host while the order of the last leader may be in flight', async () => {
    harness = await createHarness();
    for (const name of ['w1', 'w2']) await harness.addWorker(worker(name));
    await openWave(['m-w1', 'm-w2'], 1);
    for (let turn = 0; harness.hosts.orders.length === 0; turn++) {
      expect(turn).toBeLessThan(200);
      await harness.advance(10);
    }
    await harness.replaceLeader();
    harness.logLines.length = 0;
    await harness.advance(1000);
    expect(harness.hosts.orders).toHaveLength(1);
    expect(harness.logLines.join('\n')).toMatch(/host-emptying .*host=m-w2/);
  });

  it('continues at once if the process of the last leader has ended', async () => {
    harness = await createHarness();
    for (const name of ['w1', 'w2']) await harness.addWorker(worker(name));
    await openWave(['m-w1', 'm-w2'], 1);
    for (let turn = 0; harness.hosts.orders.length === 0; turn++) {
      expect(turn).toBeLessThan(200);
      await harness.advance(10);
    }
    harness.setPreviousProcessesEnded(true);
    const changedMs = performance.now();
    await harness.replaceLeader();
    await harness.advance(1000);
    const repeated = harness.hosts.orders[1]!;
    expect(repeated.host).toBe(harness.hosts.orders[0]!.host);
    expect(repeated.atMs - changedMs).toBeLessThan(1000);
    await harness.advance(12_000);
    expect(maintenanceStatuses()).toEqual(['done', 'done']);
  });

  // A host that joined after the list was requested would otherwise count as
  // removed, and the wave as done without it.
  // The host counted as back, and the next one was ordered down beside it.
  it('does not take the return of a worker that crashed before the order was answered for the end of the maintenance', async () => {
    harness = await createHarness();
    const names = ['w1', 'w2'];
    for (const name of names) await harness.addWorker(worker(name));
    const {hosts} = harness;
    const maintain = hosts.maintain.bind(hosts);
    const silentUntilMs = performance.now() + 5000;
    const ordered: string[] = [];
    vi.spyOn(hosts, 'maintain').mockImplementation(async (host, ...rest) => {
      ordered.push(host);
      if (performance.now() < silentUntilMs) throw new Error('no answer');
      return maintain(host, ...rest);
    });
    await openWave(
      names.map(name => `m-${name}`),
      1,
    );
    await harness.advance(1000);
    const name = ordered[0]!.slice(2);
    harness.fleet.byAddress.get(`${name}:1`)!.isAlive = false;
    await harness.addWorker(worker(name, {bornMs: 2}));
    await harness.advance(15_000);
    expect(maintenanceStatuses()).toEqual(['done', 'done']);
    expect(hosts.maxDown).toBe(1);
  });

  // An order whose answer was lost had been carried out.
  it('ends for a host that was back before a repeated order was answered', async () => {
    harness = await createHarness();
    await harness.addWorker(worker('w1'));
    const {hosts} = harness;
    const maintain = hosts.maintain.bind(hosts);
    let calls = 0;
    vi.spyOn(hosts, 'maintain').mockImplementation(async (host, ...rest) => {
      if (++calls > 1 && hosts.hosts.get(host)!.state !== 'up') {
        throw new Error('no answer');
      }
      if (calls > 1) return 'accepted';
      await maintain(host, ...rest);
      throw new Error('no answer');
    });
    await openWave(['m-w1'], 1);
    await harness.advance(6000);
    expect(maintenanceStatuses()).toEqual(['done']);
    const ids = harness.replica
      .state()
      .workers.values()
      .map(({id}) => id);
    expect(ids.some(id => id.startsWith('m-w1-'))).toBe(true);
  });

  it('does not skip a host that is missing from a list requested before the wave', async () => {
    harness = await createHarness();
    // The leader requests the list now, and again only a second later.
    await harness.advance(50);
    await harness.addWorker(worker('w1'));
    await openWave(['m-w1'], 1);
    await harness.advance(6000);
    expect(maintenanceStatuses()).toEqual(['done']);
    expect(harness.hosts.orders).toHaveLength(1);
  });

  // The state lists a host as down until the commit that records its return, so
  // its maintenance was ordered again and its host stayed cordoned.
  it('orders the maintenance of each host once while commits are slow', async () => {
    harness = await createHarness();
    const names = ['w1', 'w2', 'w3'];
    for (const name of names) await harness.addWorker(worker(name));
    harness.replica.commitDelayMs = 400;
    await openWave(
      names.map(name => `m-${name}`),
      1,
    );
    await harness.advance(25_000);
    expect(maintenanceStatuses()).toEqual(['done', 'done', 'done']);
    const hosts = harness.hosts.orders.map(({host}) => host);
    expect(hosts.sort()).toEqual(names.map(name => `m-${name}`));
  });

  it('orders again a host that was busy, but only after it is recorded as due', async () => {
    harness = await createHarness();
    await harness.addWorker(worker('w1'));
    harness.replica.commitDelayMs = 400;
    harness.hosts.busyHosts.add('m-w1');
    await openWave(['m-w1'], 1);
    await harness.advance(15_000);
    expect(maintenanceStatuses()).toEqual(['done']);
    expect(harness.hosts.orders).toHaveLength(2);
  });

  it('has the return of a host recorded after its record was rejected once', async () => {
    harness = await createHarness();
    await harness.addWorker(worker('w1'));
    let hasRefused = false;
    harness.replica.refuses = ({events}) => {
      const isReturn = events.some(
        each => each.type === 'upkeep' && each.upkeep === 'done',
      );
      if (hasRefused || !isReturn) return false;
      hasRefused = true;
      return true;
    };
    await openWave(['m-w1'], 1);
    await harness.advance(12_000);
    expect(hasRefused).toBe(true);
    expect(maintenanceStatuses()).toEqual(['done']);
    expect(harness.hosts.orders).toHaveLength(1);
  });

  it('records once that a host has left while commits are slow', async () => {
    harness = await createHarness();
    await harness.addWorker(worker('w1'));
    let records = 0;
    harness.replica.onApply(({change}) => {
      for (const event of change.events) {
        if (event.type === 'upkeep' && event.host === 'm-unknown') records++;
      }
    });
    harness.replica.commitDelayMs = 400;
    await openWave(['m-w1', 'm-unknown'], 1);
    await harness.advance(12_000);
    expect(maintenanceStatuses()).toEqual(['done', 'done']);
    expect(records).toBe(1);
  });

  it.each([0, 200, 400, 600, 800, 1000])(
    'does not order a host down that is to get a run while commits are slow, job after %i ms',
    async submitAfterMs => {
      harness = await createHarness();
      await harness.addWorker(worker('w1'));
      harness.replica.commitDelayMs = 400;
      await openWave(['m-w1'], 1);
      await harness.advance(400 + submitAfterMs);
      await harness.submit(job('a'));
      await harness.advance(15_000);
      expect(maintenanceStatuses()).toEqual(['done']);
      expect(harness.phase('a')).toBe('completed');
      expect(harness.fleet.starts).toHaveLength(1);
    },
  );

  it('has the worker of a host removed after its removal was rejected once', async () => {
    harness = await createHarness();
    await harness.addWorker(worker('w1'));
    const refusedAtMs = refuseFirstRemoval();
    await openWave(['m-w1'], 1);
    for (let turn = 0; refusedAtMs() === undefined; turn++) {
      expect(turn).toBeLessThan(1000);
      await harness.advance(10);
    }
    await harness.advance(1000);
    expect(harness.replica.state().workers.has('w1')).toBe(false);
  });

  it('orders a recorded maintenance once the leadership is confirmed again', async () => {
    harness = await createHarness();
    await harness.addWorker(worker('w1'));
    harness.replica.delayMs = 50;
    void openWave(['m-w1'], 1);
    for (
      let turn = 0;
      !harness.replica.state().hostOrders.has('m-w1');
      turn++
    ) {
      expect(turn).toBeLessThan(500);
      await harness.advance(10);
    }
    harness.replica.acceptsProposals = false;
    await harness.advance(400);
    expect(harness.hosts.orders).toEqual([]);
    harness.replica.acceptsProposals = true;
    await harness.advance(6000);
    expect(maintenanceStatuses()).toEqual(['done']);
  });

  it('is done without a host that the provider does not list', async () => {
    harness = await createHarness();
    await harness.addWorker(worker('w1'));
    await openWave(['m-w1', 'm-unknown'], 1);
    await harness.advance(8000);
    expect(maintenanceStatuses()).toEqual(['done', 'done']);
  });
});

/** Whether the task is one of every fourth of job `a`, which run for longer. */
function isLongTask(task: string): boolean {
  return task.startsWith('a') && Number(task.split('.').at(-1)) % 4 === 0;
}

function isAdoption(logLine: string): boolean {
  return logLine.includes('event=move-inherited');
}

describe('pools', () => {
  const workerNames = Array.from({length: 9}, (_, n) => `w${n}`);

  it('release idle hosts to standby and get hosts back when there is demand', async () => {
    harness = await createHarness({pools: new ElasticPools()});
    for (const name of workerNames) await harness.addWorker(worker(name));
    await harness.advance(8000);
    const pools = () => [...harness.hosts.hosts.values()].map(({pool}) => pool);
    // As headroom, the policy leaves one host to a pool without demand.
    expect(pools().filter(pool => pool === 'p')).toHaveLength(1);
    await harness.submit(job('a', {count: 16}));
    let most = 0;
    for (let turn = 0; turn < 40; turn++) {
      await harness.advance(100);
      const inPool = pools().filter(pool => pool === 'p');
      most = Math.max(most, inPool.length);
    }
    expect(most).toBeGreaterThan(1);
    await harness.advance(4000);
    expect(harness.phase('a')).toBe('completed');
  });

  it('do not lose a host while it has runs', async () => {
    harness = await createHarness({
      pools: new ElasticPools(),
      behave: () => ({durationMs: 4000}),
    });
    for (const name of workerNames) await harness.addWorker(worker(name));
    for (let n = 0; n < 10; n++) {
      await harness.submit(job(`a${n}`, {count: 1 + (n % 5)}));
      await harness.advance(700);
    }
    await harness.advance(10_000);
    expect(harness.hosts.orders.length).toBeGreaterThan(0);
  });

  it('have a host in use emptied before it moves to a pool that lacks capacity', async () => {
    harness = await createHarness({
      pools: new ElasticPools(),
      behave: task => ({durationMs: isLongTask(task) ? 3000 : 500}),
    });
    for (const name of workerNames) await harness.addWorker(worker(name));
    // A long task remains on every host of the pool, which needs half of the
    // hosts.
    await harness.submit(job('a', {count: 24}));
    await harness.advance(900);
    await harness.submit({...job('b', {count: 30}), queue: 'r'});
    await harness.advance(15_000);
    expect(harness.phase('b')).toBe('completed');
    const moved = harness.hosts.orders.filter(
      ({action}) => action === 'move r',
    );
    expect(moved.length).toBeGreaterThan(0);
  });

  // The move counted as over, and the host as one of its former pool.
  it('do not take a worker that comes back in the former pool for the arrival of its host', async () => {
    const moves: Move[] = [{host: 'm-w1', from: 'p', to: 'r'}];
    class OneMove extends FixedPools {
      override decide(pools: readonly PoolView[] = []): Move[] {
        return pools.length > 0 ? moves.splice(0) : [];
      }
    }
    harness = await createHarness({pools: new OneMove()});
    vi.spyOn(harness.hosts, 'move').mockImplementation(async () => {
      await new Promise(resolve => setTimeout(resolve, 2000));
      return 'accepted';
    });
    await harness.addWorker(worker('w1'));
    await harness.advance(500);
    harness.fleet.byAddress.get('w1:1')!.isAlive = false;
    await harness.addWorker(worker('w1', {bornMs: 2}));
    await harness.advance(2000);
    const lines = harness.logLines.join();
    expect(lines).toContain('move-ordered');
    expect(lines).not.toContain('move-ended');
  });

  it('have the orders to their hosts recorded for the next leader', async () => {
    harness = await createHarness({pools: new ElasticPools()});
    for (const name of workerNames) await harness.addWorker(worker(name));
    // Runs until the first order is sent.
    for (let turn = 0; harness.hosts.orders.length === 0; turn++) {
      expect(turn).toBeLessThan(500);
      await harness.advance(10);
    }
    const moving = harness.hosts.orders.map(({host}) => host);
    await harness.replaceLeader();
    expect(harness.logLines.filter(isAdoption)).toHaveLength(moving.length);
    const hostOrders = harness.replica.state().hostOrders;
    for (const host of moving) expect(hostOrders.get(host)).toBeDefined();
    await harness.submit(job('a', {count: 8}));
    await harness.advance(6000);
    expect(harness.phase('a')).toBe('completed');
  });

  // Half of a fleet had arrived and got no runs for two seconds, since a decision
  // about the pools that took long also put off the ends of the moves.
  it('use a host on arrival though decisions about the pools take long', async () => {
    const now = performance.now.bind(performance);
    let spentMs = 0;
    vi.spyOn(performance, 'now').mockImplementation(() => now() + spentMs);
    class SlowPools extends ElasticPools {
      override decide(pools: readonly PoolView[]): Move[] {
        spentMs += 100;
        return super.decide(pools);
      }
    }
    harness = await createHarness({
      pools: new SlowPools(),
      behave: () => ({durationMs: 60_000}),
    });
    for (const name of workerNames) await harness.addWorker(worker(name));
    await harness.advance(8000);
    await harness.submit(job('a', {count: 16}));
    // A decision within 500 ms, a move of 1.5 s, and the first order.
    await harness.advance(2600);
    expect(harness.fleet.starts).toHaveLength(16);
  });

  // A move whose end was queued behind a slow commit was taken for one of an
  // earlier leader and ordered again, which kept the host cordoned.
  it('order a host once and use it on arrival while commits are slow', async () => {
    harness = await createHarness({
      pools: new ElasticPools(),
      behave: () => ({durationMs: 4000}),
    });
    for (const name of workerNames) await harness.addWorker(worker(name));
    await harness.advance(12_000);
    harness.replica.delayMs = 400;
    const firstCount = harness.hosts.orders.length;
    // One task for each core of the nine hosts.
    await harness.submit(job('a', {count: 36}));
    await harness.advance(7000);
    const hosts = harness.hosts.orders
      .slice(firstCount)
      .map(({host}) => host)
      .sort();
    expect(hosts.length).toBeGreaterThan(5);
    expect(hosts).toEqual([...new Set(hosts)]);
    for (const host of hosts) {
      const starts = harness.fleet.starts.filter(({worker}) =>
        worker.startsWith(`${host}-`),
      );
      expect(starts.length, `starts on ${host}`).toBeGreaterThan(0);
    }
    expect(harness.logLines.filter(isAdoption)).toEqual([]);
  });

  // A late record of the end of a host's last move must not replace the record
  // of its next move, which the next leader would then not know.
  it('have the end of a move recorded before the next move of the host', async () => {
    harness = await createHarness({
      pools: new ElasticPools(),
      behave: () => ({durationMs: 500}),
    });
    const records: HostOrder[] = [];
    harness.replica.onApply(({change}) => {
      for (const event of change.events) {
        if (event.type === 'duty') records.push(event.duty);
      }
    });
    harness.replica.delayMs = 400;
    for (const name of workerNames) await harness.addWorker(worker(name));
    for (let n = 0; n < 6; n++) {
      await harness.submit({
        ...job(`a${n}`, {count: 36}),
        queue: n % 2 === 0 ? 'q' : 'r',
      });
      await harness.advance(3000);
    }
    const hosts = [...new Set(records.map(({host}) => host))];
    expect(records.length).toBeGreaterThan(2 * hosts.length);
    for (const host of hosts) {
      const own = records.filter(record => record.host === host);
      const expected = own.map((_, index) => index % 2 === 1);
      expect(own.map(({done}) => done)).toEqual(expected);
    }
  });

  it('have the end of a move recorded after its record was rejected once', async () => {
    harness = await createHarness({pools: new ElasticPools()});
    for (const name of workerNames) await harness.addWorker(worker(name));
    let refusedHost: string | undefined;
    harness.replica.refuses = ({events}) => {
      const end = events.find(each => each.type === 'duty' && each.duty.done);
      if (refusedHost !== undefined || end?.type !== 'duty') return false;
      refusedHost = end.duty.host;
      return true;
    };
    await harness.advance(15_000);
    expect(refusedHost).toBeDefined();
    const order = harness.replica.state().hostOrders.get(refusedHost!);
    expect(order?.done).toBe(true);
    const sent = harness.hosts.orders.filter(({host}) => host === refusedHost);
    expect(sent).toHaveLength(1);
  });

  // A start that waited for its commit did not count as a run on its host, so
  // the host was moved or maintained with the run on it.
  it('do not lose a host that is to get a run while commits are slow', async () => {
    harness = await createHarness({pools: new ElasticPools()});
    for (const name of workerNames) await harness.addWorker(worker(name));
    harness.replica.commitDelayMs = 400;
    for (let n = 0; n < 16; n++) {
      await harness.submit({
        ...job(`a${n}`, {count: 12}),
        queue: n % 2 === 0 ? 'q' : 'r',
      });
      await harness.advance(1500);
    }
    expect(harness.hosts.orders.length).toBeGreaterThan(workerNames.length);
  });

  // A worker that remained in the directory kept its host from counting as
  // arrived in standby for 8 s.
  it('have the worker of a moved host removed after its removal was rejected once', async () => {
    harness = await createHarness({pools: new ElasticPools()});
    for (const name of workerNames) await harness.addWorker(worker(name));
    const refusedAtMs = refuseFirstRemoval();
    for (let turn = 0; refusedAtMs() === undefined; turn++) {
      expect(turn).toBeLessThan(1000);
      await harness.advance(10);
    }
    const moved = harness.hosts.orders.map(({host}) => host.slice('m-'.length));
    await harness.advance(1000);
    expect(moved.length).toBeGreaterThan(0);
    const {workers} = harness.replica.state();
    for (const name of moved) expect(workers.has(name), name).toBe(false);
  });

  it('have enough hosts for a step that allows one task per worker', async () => {
    harness = await createHarness({
      pools: new ElasticPools(),
      behave: () => ({durationMs: Infinity, lasting: true}),
    });
    for (const name of workerNames) await harness.addWorker(worker(name));
    // The pool has shrunk to its smallest size after this time.
    await harness.advance(8000);
    const size = {cpuMillis: 500, memoryMb: 100, gpus: 0};
    await harness.submit(job('l', {...LONG_RUNNING, count: 5, size}));
    await harness.advance(12_000);
    const running = [0, 1, 2, 3, 4].filter(
      index => harness.fleet.running(`l.0.0.${index}`).length > 0,
    );
    expect(running).toHaveLength(5);
  });

  it('get another host for tasks for which only avoided workers have capacity', async () => {
    const faulty = ['w1', 'w2'];
    harness = await createHarness({
      pools: new ElasticPools(),
      behave: (task, _run, {worker: {id}}) => {
        if (task.startsWith('long')) return {durationMs: 60_000};
        const how = faulty.includes(id) ? 'failed' : 'done';
        return {durationMs: 50, how};
      },
    });
    const size = {cpuMillis: 4000, memoryMb: 100, gpus: 0};
    for (const name of ['w3', 'w4']) await harness.addWorker(worker(name));
    await harness.submit(job('long', {size, count: 2}));
    await harness.advance(500);
    for (const name of faulty) await harness.addWorker(worker(name));
    for (const id of ['x1', 'x2']) await harness.submit(job(id));
    await harness.advance(500);
    for (const id of ['x1', 'x2']) expect(harness.phase(id)).toBe('failed');
    await harness.submit(job('a', {count: 4}));
    for (const name of ['r1', 'r2', 'r3'])
      await harness.addWorker(worker(name, {pool: 'r'}));
    await harness.advance(4000);
    expect(harness.phase('a')).toBe('completed');
  });

  // The clock of the leader's host may jump between the record of an order and
  // the order, so that the leadership is unconfirmed for a moment.
  it('have a recorded move ordered once the leadership is confirmed again', async () => {
    harness = await createHarness({pools: new ElasticPools()});
    for (const name of ['w1', 'w2']) await harness.addWorker(worker(name));
    harness.replica.delayMs = 50;
    const hostOrders = () => harness.replica.state().hostOrders;
    for (let turn = 0; hostOrders().size === 0; turn++) {
      expect(turn).toBeLessThan(500);
      await harness.advance(10);
    }
    harness.replica.acceptsProposals = false;
    await harness.advance(400);
    expect(harness.hosts.orders).toEqual([]);
    harness.replica.acceptsProposals = true;
    await harness.advance(2000);
    expect(harness.hosts.orders.length).toBeGreaterThan(0);
  });

  it('keep their hosts under the fixed policy', async () => {
    harness = await createHarness({pools: new FixedPools()});
    for (const name of workerNames) await harness.addWorker(worker(name));
    await harness.advance(8000);
    expect(harness.hosts.orders).toEqual([]);
  });
});
