/** Types of the checkers, each of which verifies one invariant on a history. */
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

/** Time within which an accepted configuration change applies on all hosts. */
export const PROPAGATION_LIMIT_MS = 7000;

export interface CheckResult {
  /** A description of each violation. */
  readonly violations: readonly string[];
  /**
   * Number of events that the invariant covers. A history without any proves
   * nothing, so a run with zero examined events counts as failed.
   */
  readonly examined: number;
}

/** Verifies one invariant on the events of a run. */
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
