/**
 * Tests what a leader takes over of the leases of earlier ones: not more than
 * they may have granted, and not less.
 */
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import type {FakeWorker} from './fakes.js';
import {createHarness, job, worker, type Harness} from './harness.js';

const ELECTION_MS = 950;
/** Time between changes of leader. */
const CHANGE_INTERVAL_MS = 2000;
/** The runs of a lost worker have to leave the record within this time. */
const LOST_MS = 9000;

let harness: Harness;
let lost: FakeWorker;

beforeEach(async () => {
  vi.useFakeTimers();
  harness = await createHarness({
    behave: () => ({durationMs: Infinity, lasting: true}),
  });
  await harness.addWorker(worker('w1'));
  await harness.submit(job('a', {lasting: true}));
  await harness.advance(10_000);
  await harness.addWorker(worker('w2'));
  lost = harness.fleet.byAddress.get('w1:1')!;
});

afterEach(async () => {
  await harness.stop();
  expect(harness.fleet.violations).toEqual([]);
  vi.useRealTimers();
});

async function loseLeader(): Promise<void> {
  harness.replica.acceptsProposals = false;
  await harness.advance(ELECTION_MS);
  harness.replica.acceptsProposals = true;
  await harness.replaceLeader(ELECTION_MS);
}

function suspendedSince(): number | undefined {
  return harness.replica.state().workers.get('w1')?.suspendedSince;
}

/** Cuts the worker off and changes the leader, which suspends its leases. */
async function suspendLeases(): Promise<void> {
  lost.link = 'cut';
  await loseLeader();
  await harness.advance(600);
  expect(suspendedSince()).toBe(2);
}

async function waitForStartElsewhere(): Promise<void> {
  await harness.advance(20_000);
  expect(harness.fleet.starts.at(-1)!.worker).toBe('w2');
}

// Each leader counted the leases of the first one from its own election.
it.each([1, 2, 3])(
  'runs of a lost worker leave the record in time, beside %d changes of leader',
  async count => {
    const lostMs = performance.now();
    lost.link = 'cut';
    for (let change = 0; change < count; change++) {
      const dueMs = lostMs + change * CHANGE_INTERVAL_MS;
      await harness.advance(dueMs - performance.now());
      await loseLeader();
    }
    const hasRun = () =>
      harness.replica.state().runsByWorker.get('w1@1') !== undefined;
    while (hasRun() && performance.now() - lostMs < 30_000) {
      await harness.advance(10);
    }
    expect(performance.now() - lostMs).toBeLessThanOrEqual(LOST_MS);
    // The runs of a worker that answers cost no record.
    expect(harness.replica.state().workers.get('w2')).not.toHaveProperty(
      'suspendedSince',
    );
  },
);

it('a lease that a leader grants a worker that is back counts for the next leader', async () => {
  await suspendLeases();
  lost.link = 'up';
  await harness.advance(5000);
  expect(suspendedSince()).toBeUndefined();
  expect(lost.leaseUntilMs).toBeGreaterThan(lost.clockMs() + 3000);
  expect(lost.runs.size).toBe(1);
  lost.link = 'cut';
  await loseLeader();
  await loseLeader();
  await waitForStartElsewhere();
});

// The next leader would start the run elsewhere while the worker has a lease.
it('a worker that is back gets no lease before the record that it gets one', async () => {
  await suspendLeases();
  harness.replica.commitDelayMs = 1500;
  const {leaseUntilMs} = lost;
  lost.link = 'up';
  await harness.advance(1200);
  expect(lost.leaseUntilMs).toBe(leaseUntilMs);
  harness.replica.commitDelayMs = 0;
  await harness.advance(1000);
  expect(lost.leaseUntilMs).toBeGreaterThan(leaseUntilMs);
});

it('a worker that is back gets no lease while the record that it gets none may follow', async () => {
  harness.replica.commitDelayMs = 1500;
  const {leaseUntilMs} = lost;
  lost.link = 'cut';
  await loseLeader();
  await harness.advance(600);
  lost.link = 'up';
  await harness.advance(800);
  expect(lost.leaseUntilMs).toBe(leaseUntilMs);
  await harness.advance(5000);
  expect(suspendedSince()).toBeUndefined();
  expect(lost.leaseUntilMs).toBeGreaterThan(lost.clockMs());
});

it('a worker gets leases again although the first record of that was refused', async () => {
  await suspendLeases();
  harness.replica.refusalsLeft = 2;
  lost.link = 'up';
  await harness.advance(2000);
  expect(suspendedSince()).toBeUndefined();
  expect(lost.leaseUntilMs).toBeGreaterThan(lost.clockMs());
});
