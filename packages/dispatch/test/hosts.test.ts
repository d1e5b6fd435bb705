import {ElasticPools, FixedPools} from '@lentildrift/scheduling';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {job, createHarness, worker, type Harness} from './harness.js';

let bench: Harness;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(async () => {
  expect(bench.fleet.violations).toEqual([]);
  await bench.stop();
  vi.useRealTimers();
});

const LASTING = {lasting: true, maxPerWorker: 1, mayMiss: 1};

async function openWave(hosts: string[], atOnce: number, durationMs = 20_000) {
  void bench.leader.commit({
    type: 'wave',
    wave: {
      id: 1,
      durationMs,
      atOnce,
      acceptedAtMs: Date.now(),
      hosts: Object.fromEntries(hosts.map(host => [host, 'due'])),
    },
  });
  await bench.advance(100);
}

function upkeeps(): string[] {
  const {hosts} = bench.replica.state().waves.get(1)!;
  return Object.values(hosts);
}

describe('a wave', () => {
  it('maintains every host, never more at once than it allows', async () => {
    bench = await createHarness();
    const names = ['w1', 'w2', 'w3', 'w4', 'w5'];
    for (const name of names) await bench.addWorker(worker(name));
    await openWave(
      names.map(name => `m-${name}`),
      2,
    );
    await bench.advance(18_000);
    expect(upkeeps()).toEqual(Array(5).fill('done'));
    expect(bench.hosts.maxDown).toBe(2);
    expect(bench.hosts.orders).toHaveLength(5);
  });

  it('takes away one task of a lasting step at a time', async () => {
    bench = await createHarness({
      behave: task => ({
        durationMs: task.startsWith('l') ? Infinity : 1000,
        lasting: task.startsWith('l'),
      }),
    });
    const names = ['w1', 'w2', 'w3', 'w4'];
    for (const name of names) await bench.addWorker(worker(name));
    await bench.submit(job('l', {...LASTING, count: 3}));
    await bench.advance(1000);
    await openWave(
      names.map(name => `m-${name}`),
      4,
      5000,
    );
    let fewest = 3;
    for (let turn = 0; turn < 300; turn++) {
      await bench.advance(50);
      const running = [0, 1, 2].filter(
        index => bench.fleet.running(`l.0.0.${index}`).length > 0,
      );
      fewest = Math.min(fewest, running.length);
    }
    expect(fewest).toBe(2);
    expect(upkeeps()).toEqual(Array(4).fill('done'));
  });

  it('goes on under a new leader, which waits before its orders', async () => {
    bench = await createHarness();
    const names = ['w1', 'w2', 'w3'];
    for (const name of names) await bench.addWorker(worker(name));
    await openWave(
      names.map(name => `m-${name}`),
      1,
    );
    for (let turn = 0; bench.hosts.orders.length === 0; turn++) {
      expect(turn).toBeLessThan(200);
      await bench.advance(10);
    }
    const before = bench.hosts.orders.length;
    expect(before).toBe(1);
    const changedMs = performance.now();
    await bench.replaceLeader();
    await bench.advance(18_000);
    expect(upkeeps()).toEqual(Array(3).fill('done'));
    const again = bench.hosts.orders
      .slice(before)
      .find(({host}) => host === bench.hosts.orders[0]!.host);
    if (again) expect(again.atMs - changedMs).toBeGreaterThan(3000);
    const tokens = bench.hosts.orders.map(({issuer}) => issuer.token);
    expect(tokens).toEqual([...tokens].sort());
  });

  it('goes on at once if the process of the last leader has ended', async () => {
    bench = await createHarness();
    for (const name of ['w1', 'w2']) await bench.addWorker(worker(name));
    await openWave(['m-w1', 'm-w2'], 1);
    for (let turn = 0; bench.hosts.orders.length === 0; turn++) {
      expect(turn).toBeLessThan(200);
      await bench.advance(10);
    }
    bench.setPreviousProcessesEnded(true);
    const changedMs = performance.now();
    await bench.replaceLeader();
    await bench.advance(1000);
    const again = bench.hosts.orders[1]!;
    expect(again.host).toBe(bench.hosts.orders[0]!.host);
    expect(again.atMs - changedMs).toBeLessThan(1000);
    await bench.advance(12_000);
    expect(upkeeps()).toEqual(['done', 'done']);
  });

  it('does not take a host for gone by a list from before the wave', async () => {
    bench = await createHarness();
    // The list is read now, and again only a second later.
    await bench.advance(50);
    await bench.addWorker(worker('w1'));
    await openWave(['m-w1'], 1);
    await bench.advance(6000);
    expect(upkeeps()).toEqual(['done']);
    expect(bench.hosts.orders).toHaveLength(1);
  });

  it('is done without a host that has left the provider', async () => {
    bench = await createHarness();
    await bench.addWorker(worker('w1'));
    await openWave(['m-w1', 'm-unknown'], 1);
    await bench.advance(8000);
    expect(upkeeps()).toEqual(['done', 'done']);
  });
});

