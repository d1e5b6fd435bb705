/** Policies that choose a worker for a task. */
import {
  fits,
  rackOf,
  type Size,
  type Step,
  type Worker,
} from '@lentildrift/queue';
import {isCold, type Candidate} from './candidate.js';

export interface PlacementInput {
  readonly step: Step;
  /** Resources that the task reserves. */
  readonly size: Size;
  /** Expected duration of the task; infinite for a long-running task. */
  readonly durationMs: number;
  readonly candidates: readonly Candidate[];
  /** Keys of the workers on which a run of this task has failed. */
  readonly failedOn: readonly string[];
  /**
   * Rack of the gang members that have been placed, if the gang prefers one
   * rack.
   */
  readonly gangRack?: string | undefined;
}

export abstract class Placement {
  /** Chooses a worker for a task; undefined if the task fits on none. */
  abstract choose(input: PlacementInput): Candidate | undefined;
}

/** Whether the worker has the label that the step requires, if any. */
export function meetsLabel({label}: Step, {labels}: Worker): boolean {
  return label === undefined || labels.includes(label);
}

/**
 * Whether the tasks of the step keep to the rack on which they or the first of
 * them are placed: for their whole life, which is longer than a worker is cold.
 */
export function staysOnRack({lasting, gang, sameRack}: Step): boolean {
  return lasting || gang || sameRack;
}

/** Whether the worker is warm, little in use yet, or not limited for the step. */
export function mayGetRun(
  step: Step,
  {coldCpuMillisLeft = Infinity}: Candidate,
): boolean {
  return coldCpuMillisLeft > 0 || staysOnRack(step);
}

/** Baseline: the first worker with enough free resources. */
export class FirstFitPlacement extends Placement {
  override choose({
    step,
    size,
    candidates,
  }: PlacementInput): Candidate | undefined {
    return candidates.find(
      candidate =>
        meetsLabel(step, candidate.worker) &&
        fits(size, candidate.free) &&
        mayGetRun(step, candidate),
    );
  }
}

/**
 * Chooses the worker with the highest score, which is a preference and
 * penalties. Workers on which the task has failed, quarantined workers, cold
 * workers, workers on another rack than the data or the gang and, for
 * long-running tasks, workers whose hosts are due for maintenance rank last.
 * A cold worker that has its share of runs gets no others, except of steps that
 * stay on their rack.
 */
abstract class ScoredPlacement extends Placement {
  /** Preference between 0 and 1; higher is better. */
  protected abstract preference(
    candidate: Candidate,
    input: PlacementInput,
    position: number,
  ): number;

  override choose(input: PlacementInput): Candidate | undefined {
    const {step, size, candidates} = input;
    let best: Candidate | undefined;
    let bestScore = -Infinity;
    // Runs for each worker of the pool and each task; `entries` would allocate.
    for (let position = 0; position < candidates.length; position++) {
      const candidate = candidates[position]!;
      const {worker, free} = candidate;
      if (!fits(size, free) || !meetsLabel(step, worker)) continue;
      if (!mayGetRun(step, candidate)) continue;
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
 * Prefers the worker with the largest share of free cores, so that a worker
 * that becomes slow or faulty holds few tasks.
 */
export class SpreadPlacement extends ScoredPlacement {
  protected override preference(candidate: Candidate): number {
    return freeCpuShare(candidate);
  }
}

/**
 * Number of positions by which a worker ranks lower if nothing else would run
 * on the worker during the whole task.
 */
const BUSY_EXTENSION_POSITIONS = 3;

/**
 * Prefers the first worker in a fixed order, so that the last workers become
 * idle and can leave the pool. A worker that the task would keep busy for
 * longer than its current runs ranks somewhat lower.
 */
export class PackPlacement extends ScoredPlacement {
  protected override preference(
    {emptyInMs}: Candidate,
    {durationMs}: PlacementInput,
    position: number,
  ): number {
    const overlapShare = durationMs > 0 ? emptyInMs / durationMs : 1;
    // All that is known of a long-running task is that it stays, so no worker
    // ranks lower for it.
    const soloShare = Number.isFinite(durationMs)
      ? Math.max(0, 1 - overlapShare)
      : 0;
    return 1 / (1 + position + BUSY_EXTENSION_POSITIONS * soloShare);
  }
}

function freeCpuShare({worker, free}: Candidate): number {
  const {cpuMillis} = worker.capacity;
  return cpuMillis > 0 ? free.cpuMillis / cpuMillis : 0;
}

/**
 * Penalties, each larger than any preference and than the smaller penalties
 * together.
 */
const FAILED_BEFORE_PENALTY = -16;
const QUARANTINED_PENALTY = -8;
const COLD_PENALTY = -4;
const OTHER_RACK_PENALTY = -2;
/** For steps that stay on their rack, for which the two change places. */
const COLD_FOR_RACK_PENALTY = OTHER_RACK_PENALTY;
const RACK_LEFT_PENALTY = COLD_PENALTY;
/** For long-running tasks, which would be stopped and started once more. */
const DUE_PENALTY = -1;

function penalty(candidate: Candidate, input: PlacementInput): number {
  let score = 0;
  const stays = staysOnRack(input.step);
  if (input.failedOn.includes(candidate.key)) score += FAILED_BEFORE_PENALTY;
  if (candidate.quarantined) score += QUARANTINED_PENALTY;
  if (isCold(candidate)) {
    score += stays ? COLD_FOR_RACK_PENALTY : COLD_PENALTY;
  }
  if (candidate.isDue && input.step.lasting) score += DUE_PENALTY;
  const preferredRack = input.step.rack ?? input.gangRack;
  if (
    preferredRack !== undefined &&
    rackOf(candidate.worker) !== preferredRack
  ) {
    score += stays ? RACK_LEFT_PENALTY : OTHER_RACK_PENALTY;
  }
  return score;
}
