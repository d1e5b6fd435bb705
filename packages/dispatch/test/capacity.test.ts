/**
 * Tests that workers whose capacity shrinks and grows while they run get no
 * run beyond it. The fake fleet records each start that exceeds a capacity.
 */
import type {Size, Worker} from '@lentildrift/queue';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {
  createHarness,
  job,
  worker,
  type Harness,
  type HarnessOptions,
} from './harness.js';

const FULL = worker('any').capacity;
const HALF: Size = {...FULL, cpuMillis: 2000};
const NONE: Size = {cpuMillis: 0, memoryMb: 0, gpus: 0};

let harness: Harness;

async function createCluster(
  options?: HarnessOptions,
  rows: readonly Worker[] = [worker('w1')],
): Promise<void> {
  harness = await createHarness(options);
  for (const row of rows) await harness.addWorker(row);
}

function resize(id: string, capacity: Size): void {
  const fake = harness.fleet.byAddress.get(`${id}:1`)!;
  fake.worker = {...fake.worker, capacity};
}

/** Announces a capacity of a worker, which it may no longer have. */
function announce(id: string, capacity: Size, sequence: number): Promise<void> {
  const {worker: row} = harness.fleet.byAddress.get(`${id}:1`)!;
  return harness.leader.announce({...row, capacity, sequence});
}

/** Changes the capacity of a worker and has it announced and recorded. */
async function resizeAndAnnounce(
  id: string,
  capacity: Size,
  sequence: number,
): Promise<void> {
  resize(id, capacity);
  const announced = announce(id, capacity, sequence);
  await harness.advance(50);
  await announced;
}

function recordedCapacity(id: string): Size {
  return harness.replica.state().workers.get(id)!.capacity;
}