/** Every fourth task of job `a`. */
function isLong(task: string): boolean {
  return task.startsWith('a') && Number(task.split('.').at(-1)) % 4 === 0;
}

describe('pools', () => {
  const idle = Array.from({length: 9}, (_, n) => `w${n}`);

  it('send idle hosts to standby and get them back for demand', async () => {
    bench = await createHarness({pools: new ElasticPools()});
    for (const name of idle) await bench.addWorker(worker(name));
    await bench.advance(8000);
    const pools = () => [...bench.hosts.hosts.values()].map(({pool}) => pool);
    // The headroom that the policy leaves a pool without demand.
    expect(pools().filter(pool => pool === 'p')).toHaveLength(1);
    await bench.submit(job('a', {count: 16}));
    let most = 0;
    for (let turn = 0; turn < 40; turn++) {
      await bench.advance(100);
      const inPool = pools().filter(pool => pool === 'p');
      most = Math.max(most, inPool.length);
    }
    expect(most).toBeGreaterThan(1);
    await bench.advance(4000);
    expect(bench.phase('a')).toBe('completed');
  });

  it('never move a host with a run on it', async () => {
    bench = await createHarness({
      pools: new ElasticPools(),
      behave: () => ({durationMs: 4000}),
    });
    for (const name of idle) await bench.addWorker(worker(name));
    for (let n = 0; n < 10; n++) {
      await bench.submit(job(`a${n}`, {count: 1 + (n % 5)}));
      await bench.advance(700);
    }
    await bench.advance(10_000);
    expect(bench.hosts.orders.length).toBeGreaterThan(0);
  });

  it('empty a host in use before it goes to a pool that is short', async () => {
    bench = await createHarness({
      pools: new ElasticPools(),
      behave: task => ({durationMs: isLong(task) ? 3000 : 500}),
    });
    for (const name of idle) await bench.addWorker(worker(name));
    // One task stays on every host of the pool, which needs half of them.
    await bench.submit(job('a', {count: 24}));
    await bench.advance(900);
    await bench.submit({...job('b', {count: 30}), queue: 'r'});
    await bench.advance(15_000);
    expect(bench.phase('b')).toBe('completed');
    const moved = bench.hosts.orders.filter(({what}) => what === 'move r');
    expect(moved.length).toBeGreaterThan(0);
  });

  it('let a new leader know which hosts are about to move', async () => {
    bench = await createHarness({pools: new ElasticPools()});
    for (const name of idle) await bench.addWorker(worker(name));
    // Until the first order is out.
    for (let turn = 0; bench.hosts.orders.length === 0; turn++) {
      expect(turn).toBeLessThan(500);
      await bench.advance(10);
    }
    const moving = bench.hosts.orders.map(({host}) => host);
    await bench.replaceLeader();
    const duties = bench.replica.state().hostOrders;
    for (const host of moving) expect(duties.get(host)).toBeDefined();
    await bench.submit(job('a', {count: 8}));
    await bench.advance(6000);
    expect(bench.phase('a')).toBe('completed');
  });

  it('keep enough hosts for a step that spreads over them', async () => {
    bench = await createHarness({
      pools: new ElasticPools(),
      behave: () => ({durationMs: Infinity, lasting: true}),
    });
    for (const name of idle) await bench.addWorker(worker(name));
    // The pool has shrunk to its smallest size by then.
    await bench.advance(8000);
    const size = {cpuMillis: 500, memoryMb: 100, gpus: 0};
    await bench.submit(job('l', {...LASTING, count: 5, size}));
    await bench.advance(12_000);
    const running = [0, 1, 2, 3, 4].filter(
      index => bench.fleet.running(`l.0.0.${index}`).length > 0,
    );
    expect(running).toHaveLength(5);
  });

  it('stay as they are with the fixed policy', async () => {
    bench = await createHarness({pools: new FixedPools()});
    for (const name of idle) await bench.addWorker(worker(name));
    await bench.advance(8000);
    expect(bench.hosts.orders).toEqual([]);
  });
});
