/**
 * Tests that the leader divides long work among turns of the event loop, since
 * its process sends heartbeats only between turns. Issue 16: leaders that sent
 * hundreds of orders in one turn were deposed right after they had been elected.
 */
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {createHarness, job, worker, type Harness} from './harness.js';

/** Interval of the heartbeats. */
const MAX_TURN_MS = 100;

/**
 * Processor time of this process. Other processes on the machine do not lengthen
 * a turn by this measure, as they do by the clock.
 */
function processorTimeMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1000;
}

let harness: Harness;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

function work(ms: number): void {
  const endMs = processorTimeMs() + ms;
  while (processorTimeMs() < endMs);
}

/** Measures the longest turn of the event loop until the result is called. */
function measureTurns(): () => Promise<number> {
  let longestMs = 0;
  let lastMs = processorTimeMs();
  let handle = setImmediate(function measure() {
    const nowMs = processorTimeMs();
    longestMs = Math.max(longestMs, nowMs - lastMs);
    lastMs = nowMs;
    handle = setImmediate(measure);
  });
  return async () => {
    // The last turn ends before its timers run, and is measured after them.
    await new Promise(resolve => setTimeout(resolve, 20));
    clearImmediate(handle);
    return longestMs;
  };
}

it('orders many runs in several turns', async () => {
  harness = await createHarness();
  const capacity = {cpuMillis: 1e6, memoryMb: 1e6, gpus: 0};
  await harness.addWorker(worker('w1', {capacity}));
  vi.useRealTimers();
  const start = vi
    .spyOn(harness.fleet, 'start')
    .mockImplementation(async () => {
      work(1);
      return {ok: true};
    });
  const stopMeasuring = measureTurns();
  const spec = job('a', {count: 400});
  void harness.leader.commit({type: 'submit', job: spec, atMs: Date.now()});
  await vi.waitFor(() => expect(start).toHaveBeenCalledTimes(400), 5000);
  expect(await stopMeasuring()).toBeLessThan(MAX_TURN_MS);
});

it('begins the sessions of many workers in several turns', async () => {
  harness = await createHarness();
  vi.useRealTimers();
  const hold = vi.spyOn(harness.fleet, 'hold').mockImplementation(() => {
    work(2);
    return new Promise(() => {});
  });
  const stopMeasuring = measureTurns();
  for (let index = 0; index < 200; index++) {
    void harness.leader.announce(worker(`w${index}`));
  }
  await vi.waitFor(() => expect(hold).toHaveBeenCalledTimes(200), 5000);
  expect(await stopMeasuring()).toBeLessThan(MAX_TURN_MS);
});
