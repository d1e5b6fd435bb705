/**
 * Tells which workers may have changed since they were last heard of. While
 * neither announcements nor reports arrive, a worker's capacity may shrink;
 * reports do not contain it.
 */

export interface AnnouncementAges {
  /** Notes an announcement of the worker; returns whether it was awaited. */
  markAnnounced(worker: string): boolean;
  /** Notes that the worker has answered. */
  markAnswered(worker: string): void;
  /** Notes that the worker does not answer. */
  markSilent(worker: string): void;
  /** Whether the worker has to announce itself before it gets new runs. */
  isOutdated(worker: string): boolean;
  /** Drops what is known of the worker. */
  forget(worker: string): void;
}

/**
 * Largest age of the last announcement of a worker that begins to answer. The
 * platform allows a capacity that has shrunk to count for 3 s and one further
 * announcement, and workers announce themselves about every 1.5 s.
 */
const MAX_AGE_MS = 2500;

/**
 * `leaderlessMs` is the time for which no announcement may have been recorded
 * before this leader began.
 */
export function createAnnouncementAges(leaderlessMs: number): AnnouncementAges {
  const beganMs = performance.now() - leaderlessMs;
  /** Monotonic time of the last announcement, by `workerKey`. */
  const announcedMs = new Map<string, number>();
  const answering = new Set<string>();
  const outdated = new Set<string>();
  return {
    markAnnounced(worker) {
      announcedMs.set(worker, performance.now());
      return outdated.delete(worker);
    },
    markAnswered(worker) {
      if (answering.has(worker)) return;
      answering.add(worker);
      const lastMs = announcedMs.get(worker) ?? beganMs;
      if (performance.now() - lastMs > MAX_AGE_MS) outdated.add(worker);
    },
    markSilent: worker => void answering.delete(worker),
    isOutdated: worker => outdated.has(worker),
    forget(worker) {
      announcedMs.delete(worker);
      answering.delete(worker);
      outdated.delete(worker);
    },
  };
}
