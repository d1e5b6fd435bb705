/**
 * Soft state of the decisions. It is lost with the leader: the next leader
 * learns it anew, which delays moves and reclaims but never makes them wrong.
 */
export interface Memory {
  /** Usage over declared size, by team and queue. */
  readonly ratios: ReadonlyMap<string, Ratio>;
  /** Attempts whose usage has been counted, by job. */
  readonly learnt: ReadonlyMap<string, number>;
  /** Tokens whose end has been counted, by job. */
  readonly ended: ReadonlyMap<string, number>;
  /** Jobs that failed in a row on each worker. */
  readonly streaks: ReadonlyMap<string, ReadonlySet<string>>;
  /** Reclaims under way, by job. */
  readonly reclaims: ReadonlyMap<string, Reclaim>;
  /** Since when each pool has been short of hosts, or has had too many. */
  readonly shortages: ReadonlyMap<string, number>;
  readonly surpluses: ReadonlyMap<string, number>;
  /** When each host joined its pool by a move. */
  readonly moved: ReadonlyMap<string, number>;
}

export interface Ratio {
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

export const EMPTY_MEMORY: Memory = {
  ratios: new Map(),
  learnt: new Map(),
  ended: new Map(),
  streaks: new Map(),
  reclaims: new Map(),
  shortages: new Map(),
  surpluses: new Map(),
  moved: new Map(),
};
