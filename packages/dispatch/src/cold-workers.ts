/**
 * Tracks which workers have announced that they are slow after their start.
 * Kept by the leader only: the next one learns it from the next announcements,
 * which come every few seconds, and until then takes the workers for warm.
 */

export interface ColdWorkers {
  /**
   * Notes an announcement of the worker, by which it stays slow for `leftMs`
   * more; returns whether it was not known to be cold.
   */
  note(worker: string, leftMs: number): boolean;
  /** How much longer the worker stays slow; 0 if it is warm. */
  leftMs(worker: string): number;
  /** Drops what is known of the worker. */
  forget(worker: string): void;
}

export function createColdWorkers(): ColdWorkers {
  /** Monotonic time until which a worker is slow, by `workerKey`. */
  const coldUntilMs = new Map<string, number>();

  function leftMs(worker: string): number {
    const untilMs = coldUntilMs.get(worker);
    if (untilMs === undefined) return 0;
    const left = untilMs - performance.now();
    if (left > 0) return left;
    coldUntilMs.delete(worker);
    return 0;
  }

  return {
    note(worker, left) {
      const wasCold = leftMs(worker) > 0;
      if (left > 0) coldUntilMs.set(worker, performance.now() + left);
      else coldUntilMs.delete(worker);
      return left > 0 && !wasCold;
    },
    leftMs,
    forget: worker => void coldUntilMs.delete(worker),
  };
}
