/** What an announcement of a worker means for the directory. */
import type {Worker} from '@lentildrift/queue';

export type AnnouncementKind =
  /** Nothing that matters has changed. */
  | 'alive'
  /** An older announcement that was delayed. */
  | 'stale'
  | 'changed'
  | 'new'
  /** A new incarnation under a known ID. */
  | 'reborn';

export function classifyAnnouncement(
  known: Worker | undefined,
  said: Worker,
): AnnouncementKind {
  if (!known) return 'new';
  if (said.bornMs < known.bornMs) return 'stale';
  if (said.bornMs > known.bornMs) return 'reborn';
  if (known.phase === 'gone') return 'stale';
  if (said.sequence < known.sequence) return 'stale';
  return isSame(known, said) ? 'alive' : 'changed';
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
