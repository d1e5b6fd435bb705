/**
 * Soft state of the decisions, which is not replicated. A new leader starts
 * with empty soft state and learns it anew, which delays moves and reclaims but
 * never makes them incorrect.
 */
export interface SoftState {
  /** Ratio of used to declared size, by team and queue. */
  readonly usageRatios: ReadonlyMap<string, UsageRatio>;
  /** Tokens of attempts whose usage has been sampled, by job. */
  readonly sampledAttempts: ReadonlyMap<string, number>;
  /** Tokens of attempts whose end has been counted, by job. */
  readonly countedEnds: ReadonlyMap<string, number>;
  /** IDs of the jobs that failed in a row, by worker. */
  readonly failureStreaks: ReadonlyMap<string, ReadonlySet<string>>;
  /** Reclaims in progress, by job. */
  readonly reclaims: ReadonlyMap<string, Reclaim>;
  /** When each pool's shortage of hosts began, in milliseconds. */
  readonly shortageStarts: ReadonlyMap<string, number>;
  /** When each pool's surplus of hosts began, in milliseconds. */
  readonly surplusStarts: ReadonlyMap<string, number>;
  /** When each host was last seen moving between pools, in milliseconds. */
  readonly moveTimes: ReadonlyMap<string, number>;
}

/** Moving averages of used over declared cores and memory. */
export interface UsageRatio {
  readonly cores: number;
  readonly memory: number;
  readonly samples: number;
}

/** Stages of a reclaim, from the least to the most disruptive. */
export type ReclaimStage = 'throttle' | 'checkpoint' | 'stop';

/** A reclaim of a running task's resources. */
export interface Reclaim {
  /** Fencing token of the attempt. */
  readonly token: number;
  readonly stage: ReclaimStage;
  /** When the stage began, in milliseconds. */
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
