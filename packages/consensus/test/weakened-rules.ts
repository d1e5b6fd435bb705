/** Weakened variants of the safety mechanisms, and rules with small limits. */
import {Rules} from '@lentildrift/consensus';

/**
 * Small limits, so that short runs send many appends and snapshot parts and
 * apply one entry a turn.
 */
export class SmallRules extends Rules {
  override readonly retainedRecords = 5;
  override readonly snapshotChunkBytes = 64;
  override readonly maxAppendRecords = 3;
  override readonly applySliceMs = 0;
}

/** Reads share rounds, and the commit index waits for other messages. */
export class SpacedReads extends SmallRules {
  override readonly readIntervalMs = 20;
  override readonly changeStreamGapMs = 50;
}

export class WithoutPreVote extends Rules {
  override isPreVoteEnabled(): boolean {
    return false;
  }
}

export class WithoutCheckQuorum extends Rules {
  override hasLostQuorum(): boolean {
    return false;
  }
}

export class WithoutReadRound extends WithoutCheckQuorum {
  override isReadRoundRequired(): boolean {
    return false;
  }
}

export class WithoutSync extends Rules {
  override isSyncRequired(): boolean {
    return false;
  }
}

export class WithoutTermCheck extends Rules {
  override canCommitByCount(): boolean {
    return true;
  }
}
