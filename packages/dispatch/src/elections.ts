/**
 * Remembers when this process first knew of each elected leader: an earlier one
 * acts for at most `STALE_LEADER_MS` from then on.
 */
import type {ReplicaStatus} from '@lentildrift/consensus';

export interface Elections {
  /** Handles a change of the member's status. */
  note(status: Pick<ReplicaStatus, 'term' | 'leader'>): void;
  /**
   * Monotonic time at which this process knew that the leader of this term, or
   * of a later one, had been elected; infinite if it knows of none.
   */
  knownMs(term: number): number;
}

/**
 * Number of terms that are remembered: the leases of earlier ones have expired
 * long ago.
 */
const MAX_ELECTIONS = 64;

export function createElections(): Elections {
  let elections: readonly {term: number; atMs: number}[] = [];

  return {
    note({term, leader}) {
      // A member that has voted in a term may know of it before the election,
      // and the former leader may be confirmed again until then.
      if (leader === undefined) return;
      if (term <= (elections.at(-1)?.term ?? 0)) return;
      const election = {term, atMs: performance.now()};
      elections = [...elections, election].slice(-MAX_ELECTIONS);
    },
    knownMs(term) {
      return elections.find(each => each.term >= term)?.atMs ?? Infinity;
    },
  };
}
