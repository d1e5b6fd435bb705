/** Weakened variants of the mechanisms, and rules that reach more paths. */
import {Rules} from '@lentildrift/consensus';

/** Small limits, so that short runs use snapshots in parts and many appends. */
export class SmallRules extends Rules {
  override readonly keptRecords = 5;
  override readonly snapshotPartBytes = 64;
  override readonly maxAppendRecords = 3;
}

export class WithoutPreVote extends Rules {
  override asksFirst(): boolean {
    return false;
  }
}

export class WithoutCheckQuorum extends Rules {
  override stepsDown(): boolean {
    return false;
  }
}

export class WithoutReadRound extends WithoutCheckQuorum {
  override confirmsReads(): boolean {
    return false;
  }
}

export class WithoutSync extends Rules {
  override waitsForSync(): boolean {
    return false;
  }
}

export class CountingOldTerms extends Rules {
  override commitsByCount(): boolean {
    return true;
  }
}
