/** Classifies a worker's announcement by what it changes in the directory. */
import type {Tables, Worker} from '@lentildrift/queue';

export type AnnouncementKind =
  /** Nothing that the directory records has changed. */
  | 'unchanged'
  /** Delayed: from an older incarnation or sequence, or from before it left. */
  | 'stale'
  /** The known incarnation has changed a recorded property. */
  | 'changed'
  /** The known incarnation is ready, although its departure is recorded. */
  | 'returned'
  /** The worker ID is not in the directory. */
  | 'new'
  /** A later incarnation of a known worker. */
  | 'new-incarnation';

/**
 * `heardSequence` is the highest sequence that the announced incarnation is
 * known to have reached; that of its record may be older, since announcements
 * that change nothing are not recorded.
 */
export function classifyAnnouncement(
  known: Worker | undefined,
  announced: Worker,
  heardSequence = -Infinity,
): AnnouncementKind {
  if (!known) return 'new';
  if (announced.bornMs < known.bornMs) return 'stale';
  if (announced.bornMs > known.bornMs) return 'new-incarnation';
  const lastSequence = Math.max(known.sequence, heardSequence);
  if (known.phase === 'gone') {
    // A departure names no incarnation, so it may have been an earlier one's.
    const isReturn =
      announced.phase === 'ready' && announced.sequence > lastSequence;
    return isReturn ? 'returned' : 'stale';
  }
  if (announced.sequence < lastSequence) return 'stale';
  return isSame(known, announced) ? 'unchanged' : 'changed';
}

/**
 * Whether the announcement comes from another writer than a worker: a worker
 * belongs to a pool of the tables, or to the one that it was recorded with, and
 * stays in it. Before the first tables no pool is known, and none is unknown.
 */
export function isForeignAnnouncement(
  known: Worker | undefined,
  announced: Worker,
  {version, pools}: Tables,
): boolean {
  if (known?.pool === announced.pool) return false;
  if (known?.bornMs === announced.bornMs) return true;
  return version > 0 && pools.every(({name}) => name !== announced.pool);
}

function isSame(a: Worker, b: Worker): boolean {
  return (
    a.phase === b.phase &&
    a.pool === b.pool &&
    a.address === b.address &&
    a.host === b.host &&
    a.capacity.cpuMillis === b.capacity.cpuMillis &&
    a.capacity.memoryMb === b.capacity.memoryMb &&
    a.capacity.gpus === b.capacity.gpus &&
    a.labels.join() === b.labels.join()
  );
}
