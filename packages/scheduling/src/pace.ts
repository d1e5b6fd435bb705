/**
 * The pace of fillers, so that the tasks beside them that serve users keep
 * their response times: additive increase, multiplicative decrease.
 */

/** A task that serves users, as its worker last reported it. */
export interface ServingTask {
  /** Bound on the tail of its response times. */
  readonly targetMs: number;
  readonly tailMs: number;
}

/** The pace is lowered above this part of a target, before it is exceeded. */
const HIGH = 0.85;
/** The pace is raised while all tails stay below this part. */
const LOW = 0.6;
/** Far over a target the pace falls faster, since the bound is seconds. */
const FAR = 1.2;
const STEP_PERCENT = 10;
/** A pace below this does little work and is set to nothing. */
const LEAST_PERCENT = 10;

/** The next pace of all fillers on a worker, in percent. */
export function nextPace(
  percent: number,
  serving: readonly ServingTask[],
): number {
  const ratios = serving.map(({targetMs, tailMs}) => tailMs / targetMs);
  const worst = Math.max(0, ...ratios);
  if (worst > HIGH) {
    const lower = Math.floor(percent / (worst > FAR ? 4 : 2));
    return lower < LEAST_PERCENT ? 0 : lower;
  }
  if (worst < LOW) return Math.min(100, percent + STEP_PERCENT);
  return percent;
}
