/** A session's view of the worker's clock, and of the leases that end on it. */
import {
  CLOCK_DRIFT,
  LEASE_MARGIN_MS,
  LEASE_MS,
  MAX_LEASE_MS,
  ORDER_TIMEOUT_MS,
} from './timing.js';

/**
 * Longest time from a call until its worker gets it, unless the network delays
 * it: a relay sends what has been under way for up to one timeout for as long.
 */
const DELIVERY_MS = 2 * ORDER_TIMEOUT_MS;

export interface WorkerClock {
  /** Estimated time on the worker's clock; undefined before any report. */
  nowMs(): number | undefined;
  observe(clockMs: number): void;
  hasBeenObserved(): boolean;
  /**
   * The last reading of the clock; -infinite before any. An answer to a later
   * call with an earlier reading is that of another incarnation.
   */
  lastObservedMs(): number;
  /** Returns the end of a lease that begins now, on the worker's clock. */
  grantLease(leaseMs: number): number;
  hasGrantedLease(): boolean;
  /** See `WorkerSession.leaseExpiryMs`. */
  leaseExpiryMs(): number;
  /**
   * Monotonic time at which the longest lease that any incarnation may have
   * granted has certainly expired. The next one takes the end of a lease on the
   * clock of the former one for a far later time, and shortens it to the longest
   * that there is.
   */
  longestLeaseExpiryMs(): number;
}

/**
 * Estimates the worker's clock and tracks the latest lease end on it. No earlier
 * leader or session has granted a lease later than at `inheritedMs`.
 */
export function createWorkerClock(inheritedMs: number): WorkerClock {
  let sample: {clockMs: number; atMs: number} | undefined;
  let firstSampleMs = -Infinity;
  let grantedUntilMs = 0;
  /** Monotonic time at which the last call that grants a lease was made. */
  let lastGrantMs = -Infinity;

  function nowMs(): number | undefined {
    return sample && sample.clockMs + (performance.now() - sample.atMs);
  }

  return {
    nowMs,
    hasBeenObserved: () => sample !== undefined,
    lastObservedMs: () => sample?.clockMs ?? -Infinity,
    observe(clockMs) {
      const atMs = performance.now();
      if (!sample) firstSampleMs = atMs;
      sample = {clockMs, atMs};
    },
    grantLease(leaseMs) {
      const untilMs = Math.ceil((nowMs() ?? 0) + leaseMs);
      grantedUntilMs = Math.max(grantedUntilMs, untilMs);
      lastGrantMs = performance.now();
      return untilMs;
    },
    hasGrantedLease: () => lastGrantMs > -Infinity,
    longestLeaseExpiryMs() {
      const arrivedMs = Math.max(lastGrantMs + DELIVERY_MS, inheritedMs);
      return arrivedMs + MAX_LEASE_MS / (1 - CLOCK_DRIFT) + LEASE_MARGIN_MS;
    },
    leaseExpiryMs() {
      // The latest end of a lease that an earlier leader may have granted.
      const inheritedExpiryMs = inheritedMs + LEASE_MS / (1 - CLOCK_DRIFT);
      if (!sample) return inheritedExpiryMs + LEASE_MARGIN_MS;
      const remainingMs = (grantedUntilMs - sample.clockMs) / (1 - CLOCK_DRIFT);
      // A call to an earlier incarnation may have arrived before the first call
      // of this session, which fences off others. Its lease ends on the clock of
      // that incarnation, which may be far ahead.
      const earlierExpiryMs = firstSampleMs + MAX_LEASE_MS / (1 - CLOCK_DRIFT);
      return (
        Math.max(
          inheritedExpiryMs,
          earlierExpiryMs,
          sample.atMs + remainingMs,
        ) + LEASE_MARGIN_MS
      );
    },
  };
}
