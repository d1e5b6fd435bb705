/** Places a task that is suspected of crashing its workers. */
import {fits} from '@lentildrift/queue';
import type {Candidate} from './candidate.js';
import {
  SpreadPlacement,
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
  const candidates = idleCandidates(input.candidates);
  return placement.choose({...input, candidates}) ?? LEAST_LOADED.choose(input);
}

/** The candidates whose whole capacity is free. */
export function idleCandidates(candidates: readonly Candidate[]): Candidate[] {
  return candidates.filter(({worker, free}) => fits(worker.capacity, free));
}
