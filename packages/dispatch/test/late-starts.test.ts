/** Tests how long attempts that may start late keep tasks from other workers. */
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {startCrashes} from './crashes.js';
import {createHarness, job, worker, type Harness} from './harness.js';

/** Time from the loss of a worker until its runs have lapsed. */
const LAPSE_MS = 4600;
/**
 * A task that lasts has to run again this long after its last run: 6 s, and 3 s in
 * which nothing else is amiss.
 */
const RESTART_MS = 9000;
/** A task that could run must not wait for longer. */
const MAX_IDLE_MS = 3000;

const NO_ROOM = {cpuMillis: 100, memoryMb: 100, gpus: 0};

let harness: Harness;

beforeEach(() => void vi.useFakeTimers());

afterEach(async () => {
  await harness.stop();
  vi.useRealTimers();
});

/** Has the first attempt to start a task get no answer, and the second one. */
async function startOnSecondAttempt({lasting = true} = {}): Promise<void> {
  harness = await createHarness({behave: () => ({durationMs: 90_000})});
  await harness.addWorker(worker('w1'));
  const fake = harness.fleet.byAddress.get('w1:1')!;
  fake.link = 'answers-lost';
  await harness.submit(job('a', {lasting}));
  await harness.advance(100);
  fake.link = 'up';
  await harness.advance(1000);
  expect(fake.runs.size).toBe(1);
}

// Each leader took the attempt for one of its own first seconds, and kept the task
// back for 12.9 s.
it.each([1, 2, 3])(
  'a task whose run has left the record does not wait anew after each of %d changes of leader',
  async changes => {
    await startOnSecondAttempt();
    harness.fleet.byAddress.get('w1:1')!.link = 'cut';
    const lostMs = performance.now();
    await harness.addWorker(worker('w2'));
    const isRecorded = () =>
      harness.replica.state().jobs.get('a')!.tasks['0.0.0']!.runs.length > 0;
    await harness.replaceLeader();
    while (isRecorded()) await harness.advance(100);
    for (let change = 0; change < changes; change++) {
      await harness.replaceLeader();
      await harness.advance(500);
    }
    await harness.advance(lostMs + LAPSE_MS + RESTART_MS - performance.now());
    expect(harness.fleet.violations).toEqual([]);
    const starts = harness.fleet.starts.map(each => each.worker);
    expect(starts.at(-1)).toBe('w2');
  },
);

// The run stayed on record until the longest lease had expired, and the attempts
// kept the task back for 11.4 s.
it('a task whose order got no answer is placed elsewhere once another worker has begun on the host', async () => {
  harness = await createHarness({behave: () => ({durationMs: 90_000})});
  await harness.addWorker(worker('w1'));
  await harness.addWorker(worker('w2', {capacity: NO_ROOM}));
  const downMs = 2400;
  const crashes = startCrashes({harness, downMs, isDeadly: () => false});
  crashes.crash('m-w1');
  await harness.submit(job('a'));
  await harness.advance(downMs + MAX_IDLE_MS);
  crashes.stop();
  expect(harness.fleet.violations).toEqual([]);
  expect(harness.fleet.starts.map(each => each.worker)).toEqual(['m-w1-1']);
});

// Its runs were taken off the record at the first hold without an answer, and were
// started again while they went on.
it('a worker that misses a hold keeps its runs beside the record of a later worker on its host that never answers', async () => {
  harness = await createHarness({behave: () => ({durationMs: 90_000})});
  await harness.addWorker(worker('w1'));
  await harness.submit(job('a'));
  await harness.advance(1000);
  await harness.addWorker(worker('w2'));
  void harness.leader.announce(worker('w3', {host: 'm-w1', bornMs: 2}));
  await harness.advance(1000);
  const fake = harness.fleet.byAddress.get('w1:1')!;
  fake.link = 'cut';
  await harness.advance(1000);
  fake.link = 'up';
  await harness.advance(3000);
  expect(harness.fleet.violations).toEqual([]);
  expect(harness.fleet.starts.map(each => each.worker)).toEqual(['w1']);
});

// The clock of the host had been set back before it began. It lost its runs when it
// missed a hold, and they were started again while they went on.
it('a worker is of use although a former one on its host seems to have begun later', async () => {
  harness = await createHarness({behave: () => ({durationMs: 90_000})});
  await harness.addWorker(worker('w3', {host: 'm-w1', bornMs: 2}));
  harness.fleet.byAddress.get('w3:1')!.isAlive = false;
  await harness.advance(1000);
  await harness.addWorker(worker('w1'));
  await harness.submit(job('a'));
  await harness.advance(1000);
  await harness.addWorker(worker('w2'));
  const fake = harness.fleet.byAddress.get('w1:1')!;
  fake.link = 'cut';
  await harness.advance(1000);
  fake.link = 'up';
  await harness.advance(3000);
  expect(harness.fleet.violations).toEqual([]);
  expect(harness.fleet.starts.map(each => each.worker)).toEqual(['w1']);
});

// The provider had confirmed that everything on the host has ended, and the
// attempts went on to keep the task back.
it('a task that started on its second attempt is placed elsewhere once its host is in maintenance', async () => {
  await startOnSecondAttempt({lasting: false});
  await harness.addWorker(worker('w2'));
  const wave = {id: 1, durationMs: 5000, atOnce: 1, acceptedAtMs: Date.now()};
  const hosts = {'m-w1': 'due' as const};
  void harness.leader.commit({type: 'wave', wave: {...wave, hosts}});
  const {orders} = harness.hosts;
  while (orders.length === 0) await harness.advance(100);
  await harness.advance(MAX_IDLE_MS);
  expect(harness.fleet.violations).toEqual([]);
  const starts = harness.fleet.starts.map(each => each.worker);
  expect(starts).toEqual(['w1', 'w2']);
});

// Only the leader that had seen the run knew of it, and the next one started the
// task elsewhere.
it('a run that is not on record is not started elsewhere after a change of leader while it may go on', async () => {
  harness = await createHarness({behave: () => ({durationMs: 90_000})});
  await harness.addWorker(worker('w1'));
  const fake = harness.fleet.byAddress.get('w1:1')!;
  await harness.submit(job('a', {label: 'x'}));
  const leaseUntilMs = fake.clockMs() + 4000;
  const order = {payload: 'text', checkpoint: '', token: 1, leaseUntilMs};
  fake.start({task: 'a.0.0.0', run: 1, ...order}, fake.incarnation);
  vi.spyOn(harness.fleet, 'stop').mockRejectedValue(new Error('no answer'));
  await harness.advance(2000);
  expect(fake.runs.has('a.0.0.0')).toBe(true);
  fake.link = 'cut';
  await harness.replaceLeader();
  await harness.addWorker(worker('w2', {labels: ['x']}));
  await harness.advance(15_000);
  expect(harness.fleet.violations).toEqual([]);
  expect(harness.fleet.starts.at(-1)!.worker).toBe('w2');
});
