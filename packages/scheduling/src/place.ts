/** The choice of a worker for a task. */
import {
  fits,
  rackOf,
  type Size,
  type Step,
  type Worker,
} from '@lentildrift/queue';

/** A worker that may get new runs, and what is free on it. */
export interface Candidate {
  readonly key: string;
  readonly worker: Worker;
  readonly free: Size;
  /** Chosen only if nothing else fits. */
  readonly doubtful: boolean;
}

export interface PlaceInput {
  readonly step: Step;
  readonly size: Size;
  readonly candidates: readonly Candidate[];
  /** Workers where a run of this task has failed. */
  readonly failedOn: readonly string[];
  /** Rack of the other members of a gang, if any are placed. */
  readonly gangRack?: string | undefined;
}

export abstract class Placement {
  abstract choose(input: PlaceInput): Candidate | undefined;
}

export function meetsLabel({label}: Step, {labels}: Worker): boolean {
  return label === undefined || labels.includes(label);
}

/** Baseline: the first worker with room. */
export class FirstFit extends Placement {
  override choose({step, size, candidates}: PlaceInput): Candidate | undefined {
    return candidates.find(
      ({worker, free}) => meetsLabel(step, worker) && fits(size, free),
    );
  }
}

/**
 * Chooses by a score. Workers where the task has failed, doubtful ones and
 * those on another rack than the data come last.
 */
abstract class Scored extends Placement {
  /** Between 0 and 1; the highest is chosen. */
  protected abstract preference(candidate: Candidate): number;

  override choose(input: PlaceInput): Candidate | undefined {
    const {step, size, candidates} = input;
    let best: Candidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of candidates) {
      const {worker, free} = candidate;
      if (!fits(size, free) || !meetsLabel(step, worker)) continue;
      const score = this.preference(candidate) + penalty(candidate, input);
      if (score <= bestScore) continue;
      best = candidate;
      bestScore = score;
    }
    return best;
  }
}

/**
 * The worker with the most free cores, so that a worker that turns slow or
 * fails everything holds few tasks.
 */
export class Spread extends Scored {
  protected override preference(candidate: Candidate): number {
    return freeShare(candidate);
  }
}

/** The fullest worker, so that others become idle and can leave the pool. */
export class Pack extends Scored {
  protected override preference(candidate: Candidate): number {
    return 1 - freeShare(candidate);
  }
}

function freeShare({worker, free}: Candidate): number {
  const {cpuMillis} = worker.capacity;
  return cpuMillis > 0 ? free.cpuMillis / cpuMillis : 0;
}

/** Larger than any preference, so that these decide first. */
const FAILED_BEFORE = -8;
const DOUBTFUL = -4;
const OTHER_RACK = -2;

function penalty(candidate: Candidate, input: PlaceInput): number {
  let score = 0;
  if (input.failedOn.includes(candidate.key)) score += FAILED_BEFORE;
  if (candidate.doubtful) score += DOUBTFUL;
  const wanted = input.step.rack ?? input.gangRack;
  if (wanted !== undefined && rackOf(candidate.worker) !== wanted) {
    score += OTHER_RACK;
  }
  return score;
}
