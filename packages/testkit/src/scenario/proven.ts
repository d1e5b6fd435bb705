/** The invariants that scenarios on the paused clock are about. */
import {INVARIANTS, type Invariant} from '../check/checker.js';

/** The others are the planner's. */
export const PROVEN: readonly Invariant[] = INVARIANTS.filter(
  name => name !== 'budget' && name !== 'one-pool',
);
