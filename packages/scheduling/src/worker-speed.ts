/**
 * Whether tasks last longer on a worker than elsewhere. Ends of runs are the
 * evidence, and runs that exceed what is expected of them: on a worker that has
 * just turned slow, nothing ends for a while.
 */
import {
  expectedRatio,
  likelihoodAbove,
  likelihoodOf,
  type DurationRatios,
} from './duration-ratio.js';

/** Factors by which a worker may be slow; the first is the usual speed. */
const FACTORS = [1, 2, 4, 8] as const;
/** Share of the workers that are assumed to be slow before any evidence. */
const SLOW_SHARE = 0.02;
/** Evidence loses half of its weight in this time: a slow spell ends. */
const HALF_LIFE_MS = 5000;

/** Evidence from the runs that have ended on one worker. */
export interface WorkerSpeed {
  /** Logarithm of the likelihood of the evidence, for each factor. */
  readonly logLikelihoods: readonly number[];
  /** Time of the last evidence, on the clock of `nowMs`. */
  readonly updatedMs: number;
}

/** A duration, or the time that a run has lasted, as evidence. */
export interface SpeedEvidence {
  /** Ratio to the expected duration. */
  readonly ratio: number;
  /** Whether the run has ended; otherwise it lasts longer than the ratio. */
  readonly hasEnded: boolean;
  /** Distribution of such ratios on workers of usual speed. */
  readonly ratios: DurationRatios;
}

/** Likelihood of each factor in `FACTORS`; the sum is 1. */
export type SlownessLikelihoods = readonly number[];

const PRIOR: SlownessLikelihoods = FACTORS.map((_, at) =>
  at === 0 ? 1 - SLOW_SHARE : SLOW_SHARE / (FACTORS.length - 1),
);

function decayed(
  speed: WorkerSpeed | undefined,
  nowMs: number,
): readonly number[] {
  if (!speed) return FACTORS.map(() => 0);
  const share = 2 ** -(Math.max(0, nowMs - speed.updatedMs) / HALF_LIFE_MS);
  return speed.logLikelihoods.map(each => share * each);
}

function addEvidence(
  logLikelihoods: readonly number[],
  {ratio, hasEnded, ratios}: SpeedEvidence,
): readonly number[] {
  const likelihood = hasEnded ? likelihoodOf : likelihoodAbove;
  return logLikelihoods.map(
    (sum, at) => sum + Math.log(likelihood(ratios, ratio / FACTORS[at]!)),
  );
}

/** Adds the evidence of a run that has ended. */
export function recordSpeedEvidence(
  speed: WorkerSpeed | undefined,
  evidence: SpeedEvidence,
  nowMs: number,
): WorkerSpeed {
  const logLikelihoods = addEvidence(decayed(speed, nowMs), evidence);
  return {logLikelihoods, updatedMs: nowMs};
}

/** How slow the worker is likely to be, with the evidence of its current runs. */
export function estimateSlowness(
  speed: WorkerSpeed | undefined,
  current: readonly SpeedEvidence[],
  nowMs: number,
): SlownessLikelihoods {
  if (!speed && current.length === 0) return PRIOR;
  const logLikelihoods = current.reduce(addEvidence, decayed(speed, nowMs));
  const largest = Math.max(...logLikelihoods);
  const weights = PRIOR.map(
    (share, at) => share * Math.exp(logLikelihoods[at]! - largest),
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return weights.map(weight => weight / sum);
}

/** Whether the worker is more likely slow than not. */
export function isSlow(slowness: SlownessLikelihoods): boolean {
  return slowness[0]! < 0.5;
}

/** What is expected of a run that has lasted longer than `elapsedRatio`. */
export interface RunExpectation {
  /** Ratio of its whole duration on its worker. */
  readonly wholeRatio: number;
  /** Ratio of the duration of the same task on a worker of usual speed. */
  readonly usualRatio: number;
}

export function expectRun(
  slowness: SlownessLikelihoods,
  ratios: DurationRatios,
  elapsedRatio: number,
): RunExpectation {
  let wholeRatio = 0;
  let usualRatio = 0;
  for (const [at, factor] of FACTORS.entries()) {
    const usual = expectedRatio(ratios, elapsedRatio / factor);
    usualRatio += slowness[at]! * usual;
    wholeRatio += slowness[at]! * factor * usual;
  }
  return {wholeRatio, usualRatio};
}
