/** Estimates how late messages of another process are. */

/**
 * A minimum is replaced after this time. The clocks of two hosts may drift by
 * 2 %, which changes the estimate by 0.2 s at most within two such periods.
 */
const PERIOD_MS = 5000;

export interface DelayEstimate {
  /**
   * Returns for how much longer a message that was sent at `sentMs`, on the
   * sender's monotonic clock, and has arrived now was under way than the fastest
   * of those that arrived lately. `epoch` rises when the sender changes; a
   * message of an earlier sender is infinitely late.
   */
  record(epoch: number, sentMs: number): number;
}

/** The clocks of the processes need not agree; only their differences count. */
export function createDelayEstimate(): DelayEstimate {
  let current = {epoch: -1, minimumMs: Infinity, sinceMs: 0};
  let previousMinimumMs = Infinity;

  return {
    record(epoch, sentMs) {
      const nowMs = performance.now();
      const differenceMs = nowMs - sentMs;
      if (epoch < current.epoch) return Infinity;
      if (epoch > current.epoch) {
        current = {epoch, minimumMs: differenceMs, sinceMs: nowMs};
        previousMinimumMs = differenceMs;
        return 0;
      }
      if (nowMs - current.sinceMs > PERIOD_MS) {
        previousMinimumMs = current.minimumMs;
        current = {epoch, minimumMs: Infinity, sinceMs: nowMs};
      }
      current.minimumMs = Math.min(current.minimumMs, differenceMs);
      return differenceMs - Math.min(current.minimumMs, previousMinimumMs);
    },
  };
}
