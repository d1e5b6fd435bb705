/** Tasks that crash each worker that starts them. */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {startCrashes, type Crashes} from './crashes.js';
import {createHarness, job, worker, type Harness} from './harness.js';

let harness: Harness;
let crashes: Crashes;

async function createCluster(
  isDeadly: (task: string) => boolean,
  downMs?: number,
): Promise<void> {
  harness = await createHarness({
    behave: task => ({durationMs: task.startsWith('long') ? 20_000 : 800}),
  });
  for (const name of ['w1', 'w2', 'w3', 'w4', 'w5', 'w6']) {
    await harness.addWorker(worker(name));
  }
  crashes = startCrashes({
    harness,
    isDeadly,
    ...(downMs !== undefined && {downMs}),
  });
}

function startsOf(task: string): number {
  return harness.fleet.starts.filter(each => each.task === task).length;
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(async () => {
  crashes.stop();
  expect(harness.fleet.violations).toEqual([]);
  await harness.stop();
  vi.useRealTimers();
});

describe('a task that crashes its workers', () => {
  it('is not started on worker after worker without end', async () => {
    await createCluster(task => task === 'bad.0.0.0');
    await harness.submit(job('other', {count: 3}));
    await harness.submit(job('bad'));
    await harness.submit(job('next', {count: 3}));
    await harness.advance(60_000);
    expect(harness.phase('bad')).toBe('failed');
    expect(startsOf('bad.0.0.0')).toBeLessThanOrEqual(5);
    expect(harness.phase('other')).toBe('completed');
    expect(harness.phase('next')).toBe('completed');
  });
});
