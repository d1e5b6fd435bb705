/**
 * Guards against work of the leader that grows faster than it must with the
 * size of the fleet. The work is counted as runs that the leader looks at, so
 * that neither the speed nor the load of the machine matters. In issue 16 the
 * leader looked at every run for each report, and for each worker in each tick.
 */
import {afterEach, expect, test} from 'vitest';
import {createLeaderFleet, type LeaderFleet} from '../src/leader/fleet.js';
import type {MessageTimes} from '../src/leader/tap.js';

const SMALL = {workers: 50, pools: 4, teams: 6};
const LARGE = {workers: 800, pools: 48, teams: 96};
const GROWTH = LARGE.workers / SMALL.workers;
/** Runs on each worker, none of which ends while the test runs. */
const RUNS_PER_WORKER = 3;
const MEASURED_MS = 1500;

let fleet: LeaderFleet | undefined;

afterEach(async () => {
  await fleet?.stop();
  fleet = undefined;
});

/** Work of the leader's messages in a fleet in which nothing changes. */
async function measureQuietFleet(
  shape: typeof SMALL,
  kind: string,
): Promise<MessageTimes> {
  fleet = await createLeaderFleet({
    ...shape,
    lastingRunsPerWorker: RUNS_PER_WORKER,
  });
  await fleet.startNextLeader();
  const {tap} = fleet;
  // By its second report each worker is reconciled.
  await expect
    .poll(() => tap.times('report').count, {timeout: 10_000})
    .toBeGreaterThan(2 * shape.workers);
  tap.clear();
  await new Promise(resolve => setTimeout(resolve, MEASURED_MS));
  const times = tap.times(kind);
  await fleet.stop();
  fleet = undefined;
  return times;
}

test('a report costs what changed, not what the fleet holds', async () => {
  const small = await measureQuietFleet(SMALL, 'report');
  const large = await measureQuietFleet(LARGE, 'report');
  expect(small.count).toBeGreaterThan(SMALL.workers / 2);
  expect(large.count).toBeGreaterThan(LARGE.workers / 2);
  // The report lists as many runs in both fleets. It may look at each of them
  // several times, but not at those of other workers.
  const leastWork = Math.max(small.p50Work, RUNS_PER_WORKER);
  expect(large.p50Work / leastWork).toBeLessThan(3);
});

test('a tick costs in proportion to the fleet at most', async () => {
  const small = await measureQuietFleet(SMALL, 'tick');
  const large = await measureQuietFleet(LARGE, 'tick');
  expect(small.count).toBeGreaterThan(3);
  expect(large.count).toBeGreaterThan(3);
  const leastWork = Math.max(small.p50Work, SMALL.workers);
  expect(large.p50Work / leastWork).toBeLessThan(2 * GROWTH);
});
