/** A checker reads a recorded history and judges one invariant. */
import type {HistoryEvent} from '../history.js';

export const INVARIANTS = [
  'budget',
  'one-pool',
  'keys',
  'limit',
  'whole-answer',
  'true-refusal',
  'at-most-once',
  'leaving',
  'graceful',
  'no-revert',
] as const;
export type Invariant = (typeof INVARIANTS)[number];

/** Within this, an accepted change of configuration is in force everywhere. */
export const PROPAGATION_LIMIT_MS = 7000;

export interface CheckResult {
  /** Each violation found, in words. */
  readonly violations: readonly string[];
  /**
   * Events that the invariant speaks of. A history without any proves
   * nothing, so a run with zero counts as failed.
   */
  readonly examined: number;
}

export type Checker = (events: readonly HistoryEvent[]) => CheckResult;

/** Groups values by key, in order of first appearance. */
export function groupBy<T>(
  values: readonly T[],
  key: (value: T) => string,
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const value of values) {
    const group = groups.get(key(value));
    if (group) group.push(value);
    else groups.set(key(value), [value]);
  }
  return groups;
}
