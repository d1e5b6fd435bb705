/** Time until the idle slices of a team reach the entry host that bursts. */
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
/** Part of the highest concurrency that counts as having reached it. */
const REACHED = 0.9;

export interface BurstTimes {
  /** From the first call to 90 % of the highest concurrency of the burst. */
  readonly reachedMs: Percentiles;
  /** Calls that ran together at once, and at most, in each burst. */
  readonly atOnce: readonly number[];
  readonly highest: readonly number[];
}

export async function measureBurst(stage: ServingCluster): Promise<BurstTimes> {
  const reached: number[] = [];
  const atOnce: number[] = [];
  const highest: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const entry = stage.entries[round % stage.entries.length]!;
    const startMs = performance.now();
    const next = {entry, route: ROUTE, team: TEAM, key: stage.teamKey};
    const stop = stage.caller.startLoad(
      () => ({...next, workMs: WORK_MS}),
      TEAM_LIMIT,
    );
    await sleep(BURST_MS);
    await stop();
    const steps = concurrency(stage, startMs);
    const most = Math.max(...steps.map(([, running]) => running));
    const first = steps.filter(([atMs]) => atMs <= startMs + WORK_MS);
    atOnce.push(Math.max(...first.map(([, running]) => running)));
    highest.push(most);
    const when = steps.find(([, running]) => running >= REACHED * most)!;
    reached.push(when[0] - startMs);
    await sleep(PAUSE_MS);
  }
  return {reachedMs: computePercentiles(reached), atOnce, highest};
}

/** Number of running calls after each beginning and end since `sinceMs`. */
function concurrency(
  stage: ServingCluster,
  sinceMs: number,
): [number, number][] {
  const events = stage.history.events();
  const changes = [
    ...filterByType(events, 'run-began').map(e => [e.atMs, 1] as const),
    ...filterByType(events, 'run-ended').map(e => [e.atMs, -1] as const),
  ].filter(([atMs]) => atMs >= sinceMs);
  changes.sort(([a], [b]) => a - b);
  let running = 0;
  return changes.map(([atMs, change]) => [atMs, (running += change)]);
}
