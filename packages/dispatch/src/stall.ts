/** Detects that this process has just resumed from a stall, such as a freeze. */
import {afterInput, type InputTimeout} from '@lentildrift/task';

export interface StallWatch {
  /**
   * Whether messages that are read now may have waited in their socket during a
   * stall.
   */
  isCatchingUp(): boolean;
  stop(): void;
}

/** Interval of the timer whose lateness shows a stall. */
const CHECK_INTERVAL_MS = 100;

/** A stall is a period of `minimumMs` or more in which no timer ran. */
export function createStallWatch(minimumMs: number): StallWatch {
  let checkedMs = performance.now();
  let catchingUp: InputTimeout | undefined;
  const timer = setInterval(() => {
    if (isStalled()) {
      catchingUp?.cancel();
      catchingUp = afterInput(() => (catchingUp = undefined));
    }
    checkedMs = performance.now();
  }, CHECK_INTERVAL_MS);
  timer.unref();

  /** Sockets may be read before the timer runs. */
  function isStalled(): boolean {
    return performance.now() - checkedMs > CHECK_INTERVAL_MS + minimumMs;
  }

  return {
    isCatchingUp: () => catchingUp !== undefined || isStalled(),
    stop() {
      clearInterval(timer);
      catchingUp?.cancel();
    },
  };
}
