/**
 * How much of a worker may be in use that has just started and is slow until
 * its caches and its code are warm. Its first runs last several times as long as
 * usual, so that they should be few while warm workers can take the others.
 */

/** This share of the cores may be in use however cold it is, to warm it up. */
const MIN_COLD_SHARE = 0.25;
/**
 * The limit rises as the remaining time falls: all cores when one second is
 * left. The runs that it holds back thus do not all start in the moment it is
 * warm.
 */
const WARMING_MS = 1000;

/**
 * Cores that may be in use on a worker with `cpuMillis` cores that is slow for
 * `coldLeftMs` more; infinite for one that is warm. The run that passes the
 * limit is allowed, so that an idle worker gets one of any size.
 */
export function maxColdCpuMillis(
  coldLeftMs: number,
  cpuMillis: number,
): number {
  if (coldLeftMs <= 0) return Infinity;
  const share = Math.max(MIN_COLD_SHARE, WARMING_MS / coldLeftMs);
  return share < 1 ? share * cpuMillis : Infinity;
}
