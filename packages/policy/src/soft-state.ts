/**
 * Soft state of the decisions. It is lost with the leader: the next leader
 * learns it anew, which delays moves and reclaims but never makes them wrong.
 */
export interface SoftState {
  /** Usage over declared size, by team and queue. */
  readonly usageRatios: ReadonlyMap<string, UsageRatio>;
  /** Attempts whose usage has been counted, by job. */
  readonly sampledAttempts: ReadonlyMap<string, number>;
  /** Tokens whose end has been counted, by job. */
  readonly countedEnds: ReadonlyMap<string, number>;
  /** Jobs that failed in a row on each worker. */
  readonly failureStreaks: ReadonlyMap<string, ReadonlySet<string>>;
  /** Reclaims under way, by job. */
  readonly reclaims: ReadonlyMap<string, Reclaim>;
  /** Since when each pool has been short of hosts, or has had too many. */
  readonly shortageStarts: ReadonlyMap<string, number>;
  readonly surplusStarts: ReadonlyMap<string, number>;
  /** When each host joined its pool by a move. */
  readonly moveTimes: ReadonlyMap<string, number>;
}

export interface UsageRatio {
  readonly cores: number;
  readonly memory: number;
  readonly samples: number;
}

export type ReclaimStage = 'throttle' | 'checkpoint' | 'stop';

export interface Reclaim {
  readonly token: number;
  readonly stage: ReclaimStage;
  /** When the stage began. */
  readonly sinceMs: number;
}

export const EMPTY_SOFT_STATE: SoftState = {
  usageRatios: new Map(),
  sampledAttempts: new Map(),
  countedEnds: new Map(),
  failureStreaks: new Map(),
  reclaims: new Map(),
  shortageStarts: new Map(),
  surplusStarts: new Map(),
  moveTimes: new Map(),
};
