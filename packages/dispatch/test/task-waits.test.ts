/** Tests that a leader tells why tasks that are ready wait for long. */
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import type {Behaviour} from './fakes.js';
import {createHarness, job, worker, type Harness} from './harness.js';

/** A run that ends while a first attempt to start it is under way. */
const FAILS: Partial<Behaviour> = {durationMs: 600, how: 'failed'};
const SIZE = {cpuMillis: 1000, memoryMb: 100, gpus: 0};

let harness: Harness;
let behave: (run: number) => Partial<Behaviour>;

beforeEach(async () => {
  vi.useFakeTimers();
  behave = () => ({durationMs: 60_000});
  harness = await createHarness({behave: (_, run) => behave(run)});
});

afterEach(async () => {
  await harness.stop();
  vi.useRealTimers();
});

const waits = () =>
  harness.logLines.filter(line => line.includes(' event=task-waits '));
const waitingCount = (reason: string) => {
  const series = `lentildrift_waiting_tasks{reason="${reason}"} `;
  const lines = harness.metrics.text().split('\n');
  return Number(lines.find(line => line.startsWith(series))!.split(' ')[1]);
};

// A step was held back for 13 s, and no line said why.
it('names the worker that a late start ties a task to as the reason, once', async () => {
  behave = run => (run === 1 ? FAILS : {durationMs: 60_000});
  await harness.addWorker(worker('w1'));
  await harness.advance(20_000);
  const first = harness.fleet.byAddress.get('w1:1')!;
  harness.fleet.delayMs = 4000;
  first.link = 'held-up';
  await harness.submit(job('a'));
  await harness.advance(100);
  first.link = 'up';
  await harness.addWorker(worker('w2'));
  await harness.advance(3400);
  first.isAlive = false;
  harness.fleet.add(worker('w1', {bornMs: 2})).link = 'cut';
  await harness.advance(20_000);
  expect(harness.fleet.running('a.0.0.0')).toHaveLength(1);
  expect(waits()).toHaveLength(1);
  expect(waits()[0]).toMatch(/ task=a\.0\.0\.0 .* reason=pinned /);
  expect(waitingCount('pinned')).toBe(0);
});

it('names each reason of a task, and no task that waits for less than 2 s', async () => {
  await harness.submit(job('short'));
  await harness.advance(1500);
  await harness.addWorker(worker('w1'));
  await harness.submit(job('large', {size: {...SIZE, cpuMillis: 5000}}));
  await harness.advance(1500);
  expect(waits()).toEqual([]);
  expect(waitingCount('no-room')).toBe(1);
  await harness.advance(5000);
  expect(waits()).toHaveLength(1);
  expect(waits()[0]).toMatch(
    / task=large\.0\.0\.0 .* reason=no-room pool=p candidates=1 /,
  );
  await harness.stopLeader();
  expect(waitingCount('no-room')).toBe(0);
  harness.startLeader(0);
});

it('writes no more than 32 lines a second', async () => {
  for (let nth = 0; nth < 4; nth++) {
    const queue = nth % 2 === 0 ? 'q' : 'r';
    for (let of = 0; of < 20; of++) {
      await harness.submit({...job(`${nth}-${of}`), queue});
    }
  }
  await harness.advance(2000);
  const count = waits().length;
  await harness.advance(900);
  expect(waits().length - count).toBeLessThanOrEqual(32);
});
