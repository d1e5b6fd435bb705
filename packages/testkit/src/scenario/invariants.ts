/** The invariants that scenarios on the paused clock are about. */
import {INVARIANTS, type Invariant} from '../check/checker.js';

/** The others are the planner's. */
export const SCENARIO_INVARIANTS: readonly Invariant[] = INVARIANTS.filter(
  name => name !== 'budget' && name !== 'one-pool',
);
