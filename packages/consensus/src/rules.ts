/**
 * Timing, limits and safety mechanisms of the replicated log. Each mechanism is
 * one method, which a test overrides with a weaker one to show that its check
 * then fails. No setting of the product can change them.
 */
export class Rules {
  readonly heartbeatIntervalMs: number = 500;
  readonly minElectionTimeoutMs: number = 1500;
  readonly maxElectionTimeoutMs: number = 3000;
  /**
   * Factor on the first election timeout after a member starts. When all
   * members restart together nobody leads, so a short wait is useful; where a
   * leader is healthy, pre-vote keeps the early candidate from deposing it.
   */
  readonly startupTimeoutFactor: number = 1;
  /**
   * Content of one append message, in UTF-16 units. One entry is always sent,
   * even if it is larger.
   */
  readonly maxAppendBytes: number = 256 * 1024;
  readonly maxAppendRecords: number = 512;
  /** Part of a snapshot in one message, in UTF-16 units. */
  readonly snapshotChunkBytes: number = 256 * 1024;
  /** Limit of one encoded change, in UTF-16 units; larger ones are refused. */
  readonly maxChangeBytes: number = 1024 * 1024;
  /**
   * Entries before the snapshot that stay in memory, so that members that are
   * a little behind need no snapshot.
   */
  readonly retainedRecords: number = 500;
  /**
   * Time for which entries are applied in one turn of the event loop; at least
   * one entry is. A restarted member learns from one message that its whole log
   * is committed. Applied in one turn, it would take longer than the election
   * timeout of the others.
   */
  readonly applySliceMs: number = 5;
  /**
   * Shortest time from the start of a heartbeat round to that of the next round
   * for reads only. Reads that arrive meanwhile share that round, or the one of
   * the next change, so that a leader with many readers spends no message on
   * each of them.
   */
  readonly readIntervalMs: number = 0;
  /**
   * While changes follow each other by less than this, a new commit index goes
   * with the entries of the next change, or with the next heartbeat. Otherwise
   * it is sent at once.
   */
  readonly changeStreamGapMs: number = 0;

  /** Pre-vote: a member raises its term only if a majority would elect it. */
  isPreVoteEnabled(): boolean {
    return true;
  }

  /**
   * Leader stickiness: a member refuses its vote while it has heard from a
   * leader within the shortest election timeout, except after a transfer.
   */
  isLeaderRecent(sinceLeaderContactMs: number): boolean {
    return sinceLeaderContactMs < this.minElectionTimeoutMs;
  }

  /** Check-quorum: a leader steps down if no majority answers it. */
  hasLostQuorum(activeVoters: number, quorum: number): boolean {
    return activeVoters < quorum;
  }

  /** A member acknowledges entries and votes only once they are synced. */
  isSyncRequired(): boolean {
    return true;
  }

  /** A read is answered only after a heartbeat round that began after it. */
  isReadRoundRequired(): boolean {
    return true;
  }

  /**
   * An entry of an older term can still be overwritten although a majority
   * holds it, so only entries of the leader's own term are committed by
   * counting replicas.
   */
  canCommitByCount(entryTerm: number, term: number): boolean {
    return entryTerm === term;
  }

  /**
   * A learner is promoted only if it holds every entry that was committed one
   * or two heartbeat intervals ago.
   */
  canPromote(matchIndex: number, catchUpIndex: number): boolean {
    return matchIndex >= catchUpIndex;
  }
}
