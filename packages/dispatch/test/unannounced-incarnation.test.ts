/**
 * Tests workers that end and start again under their ID and address, and carry
 * out calls meant for the former incarnation before the leader hears of the next
 * one.
 */
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import type {FakeWorker, LinkState} from './fakes.js';
import {createHarness, job, worker, type Harness} from './harness.js';

/** The clock of the next incarnation is far behind after this time. */
const FORMER_LIFE_MS = 20_000;
/** Shorter than the longest lease, which the next incarnation grants. */
const RUN_MS = 5800;

let harness: Harness;

beforeEach(() => void vi.useFakeTimers());

afterEach(async () => {
  await harness.stop();
  vi.useRealTimers();
});

async function startFormerIncarnation(
  durationMs = RUN_MS,
): Promise<FakeWorker> {
  harness = await createHarness({behave: () => ({durationMs})});
  await harness.addWorker(worker('w1'));
  await harness.advance(FORMER_LIFE_MS);
  return harness.fleet.byAddress.get('w1:1')!;
}

/** Ends the worker and starts its next incarnation, without announcing it. */
function startNextIncarnation(
  link: LinkState = 'up',
  clockRate?: number,
): FakeWorker {
  harness.fleet.byAddress.get('w1:1')!.isAlive = false;
  const next = harness.fleet.add(worker('w1', {bornMs: 2}), clockRate);
  next.link = link;
  return next;
}

async function waitForRun(fake: FakeWorker): Promise<void> {
  for (let turn = 0; turn < 200 && fake.runs.size === 0; turn++) {
    await harness.advance(5);
  }
  expect(fake.runs.size).toBe(1);
}

/** Advances until the task has been ordered at the second worker as well. */
async function waitForSecondStart(): Promise<void> {
  await harness.addWorker(worker('w2'));
  await harness.advance(15_000);
  const starts = harness.fleet.starts.map(each => each.worker);
  expect(starts.at(-1)).toBe('w2');
}

// The run was recorded as lost 4.9 s after the last answer of the former
// incarnation, and the next one ran it for up to 6 s.
it.each([1, 0.98])(
  'a run that an unannounced incarnation has confirmed is not started elsewhere while it may go on, with a clock rate of %d',
  async clockRate => {
    await startFormerIncarnation();
    const next = startNextIncarnation('up', clockRate);
    void harness.submit(job('a'));
    await waitForRun(next);
    await waitForSecondStart();
    expect(harness.fleet.violations).toEqual([]);
  },
);

it('a run that an unannounced incarnation has started without an answer is not started elsewhere while it may go on', async () => {
  await startFormerIncarnation();
  const next = startNextIncarnation('answers-lost');
  void harness.submit(job('a'));
  await waitForRun(next);
  next.link = 'cut';
  await waitForSecondStart();
  expect(harness.fleet.violations).toEqual([]);
});

// The former leader may act for 1.5 s after the next one has begun.
it('a run that a former leader has started at an unannounced incarnation is not started elsewhere while it may go on', async () => {
  await startFormerIncarnation(20_000);
  const next = startNextIncarnation();
  void harness.submit(job('a'));
  await waitForRun(next);
  next.link = 'cut';
  await harness.replaceLeader();
  await harness.advance(1200);
  // A hold of the former leader, with a lease on the former clock.
  next.renew(FORMER_LIFE_MS);
  await waitForSecondStart();
  expect(harness.fleet.violations).toEqual([]);
});

// Three such ends of workers failed the job as the cause of crashes.
it('a task is not blamed for the end of an incarnation that never ran it', async () => {
  await startFormerIncarnation();
  const next = startNextIncarnation();
  void harness.submit(job('a'));
  await waitForRun(next);
  await harness.advance(100);
  void harness.leader.announce(next.worker).catch(() => undefined);
  await harness.advance(2000);
  const {tasks} = harness.replica.state().jobs.get('a')!;
  expect(tasks['0.0.0']!.crashes).toEqual([]);
  expect(harness.logLines.join()).not.toContain('event=worker-crashed');
});

