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
  /** Expected time until nothing runs on it, if it gets nothing new. */
  readonly emptyInMs: number;
  /** Chosen only if nothing else fits. */
  readonly quarantined: boolean;
}

export interface PlacementInput {
  readonly step: Step;
  readonly size: Size;
  /** Expected duration of the task. */
  readonly durationMs: number;
  readonly candidates: readonly Candidate[];
  /** Workers where a run of this task has failed. */
  readonly failedOn: readonly string[];
  /** Rack of the other members of a gang, if any are placed. */
  readonly gangRack?: string | undefined;
}

export abstract class Placement {
  abstract choose(input: PlacementInput): Candidate | undefined;
}

export function meetsLabel({label}: Step, {labels}: Worker): boolean {
  return label === undefined || labels.includes(label);
}

/** Baseline: the first worker with room. */
export class FirstFitPlacement extends Placement {
  override choose({
    step,
    size,
    candidates,
  }: PlacementInput): Candidate | undefined {
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
  protected abstract preference(
    candidate: Candidate,
    input: PlacementInput,
    position: number,
  ): number;

  override choose(input: PlacementInput): Candidate | undefined {
    const {step, size, candidates} = input;
    let best: Candidate | undefined;
    let bestScore = -Infinity;
    for (const [position, candidate] of candidates.entries()) {
      const {worker, free} = candidate;
      if (!fits(size, free) || !meetsLabel(step, worker)) continue;
      const score =
        this.preference(candidate, input, position) + penalty(candidate, input);
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
export class SpreadPlacement extends Scored {
  protected override preference(candidate: Candidate): number {
    return freeShare(candidate);
  }
}

/** Positions that a worker loses if the task keeps it in use all alone. */
const EXTENSION_POSITIONS = 3;

/**
 * The first worker in a fixed order, so that those behind become idle and can
 * leave the pool. A worker that the task keeps in use beyond what runs there
 * anyway comes somewhat later.
 */
export class PackPlacement extends Scored {
  protected override preference(
    {emptyInMs}: Candidate,
    {durationMs}: PlacementInput,
    position: number,
  ): number {
    const share = durationMs > 0 ? emptyInMs / durationMs : 1;
    // Nothing is known of a task that lasts but that it stays.
    const alone = Number.isFinite(durationMs) ? Math.max(0, 1 - share) : 0;
    return 1 / (1 + position + EXTENSION_POSITIONS * alone);
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

function penalty(candidate: Candidate, input: PlacementInput): number {
  let score = 0;
  if (input.failedOn.includes(candidate.key)) score += FAILED_BEFORE;
  if (candidate.quarantined) score += DOUBTFUL;
  const wanted = input.step.rack ?? input.gangRack;
  if (wanted !== undefined && rackOf(candidate.worker) !== wanted) {
    score += OTHER_RACK;
  }
  return score;
}
