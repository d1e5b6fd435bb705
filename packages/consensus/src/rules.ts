/**
 * The timing and the safety mechanisms of the replicated log. Each mechanism
 * is one overridable method, so that a test can replace it by a weaker one and
 * show that a check fails without it; no setting reaches them.
 */
export class Rules {
  readonly heartbeatMs: number = 500;
  readonly minElectionMs: number = 1500;
  readonly maxElectionMs: number = 3000;
  /**
   * Part of the election timeout that a member waits after its start. After a
   * loss of all members nobody leads; a healthy leader is kept by pre-votes.
   */
  readonly startupShare: number = 1;
  /**
   * Limits of one message, in UTF-16 units of encoded changes; at least one
   * entry is always sent.
   */
  readonly maxAppendBytes: number = 256 * 1024;
  readonly maxAppendRecords: number = 512;
  readonly snapshotPartBytes: number = 256 * 1024;
  /** A larger change is refused. */
  readonly maxChangeBytes: number = 1024 * 1024;
  /** Entries kept in memory before a snapshot, for members a little behind. */
  readonly keptRecords: number = 500;

  /** Pre-vote: raise the term only if a majority would vote. */
  asksFirst(): boolean {
    return true;
  }

  /** Refuse votes while a leader is heard. */
  refusesVote(sinceLeaderMs: number): boolean {
    return sinceLeaderMs < this.minElectionMs;
  }

  /** Check-quorum: a leader that no majority answers steps down. */
  stepsDown(votersHeard: number, majority: number): boolean {
    return votersHeard < majority;
  }

  /** Acknowledge and vote only after the sync. */
  waitsForSync(): boolean {
    return true;
  }

  /** Answer a read only after a heartbeat round that began after it. */
  confirmsReads(): boolean {
    return true;
  }

  /**
   * An entry of an older term can be overwritten although a majority holds
   * it, so only entries of the leader's own term are committed by counting.
   */
  commitsByCount(entryTerm: number, term: number): boolean {
    return entryTerm === term;
  }

  /** A learner is promoted only if it holds all that is committed. */
  mayPromote(match: number, commit: number): boolean {
    return match >= commit;
  }
}
