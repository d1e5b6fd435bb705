/**
 * Tests announcements by other writers than workers. What they say of a worker or
 * a host is no proof of anything.
 */
import type {Worker} from '@lentildrift/queue';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createHarness, job, TABLES, worker, type Harness} from './harness.js';

let harness: Harness;

beforeEach(async () => {
  vi.useFakeTimers();
  harness = await createHarness({behave: () => ({durationMs: 60_000})});
  for (const name of ['w1', 'w2']) await harness.addWorker(worker(name));
  await harness.submit(job('a', {count: 4}));
  await harness.advance(1000);
});

afterEach(async () => {
  await harness.stop();
  vi.useRealTimers();
});

const directory = () => harness.replica.state().workers.values();

async function announce(row: Worker): Promise<void> {
  const answered = harness.leader.announce(row);
  await harness.advance(1000);
  await answered;
}

describe('an announcement', () => {
  // The runs of the worker were started again elsewhere, and its own
  // announcements counted as those of an earlier incarnation.
  it.each([{bornMs: 2}, {bornMs: 1}])(
    'for a pool that no tables name does not replace a worker, %o',
    async ({bornMs}) => {
      const before = directory();
      const row = worker('w1', {bornMs, pool: 'unknown', sequence: 9});
      await announce(row);
      await harness.advance(10_000);
      expect(directory()).toEqual(before);
      expect(harness.fleet.starts).toHaveLength(4);
      expect(harness.fleet.violations).toEqual([]);
    },
  );

  // A wave found the host of a worker empty, and ended its tasks.
  it('for a pool that no tables name adds no worker to a host', async () => {
    const before = directory();
    const row = worker('w9', {bornMs: 9, pool: 'unknown', host: 'm-w1'});
    await announce(row);
    expect(directory()).toEqual(before);
  });

  it('does not move a worker to another pool while it lives', async () => {
    const before = directory();
    await announce(worker('w1', {pool: 'r', sequence: 9}));
    expect(directory()).toEqual(before);
  });

  it('of a worker whose pool the tables have lost still counts', async () => {
    const pools = TABLES.pools.filter(({name}) => name !== 'p');
    const tables = {...TABLES, version: 2, pools, queues: [], document: '2'};
    void harness.leader.commit({type: 'tables', tables});
    await harness.advance(100);
    await announce(worker('w1', {phase: 'draining', sequence: 9}));
    expect(directory().find(({id}) => id === 'w1')!.phase).toBe('draining');
  });

  it('for a pool that the tables name from now on adds a worker', async () => {
    const row = worker('w9', {pool: 'new'});
    harness.fleet.add(row);
    await announce(row);
    expect(directory()).toHaveLength(2);
    const pool = {name: 'new', guardsCapacity: false, standby: false};
    const pools = [...TABLES.pools, pool];
    const tables = {...TABLES, version: 2, pools, document: '2'};
    void harness.leader.commit({type: 'tables', tables});
    await harness.advance(100);
    await announce(row);
    expect(directory()).toHaveLength(3);
  });
});
