/** Estimates how long hosts are down for their maintenance. */

/** Mean until the first host has returned. */
const INITIAL_DOWNTIME_MS = 2500;
/** Weight of the latest host in the mean. */
const DOWNTIME_WEIGHT = 0.2;
/**
 * Range of the times that count. A single host that hangs for a minute would
 * have all later hosts in use emptied too early.
 */
const MIN_DOWNTIME_MS = 500;
const MAX_DOWNTIME_MS = 10_000;

export interface DowntimeEstimate {
  record(downtimeMs: number): void;
  meanMs(): number;
}

export function createDowntimeEstimate(): DowntimeEstimate {
  let meanMs = INITIAL_DOWNTIME_MS;
  return {
    record(downtimeMs) {
      const clampedMs = Math.min(
        Math.max(downtimeMs, MIN_DOWNTIME_MS),
        MAX_DOWNTIME_MS,
      );
      meanMs += DOWNTIME_WEIGHT * (clampedMs - meanMs);
    },
    meanMs: () => meanMs,
  };
}
