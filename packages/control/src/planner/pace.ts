/** The interval between decision rounds. */
import {listUnfinishedJobs, type State} from '@lentildrift/model';

/** Fraction of one CPU core that decision rounds may use, a limit of the design. */
const MAX_CORE_FRACTION = 0.045;

/**
 * Longest interval, in ms. It bounds the time for which ends of jobs and losses of
 * hosts go unnoticed.
 */
const MAX_ROUND_INTERVAL_MS = 8000;

/**
 * Returns the time in ms from the start of a round to the start of the next one,
 * given how long the round kept the CPU core busy.
 */
export function roundIntervalMs(busyMs: number): number {
  return Math.min(MAX_ROUND_INTERVAL_MS, busyMs / MAX_CORE_FRACTION);
}

/** Returns the pools with urgent jobs that are queued or not yet seen running. */
export function poolsWithUrgentJobs(state: State): Set<string> {
  const pools = new Set<string>();
  for (const {urgent, phase, queue} of listUnfinishedJobs(state.jobs)) {
    if (!urgent || (phase !== 'queued' && phase !== 'starting')) continue;
    const pool = state.tables.routes[queue]?.pool;
    if (pool !== undefined) pools.add(pool);
  }
  return pools;
}
