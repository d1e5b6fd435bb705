/** What a leader knows of runs beyond the record, by `runId`. */

export interface RunTracker {
  /** The worker has answered the order to start or to stop the run. */
  markSettled(id: string): void;
  /**
   * Whether the order was settled before `sinceMs`, so that a worker that does
   * not list the run then will never have it.
   */
  isSettled(id: string, sinceMs: number): boolean;
  markStarted(id: string): void;
  /** When the worker confirmed the start; monotonic. */
  startedMs(id: string): number | undefined;
  /** The run was listed by the incarnation that it is recorded for. */
  markReported(id: string): void;
  wasReported(id: string): boolean;
  /** Returns false if the run is being stopped already. */
  markStopping(id: string): boolean;
  isStopping(id: string): boolean;
  /** The run is off the record. */
  forget(id: string): void;
}

/** `inherited` runs were ordered by an earlier leader; a survey settles them. */
export function createRunTracker(inherited: Iterable<string>): RunTracker {
  const earlier = new Set(inherited);
  const settledMs = new Map<string, number>();
  const begunMs = new Map<string, number>();
  const seen = new Set<string>();
  const stopping = new Set<string>();
  return {
    markSettled: id => void settledMs.set(id, performance.now()),
    // A run may be on record before the message that leads to its order.
    isSettled: (id, sinceMs) =>
      earlier.has(id) || (settledMs.get(id) ?? Infinity) < sinceMs,
    markStarted: id => void begunMs.set(id, performance.now()),
    startedMs: id => begunMs.get(id),
    markReported: id => void seen.add(id),
    wasReported: id => seen.has(id),
    markStopping(id) {
      if (stopping.has(id)) return false;
      stopping.add(id);
      return true;
    },
    isStopping: id => stopping.has(id),
    forget(id) {
      earlier.delete(id);
      settledMs.delete(id);
      begunMs.delete(id);
      seen.delete(id);
      stopping.delete(id);
    },
  };
}
