/**
 * The timing and the safety mechanisms of the replicated log. Each mechanism
 * is one overridable method, so that a test can replace it by a weaker one and
 * show that a check fails without it; no setting reaches them.
 */
export class Rules {
  readonly heartbeatIntervalMs: number = 500;
  readonly minElectionTimeoutMs: number = 1500;
  readonly maxElectionTimeoutMs: number = 3000;
  /**
   * Part of the election timeout that a member waits after its start. After a
   * loss of all members nobody leads; a healthy leader is kept by pre-votes.
   */
  readonly startupTimeoutFactor: number = 1;
  /**
   * Limits of one message, in UTF-16 units of encoded changes; at least one
   * entry is always sent.
   */
  readonly maxAppendBytes: number = 256 * 1024;
  readonly maxAppendRecords: number = 512;
  readonly snapshotChunkBytes: number = 256 * 1024;
  /** A larger change is refused. */
  readonly maxChangeBytes: number = 1024 * 1024;
  /** Entries kept in memory before a snapshot, for members a little behind. */
  readonly retainedRecords: number = 500;

  /** Pre-vote: raise the term only if a majority would vote. */
  isPreVoteEnabled(): boolean {
    return true;
  }

  /** Refuse votes while a leader is heard. */
  isLeaderRecent(sinceLeaderMs: number): boolean {
    return sinceLeaderMs < this.minElectionTimeoutMs;
  }

  /** Check-quorum: a leader that no majority answers steps down. */
  hasLostQuorum(votersHeard: number, majority: number): boolean {
    return votersHeard < majority;
  }

  /** Acknowledge and vote only after the sync. */
  isSyncRequired(): boolean {
    return true;
  }

  /** Answer a read only after a heartbeat round that began after it. */
  isReadRoundRequired(): boolean {
    return true;
  }

  /**
   * An entry of an older term can be overwritten although a majority holds
   * it, so only entries of the leader's own term are committed by counting.
   */
  canCommitByCount(entryTerm: number, term: number): boolean {
    return entryTerm === term;
  }

  /** A learner is promoted only if it holds all that is committed. */
  canPromote(match: number, commit: number): boolean {
    return match >= commit;
  }
}
