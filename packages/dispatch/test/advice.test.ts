/** Tests that steps find the workers that the placement adviser allows. */
import {createLog} from '@lentildrift/observe';
import type {Worker} from '@lentildrift/queue';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createAdviceCache, type AdviceCache} from '../src/advice.js';
import {Adviser, type AdviceAnswer} from '../src/index.js';
import {createHarness, job, TABLES, worker} from './harness.js';

const VALID_MS = 3000;

/** Allows some workers, and takes 20 ms a call. */
class FakeAdviser extends Adviser {
  readonly calls: (readonly string[])[] = [];
  callsInFlight = 0;
  maxCallsInFlight = 0;

  constructor(
    private readonly allows: (worker: string) => boolean,
    override readonly maxWorkersPerCall: number,
  ) {
    super();
  }

  override async advise(
    _step: string,
    workers: readonly string[],
  ): Promise<AdviceAnswer> {
    this.calls.push(workers);
    this.maxCallsInFlight = Math.max(
      this.maxCallsInFlight,
      ++this.callsInFlight,
    );
    await new Promise(resolve => setTimeout(resolve, 20));
    this.callsInFlight--;
    const allowed = workers.filter(this.allows);
    const tickets = allowed.map(id => ({worker: id, ticket: `ticket-${id}`}));
    return {tickets, validMs: VALID_MS};
  }
}

function workersFrom(from: number, count: number): Worker[] {
  return Array.from({length: count}, (_, at) => worker(`w${from + at}`));
}

const STEPS = [{step: 'a.0.0', pool: 'p'}];

beforeEach(() => void vi.useFakeTimers());

afterEach(() => void vi.useRealTimers());

function createCache(adviser: Adviser): AdviceCache {
  const log = createLog('error', {}, () => {});
  return createAdviceCache({adviser, log, onChange: () => {}});
}

/** Requests advice `times` times, each time after the last call has ended. */
async function requestTimes(
  cache: AdviceCache,
  workers: readonly Worker[],
  times: number,
): Promise<void> {
  for (let time = 0; time < times; time++) {
    cache.request(STEPS, () => workers);
    await vi.advanceTimersByTimeAsync(50);
  }
}

describe('the advice for a step', () => {
  it('covers workers beyond those that one call can name', async () => {
    const adviser = new FakeAdviser(id => id === 'w240', 100);
    const cache = createCache(adviser);
    await requestTimes(cache, workersFrom(0, 250), 3);
    expect(adviser.calls.map(({length}) => length)).toEqual([100, 100, 50]);
    expect([...cache.advisedWorkers().get('a.0.0')!]).toEqual(['w240@1']);
    expect(cache.ticketFor('a.0.0.7', 'w240@1')).toBe('ticket-w240');
  });

  it('is asked once for each worker that is not allowed, also if others join', async () => {
    const adviser = new FakeAdviser(() => false, 100);
    const cache = createCache(adviser);
    await requestTimes(cache, workersFrom(0, 150), 20);
    expect(adviser.calls).toHaveLength(2);
    await requestTimes(cache, workersFrom(0, 152), 20);
    expect(adviser.calls.slice(2)).toEqual([['w150', 'w151']]);
  });

  it('is renewed for the workers that were allowed before others are tried', async () => {
    const adviser = new FakeAdviser(id => id === 'w3', 2);
    const cache = createCache(adviser);
    const workers = workersFrom(0, 6);
    await requestTimes(cache, workers, 2);
    await vi.advanceTimersByTimeAsync(VALID_MS);
    expect(cache.advisedWorkers().has('a.0.0')).toBe(false);
    await requestTimes(cache, workers, 1);
    expect(adviser.calls.at(-1)).toEqual(['w3', 'w4']);
    expect(cache.advisedWorkers().has('a.0.0')).toBe(true);
  });

  it('is asked for a new incarnation of a worker that was not allowed', async () => {
    const adviser = new FakeAdviser(() => false, 100);
    const cache = createCache(adviser);
    await requestTimes(cache, [worker('w1')], 2);
    await requestTimes(cache, [worker('w1', {bornMs: 2})], 2);
    expect(adviser.calls).toEqual([['w1'], ['w1']]);
  });

  it('is asked in a bounded number of calls at a time', async () => {
    const adviser = new FakeAdviser(() => false, 1);
    const cache = createCache(adviser);
    const steps = Array.from({length: 50}, (_, at) => {
      return {step: `a${at}.0.0`, pool: 'p'};
    });
    const workers = workersFrom(0, 3);
    for (let time = 0; time < 100; time++) {
      cache.request(steps, () => workers);
      await vi.advanceTimersByTimeAsync(10);
    }
    expect(adviser.maxCallsInFlight).toBe(8);
    expect(adviser.calls).toHaveLength(150);
  });

  it('is asked first for steps that have no worker yet', async () => {
    const adviser = new FakeAdviser(() => true, 1);
    const cache = createCache(adviser);
    const workers = workersFrom(0, 4);
    const steps = Array.from({length: 9}, (_, at) => {
      return {step: `a${at}.0.0`, pool: 'p'};
    });
    cache.request(steps, () => workers);
    await vi.advanceTimersByTimeAsync(20);
    cache.request(steps, () => workers);
    await vi.advanceTimersByTimeAsync(20);
    expect(cache.advisedWorkers().has('a8.0.0')).toBe(true);
  });
});

// Advice was asked about the first workers of the pool only, again and again.
it('a job is started on the workers that are allowed for it, also if they joined last or the first of them are full', async () => {
  const adviser = new FakeAdviser(id => ['w0', 'w5', 'w6'].includes(id), 2);
  const harness = await createHarness({adviser});
  const advice = {decideMs: 20, perWorkerMs: 0, validMs: VALID_MS};
  const queues = TABLES.queues.map(queue => ({...queue, advice}));
  const tables = {...TABLES, version: 2, queues};
  void harness.leader.commit({type: 'tables', tables});
  for (const row of workersFrom(0, 7)) await harness.addWorker(row);
  await harness.submit(job('a', {count: 12}));
  await harness.advance(800);
  const perWorker = (id: string) =>
    harness.fleet.starts.filter(start => start.worker === id).length;
  expect(['w0', 'w5', 'w6'].map(perWorker)).toEqual([4, 4, 4]);
  expect(harness.fleet.starts).toHaveLength(12);
  await harness.advance(3000);
  expect(harness.phase('a')).toBe('completed');
  expect(harness.fleet.violations).toEqual([]);
  await harness.stop();
});
