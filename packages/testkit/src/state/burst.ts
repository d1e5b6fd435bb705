/**
 * Measures how fast a team's idle slices move to the entry host that gets a
 * burst of calls.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {filterByType} from '../history.js';
import {
  ROUTE,
  TEAM,
  TEAM_LIMIT,
  type ServingCluster,
} from '../process/index.js';
import {computePercentiles, type Percentiles} from './table.js';

const ROUNDS = 5;
const BURST_MS = 5000;
const PAUSE_MS = 4000;
const WORK_MS = 250;
/** Fraction of the highest concurrency at which it counts as reached. */
const REACHED_FRACTION = 0.9;

export interface BurstTimes {
  /** From the first call until 90 % of the highest concurrency of the burst. */
  readonly reachedMs: Percentiles;
  /** Concurrent calls of each burst within the run time of the first call. */
  readonly atOnce: readonly number[];
  /** Highest number of concurrent calls of each burst. */
  readonly highest: readonly number[];
}

export async function measureBurst(
  cluster: ServingCluster,
): Promise<BurstTimes> {
  const reached: number[] = [];
  const atOnce: number[] = [];
  const highest: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const entry = cluster.entries[round % cluster.entries.length]!;
    const startMs = performance.now();
    const call = {entry, route: ROUTE, team: TEAM, key: cluster.teamKey};
    const stop = cluster.caller.startLoad(
      () => ({...call, workMs: WORK_MS}),
      TEAM_LIMIT,
    );
    await sleep(BURST_MS);
    await stop();
    const steps = listConcurrency(cluster, startMs);
    const highestConcurrency = Math.max(...steps.map(([, running]) => running));
    const initialSteps = steps.filter(([atMs]) => atMs <= startMs + WORK_MS);
    atOnce.push(Math.max(...initialSteps.map(([, running]) => running)));
    highest.push(highestConcurrency);
    const reachedStep = steps.find(
      ([, running]) => running >= REACHED_FRACTION * highestConcurrency,
    )!;
    reached.push(reachedStep[0] - startMs);
    await sleep(PAUSE_MS);
  }
  return {reachedMs: computePercentiles(reached), atOnce, highest};
}

/**
 * Time and number of running calls after each start and end since `sinceMs`.
 */
function listConcurrency(
  cluster: ServingCluster,
  sinceMs: number,
): [number, number][] {
  const events = cluster.history.events();
  const changes = [
    ...filterByType(events, 'run-began').map(e => [e.atMs, 1] as const),
    ...filterByType(events, 'run-ended').map(e => [e.atMs, -1] as const),
  ].filter(([atMs]) => atMs >= sinceMs);
  changes.sort(([a], [b]) => a - b);
  let running = 0;
  return changes.map(([atMs, change]) => [atMs, (running += change)]);
}
