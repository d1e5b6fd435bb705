/** The clock by which clients are late. */

export interface IntakeClock {
  /** Monotonic time, without the time for which this process stood still. */
  nowMs(): number;
  /** To be called at a regular interval. */
  tick(): void;
}

/**
 * Creates a clock that advances by at most `tickIntervalMs` between two ticks. A
 * process that was frozen has read nothing meanwhile, so that its clients are
 * not late for that time.
 */
export function createIntakeClock(tickIntervalMs: number): IntakeClock {
  let tickedAtMs = performance.now();
  let tickMs = tickedAtMs;

  function nowMs(): number {
    return tickMs + Math.min(performance.now() - tickedAtMs, tickIntervalMs);
  }

  return {
    nowMs,
    tick() {
      tickMs = nowMs();
      tickedAtMs = performance.now();
    },
  };
}