function runCount(id: string): number {
  const fake = harness.fleet.byAddress.get(`${id}:1`)!;
  fake.advance();
  return fake.runs.size;
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(async () => {
  expect(harness.fleet.violations).toEqual([]);
  await harness.stop();
  vi.useRealTimers();
});

describe('a worker whose capacity has shrunk', () => {
  it('gets no run until enough of its runs have ended', async () => {
    const durations = [5000, 1000, 2000, 3000, 100, 100];
    await createCluster({
      behave: task => ({durationMs: durations[Number(task.at(-1))]!}),
    });
    await harness.submit(job('a', {count: 6}));
    await harness.advance(100);
    expect(runCount('w1')).toBe(4);
    await resizeAndAnnounce('w1', HALF, 2);
    // Two and three of the four runs have ended.
    await harness.advance(2200);
    expect(runCount('w1')).toBe(2);
    expect(harness.fleet.starts).toHaveLength(4);
    await harness.advance(1000);
    expect(harness.fleet.starts.length).toBeGreaterThan(4);
    await harness.advance(5000);
    expect(harness.phase('a')).toBe('completed');
  });

  it('still counts a run that is being stopped', async () => {
    await createCluster({behave: () => ({durationMs: 60_000})});
    await harness.submit(job('a', {count: 2}));
    await harness.submit(job('b', {count: 2}));
    await harness.advance(100);
    await harness.submit(job('c', {count: 2}));
    const event = {type: 'cancel', job: 'a'} as const;
    const cancelled = harness.leader.commit(event);
    await resizeAndAnnounce('w1', {...FULL, cpuMillis: 3000}, 2);
    await cancelled;
    expect(runCount('w1')).toBe(4);
    await harness.advance(1000);
    expect(runCount('w1')).toBe(3);
    expect(harness.fleet.starts).toHaveLength(5);
  });

  it('gets no members of a gang that no longer fits', async () => {
    await createCluster({}, [worker('w1'), worker('w2')]);
    await resizeAndAnnounce('w1', HALF, 2);
    await harness.submit(job('a', {count: 8, gang: true}));
    await harness.submit(job('b', {count: 6, gang: true}));
    await harness.advance(500);
    expect(harness.fleet.starts.map(({task}) => task[0])).toEqual(
      Array.from({length: 6}, () => 'b'),
    );
  });

  it('gets fillers only for the memory that is left', async () => {
    await createCluster({
      behave: () => ({
        durationMs: 60_000,
        size: {cpuMillis: 0, memoryMb: 100, gpus: 0},
      }),
    });
    await resizeAndAnnounce('w1', {...FULL, memoryMb: 250}, 2);
    await harness.submit(job('a', {count: 6, filler: true}));
    await harness.advance(500);
    expect(runCount('w1')).toBe(2);
  });

  it('does not hold up jobs behind one that fits nowhere', async () => {
    await createCluster();
    await resizeAndAnnounce('w1', HALF, 2);
    const size = {...HALF, cpuMillis: 3000};
    await harness.submit(job('a', {size}, {after: [0]}));
    await harness.submit(job('b', {count: 2}));
    await harness.advance(3000);
    expect(harness.phase('b')).toBe('completed');
    expect(harness.phase('a')).toBe('active');
  });

  it('gets no run while it has no capacity, and runs again after', async () => {
    await createCluster();
    await resizeAndAnnounce('w1', NONE, 2);
    await harness.submit(job('a'));
    await harness.advance(3000);
    expect(harness.fleet.starts).toEqual([]);
    await resizeAndAnnounce('w1', FULL, 3);
    await harness.advance(100);
    expect(harness.fleet.starts).toHaveLength(1);
  });

  it('gets no further run from the next leader', async () => {
    await createCluster({behave: () => ({durationMs: 60_000})});
    await harness.submit(job('a', {count: 2}));
    await resizeAndAnnounce('w1', HALF, 2);
    await harness.replaceLeader();
    await harness.submit(job('b', {count: 2}));
    await harness.advance(3000);
    expect(runCount('w1')).toBe(2);
  });

  it('gets no run that was planned while its announcement waited', async () => {
    await createCluster();
    harness.replica.commitDelayMs = 300;
    const submitted = harness.submit(job('a', {count: 4}));
    await harness.advance(100);
    resize('w1', HALF);
    const announced = announce('w1', HALF, 2);
    await harness.advance(2000);
    await submitted;
    await announced;
    expect(harness.fleet.starts.length).toBeGreaterThan(0);
  });
});

describe('a worker whose capacity has grown again', () => {
  it('gets runs for the growth at once', async () => {
    await createCluster({behave: () => ({durationMs: 60_000})});
    await resizeAndAnnounce('w1', HALF, 2);
    await harness.submit(job('a', {count: 4}));
    await harness.advance(100);
    expect(runCount('w1')).toBe(2);
    await resizeAndAnnounce('w1', FULL, 3);
    await harness.advance(50);
    expect(runCount('w1')).toBe(4);
  });
});

describe('a worker whose last announcement is old', () => {
  // Its capacity may have shrunk since, which its reports do not show.
  it('gets no run after a silence until it announces itself', async () => {
    await createCluster();
    const fake = harness.fleet.byAddress.get('w1:1')!;
    fake.link = 'cut';
    await harness.advance(1000);
    resize('w1', HALF);
    await harness.advance(7000);
    await harness.submit(job('a', {count: 4}));
    fake.link = 'up';
    await harness.advance(1400);
    expect(harness.fleet.starts).toEqual([]);
    await resizeAndAnnounce('w1', HALF, 2);
    await harness.advance(100);
    expect(runCount('w1')).toBe(2);
  });

  it('gets no run from a leader after a long time without one', async () => {
    await createCluster();
    resize('w1', HALF);
    await harness.replaceLeader(5000);
    await harness.submit(job('a', {count: 4}));
    await harness.advance(1400);
    expect(harness.fleet.starts).toEqual([]);
    await resizeAndAnnounce('w1', HALF, 2);
    await harness.advance(100);
    expect(runCount('w1')).toBe(2);
  });

  it('gets runs from the next leader after a short time', async () => {
    await createCluster();
    await harness.replaceLeader(1500);
    await harness.submit(job('a', {count: 4}));
    await harness.advance(200);
    expect(runCount('w1')).toBe(4);
  });

  it('gets runs after a silence of a second', async () => {
    await createCluster();
    const fake = harness.fleet.byAddress.get('w1:1')!;
    fake.link = 'cut';
    await harness.advance(1000);
    await harness.submit(job('a', {count: 4}));
    fake.link = 'up';
    await harness.advance(1000);
    expect(runCount('w1')).toBe(4);
  });
});

describe('a delayed announcement', () => {
  it('does not undo a later one that changed nothing', async () => {
    await createCluster({}, [worker('w1', {capacity: HALF})]);
    await resizeAndAnnounce('w1', HALF, 3);
    const late = announce('w1', FULL, 2);
    await harness.advance(50);
    await late;
    expect(recordedCapacity('w1')).toEqual(HALF);
  });

  it('does not undo a later one that is not recorded yet', async () => {
    await createCluster();
    harness.replica.commitDelayMs = 100;
    const later = announce('w1', HALF, 3);
    const late = announce('w1', {...FULL, cpuMillis: 9000}, 2);
    await harness.advance(500);
    await Promise.all([later, late]);
    expect(recordedCapacity('w1')).toEqual(HALF);
  });
});

it('records a return to the recorded capacity before a change is', async () => {
  await createCluster({}, [worker('w1', {capacity: HALF})]);
  harness.replica.commitDelayMs = 100;
  const grown = announce('w1', FULL, 2);
  await harness.advance(20);
  const shrunk = announce('w1', HALF, 3);
  await harness.advance(500);
  await Promise.all([grown, shrunk]);
  expect(recordedCapacity('w1')).toEqual(HALF);
});
