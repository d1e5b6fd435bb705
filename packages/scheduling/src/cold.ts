/**
 * How many runs a worker may have at once that has just started and is slow
 * until its caches and its code are warm. Its first runs last several times as
 * long as usual, so that they should be few.
 */

/** A worker gets this many runs however cold it is, so that it warms up. */
const MIN_COLD_RUNS = 2;
/**
 * The limit rises as the remaining time falls: 8 runs when one second is left.
 * The runs that it holds back thus do not all start in the moment it is warm.
 */
const WARMING_RUNS_MS = 8000;

/**
 * Largest number of runs at once on a worker that is slow for `coldLeftMs` more;
 * infinite for one that is warm.
 */
export function maxColdRuns(coldLeftMs: number): number {
  if (coldLeftMs <= 0) return Infinity;
  return Math.max(MIN_COLD_RUNS, Math.floor(WARMING_RUNS_MS / coldLeftMs));
}
