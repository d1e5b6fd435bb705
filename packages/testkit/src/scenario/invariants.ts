/** The invariants that cluster scenarios (with fake timers) check. */
import {INVARIANTS, type Invariant} from '../check/checker.js';

/** `budget` and `one-pool` are about the planner; fleet scenarios check them. */
export const SCENARIO_INVARIANTS: readonly Invariant[] = INVARIANTS.filter(
  name => name !== 'budget' && name !== 'one-pool',
);