// A hold of the session with the former incarnation acknowledged ends by the
// numbers of that incarnation.
it('ends of an unannounced incarnation are not discarded before they are recorded', async () => {
  await startFormerIncarnation(300);
  await harness.submit(job('x', {count: 4}));
  await harness.advance(2000);
  expect(harness.phase('x')).toBe('completed');
  // The next hold waits for the commit of these ends.
  await harness.submit(job('y'));
  harness.replica.delayMs = 1400;
  await harness.advance(300);
  const next = startNextIncarnation();
  void harness.submit(job('a'));
  await harness.advance(4000);
  harness.replica.delayMs = 0;
  await waitForSecondStart().catch(() => undefined);
  void harness.leader.announce(next.worker).catch(() => undefined);
  await harness.advance(5000);
  expect(harness.fleet.violations).toEqual([]);
  expect(harness.phase('a')).toBe('completed');
});

// The answer to the start was still awaited when the hold left.
it('ends of an unannounced incarnation are not discarded while an order to start is in flight', async () => {
  await startFormerIncarnation(100);
  await harness.submit(job('x', {count: 4}));
  await harness.advance(2000);
  expect(harness.phase('x')).toBe('completed');
  const {replica, fleet} = harness;
  const propose = replica.propose.bind(replica);
  vi.spyOn(replica, 'propose').mockImplementation(change => {
    const isStart = change.events.some(
      each =>
        each.type === 'start' && each.runs.some(([task]) => task === 'a.0.0.0'),
    );
    // The ends of y wait behind the change with the start.
    if (isStart) replica.delayMs = 1250;
    return propose(change);
  });
  await harness.submit(job('y'));
  await harness.advance(70);
  void harness.submit(job('a'));
  await harness.advance(200);
  const next = startNextIncarnation('answers-lost');
  await harness.advance(3500);
  replica.delayMs = 0;
  next.link = 'up';
  void harness.leader.announce(next.worker).catch(() => undefined);
  await harness.advance(8000);
  expect(fleet.violations).toEqual([]);
  expect(harness.phase('a')).toBe('completed');
});

// The first attempt was forgotten once a report listed the run.
it('a run is not started elsewhere while an earlier attempt may start it at an incarnation that has answered', async () => {
  await startFormerIncarnation(20_000);
  const {fleet} = harness;
  const start = fleet.start.bind(fleet);
  let attempts = 0;
  vi.spyOn(fleet, 'start').mockImplementation((target, order) => {
    if (attempts++ > 0) return start(target, order);
    setTimeout(() => {
      const current = fleet.byAddress.get(target.address);
      if (current?.isAlive) current.start(order, target.incarnation);
    }, 4500);
    return new Promise((_, reject) =>
      setTimeout(() => reject(new Error('no answer')), 400),
    );
  });
  void harness.submit(job('a'));
  await harness.advance(3000);
  const next = startNextIncarnation();
  await harness.advance(2500);
  expect(next.runs.size).toBe(1);
  expect(harness.logLines.join()).toContain('event=incarnation-differs');
  await waitForSecondStart();
  expect(fleet.violations).toEqual([]);
});

// A task that lasts has to run again within 9 s.
it.each([false, true])(
  'a task that lasts runs again in time after the loss of its worker, together with the leader: %s',
  async losesLeader => {
    harness = await createHarness({
      behave: () => ({durationMs: Infinity, lasting: true}),
    });
    await harness.addWorker(worker('w1'));
    if (losesLeader) await harness.submit(job('a', {lasting: true}));
    await harness.advance(FORMER_LIFE_MS);
    await harness.addWorker(worker('w2'));
    harness.fleet.byAddress.get('w1:1')!.isAlive = false;
    const lostMs = performance.now();
    if (losesLeader) {
      harness.replica.acceptsProposals = false;
      await harness.advance(950);
      harness.replica.acceptsProposals = true;
      await harness.replaceLeader(950);
    } else {
      void harness.submit(job('a', {lasting: true}));
    }
    const isAtNext = () => harness.fleet.starts.at(-1)?.worker === 'w2';
    while (!isAtNext() && performance.now() - lostMs < 20_000) {
      await harness.advance(10);
    }
    expect(performance.now() - lostMs).toBeLessThanOrEqual(9000);
  },
);
