/** The pause between decision rounds. */
import {listUnfinishedJobs, type State} from '@lentildrift/model';

/** Part of a core that decision rounds may take, by the design's limit. */
const CORE_PART = 0.045;

/** Longest time for which ends of jobs and losses of hosts go unnoticed. */
const MAX_PAUSE_MS = 8000;

/** Time from the start of a round that kept the core busy to the next one. */
export function roundIntervalMs(busyMs: number): number {
  return Math.min(MAX_PAUSE_MS, busyMs / CORE_PART);
}

/** Pools where urgent work waits, or started and was not seen to run yet. */
export function poolsWithUrgentJobs(state: State): Set<string> {
  const pools = new Set<string>();
  for (const {urgent, phase, queue} of listUnfinishedJobs(state.jobs)) {
    if (!urgent || (phase !== 'queued' && phase !== 'starting')) continue;
    const pool = state.tables.routes[queue]?.pool;
    if (pool !== undefined) pools.add(pool);
  }
  return pools;
}
