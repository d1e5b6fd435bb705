/** Places a task that is suspected of crashing its workers. */
import {fits} from '@lentildrift/queue';
import {
  SpreadPlacement,
  type Candidate,
  type Placement,
  type PlacementInput,
} from './placement.js';

const LEAST_LOADED = new SpreadPlacement();

/**
 * Chooses a worker on which a crash loses little: an idle one if there is any,
 * otherwise the one with the least load.
 */
export function chooseForTrial(
  placement: Placement,
  input: PlacementInput,
): Candidate | undefined {
  const idle = input.candidates.filter(({worker, free}) =>
    fits(worker.capacity, free),
  );
  return (
    placement.choose({...input, candidates: idle}) ?? LEAST_LOADED.choose(input)
  );
}
