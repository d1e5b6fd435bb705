/** Displacement of running work by urgent jobs, with fake workers. */
import {CostDisplacement, ObjectiveCost} from '@lentildrift/scheduling';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createHarness, job, TABLES, worker, type Harness} from './harness.js';

const WORKERS = ['w0', 'w1', 'w2', 'w3'];
const BATCH_MS = 20_000;

let harness: Harness;

beforeEach(() => void vi.useFakeTimers());

afterEach(async () => {
  await harness.stop();
  expect(harness.fleet.violations).toEqual([]);
  vi.useRealTimers();
});

/** Fills all workers with tasks of the queue `batch`, of priority 1. */
async function start(checkpointMs = 0): Promise<void> {
  harness = await createHarness({
    displacement: new CostDisplacement(new ObjectiveCost()),
    behave: task =>
      task.startsWith('b')
        ? {durationMs: BATCH_MS, checkpointMs}
        : {durationMs: 1000},
  });
  const [queue] = TABLES.queues;
  const batch = {...queue!, name: 'batch', prefix: '/b/', priority: 1};
  const urgent = {...queue!, targetMs: 2000};
  const tables = {...TABLES, version: 2, queues: [urgent, batch]};
  void harness.leader.commit({type: 'tables', tables});
  await harness.advance(50);
  for (const name of WORKERS) await harness.addWorker(worker(name));
  const steps = {
    count: 16,
    estimateMs: BATCH_MS,
    checkpoints: checkpointMs > 0,
  };
  await harness.submit({...job('b', steps), queue: 'batch'});
  await harness.advance(1500);
  expect(runningCount()).toBe(16);
}

const runningCount = () =>
  [...harness.fleet.byAddress.values()].reduce(
    (count, fake) => count + fake.runs.size,
    0,
  );
const logged = (text: string) =>
  harness.logLines.filter(line => line.includes(text));
const displacedRows = () =>
  Object.values(harness.replica.state().jobs.get('b')!.tasks).filter(
    ({displacedRun}) => displacedRun !== undefined,
  );
const restartsOf = (prefix: string) => {
  const counts = new Map<string, number>();
  for (const {task} of harness.fleet.starts) {
    if (!task.startsWith(prefix)) continue;
    counts.set(task, (counts.get(task) ?? 0) + 1);
  }
  return [...counts.values()].filter(count => count > 1);
};

describe('an urgent job', () => {
  it('gets the room of a running task, which waits and runs again', async () => {
    await start(500);
    await harness.submit(job('u'));
    await harness.advance(3000);
    expect(harness.phase('u')).toBe('completed');
    expect(logged('event=run-displaced')).toHaveLength(1);
    expect(logged('event=run-displaced')[0]).toMatch(/gainMs=\d+ lossMs=\d+/);
    expect(harness.metrics.text()).toContain(
      'lentildrift_displaced_runs_total 1',
    );
    await harness.advance(2000);
    expect(restartsOf('b')).toEqual([2]);
    const resumed = harness.fleet.starts.find(({checkpoint}) => checkpoint);
    expect(resumed?.task).toMatch(/^b/);
  });

  it('waits under the baseline', async () => {
    await start();
    await harness.stop();
    harness = await createHarness({behave: () => ({durationMs: BATCH_MS})});
    for (const name of WORKERS) await harness.addWorker(worker(name));
    await harness.submit(job('b', {count: 16}));
    await harness.submit(job('u'));
    await harness.advance(3000);
    expect(logged('event=run-displaced')).toEqual([]);
  });

  it('displaces at most a quarter of a pool in a burst', async () => {
    await start(500);
    for (let nth = 0; nth < 12; nth++) {
      await harness.submit(job(`u${nth}`));
      const batchRuns = [...harness.fleet.byAddress.values()].flatMap(fake =>
        [...fake.runs.values()].filter(({stopsAtMs}) => stopsAtMs < Infinity),
      );
      expect(batchRuns.length).toBeLessThanOrEqual(4);
    }
    await harness.advance(8000);
    const done = Array.from({length: 12}, (_, nth) => harness.phase(`u${nth}`));
    expect(done.filter(phase => phase === 'completed').length).toBeGreaterThan(
      3,
    );
  });

  it('displaces a task without checkpoints once', async () => {
    await start();
    for (let nth = 0; nth < 12; nth++) {
      await harness.submit(job(`u${nth}`));
      await harness.advance(1000);
    }
    await harness.advance(3000);
    expect(restartsOf('b').every(count => count === 2)).toBe(true);
  });
});

describe('a change of leader', () => {
  // The record names the run, so the next leader carries out the stop.
  it('between the record and the stop does not lose the displacement', async () => {
    await start(500);
    const workers = [...harness.fleet.byAddress.values()];
    // No order of this leader arrives from the record on.
    harness.replica.refuses = ({events}) => {
      if (events.some(({type}) => type === 'displace')) {
        for (const fake of workers) fake.link = 'cut';
      }
      return false;
    };
    await harness.submit(job('u'));
    await harness.advance(100);
    expect(displacedRows()).toHaveLength(1);
    const isStopped = workers.some(({runs}) =>
      [...runs.values()].some(({stopsAtMs}) => stopsAtMs < Infinity),
    );
    expect(isStopped).toBe(false);
    await harness.replaceLeader();
    for (const fake of workers) fake.link = 'up';
    await harness.advance(4000);
    expect(harness.phase('u')).toBe('completed');
    expect(displacedRows()).toHaveLength(1);
  });

  it('between the stop and the new start gives the room to the urgent job', async () => {
    await start(500);
    await harness.submit(job('u'));
    for (
      let turn = 0;
      turn < 100 && logged('task-stopped').length === 0;
      turn++
    ) {
      await harness.advance(5);
    }
    await harness.replaceLeader();
    await harness.advance(4000);
    expect(harness.phase('u')).toBe('completed');
    expect(displacedRows()).toHaveLength(1);
  });
});
