/**
 * Time that one leader after the other counts on, see `State.ledMs`. Moments that
 * an earlier leader has recorded thus have an age for the next one, on whichever
 * host, without a comparison of clocks.
 */

export interface LedTime {
  nowMs(): number;
  /** The monotonic time of this process at such a moment. */
  toMonotonicMs(ledMs: number): number;
  /** Rounded up, so that the moment does not count as earlier than it was. */
  fromMonotonicMs(atMs: number): number;
}

/** Rounding errors of two conversions do not make a moment later. */
const ROUNDING_MS = 0.001;

/** `ledMs` is the time that the complete state of a new leader has. */
export function continueLedTime(ledMs: number): LedTime {
  const offsetMs = performance.now() - ledMs;
  return {
    nowMs: () => performance.now() - offsetMs,
    toMonotonicMs: atMs => atMs + offsetMs,
    fromMonotonicMs: atMs => Math.ceil(atMs - offsetMs - ROUNDING_MS),
  };
}
