/**
 * Throttles best-effort tasks (fillers) so that the tasks on the same worker
 * that serve users meet their latency targets. The pace is controlled by
 * additive increase and multiplicative decrease.
 */

/**
 * The tail latency of a task that serves users, as its worker last reported it.
 */
export interface ServingTask {
  /** Upper bound of the task's tail latency. */
  readonly targetMs: number;
  /** Reported tail latency. */
  readonly tailMs: number;
}

/**
 * Above this ratio of tail latency to target the pace is lowered, before the
 * target is exceeded.
 */
const DECREASE_ABOVE = 0.85;
/** The pace is raised while all ratios are below this one. */
const INCREASE_BELOW = 0.6;
/**
 * Above this ratio the pace is lowered faster, because the latency bounds are
 * only seconds.
 */
const FAST_DECREASE_ABOVE = 1.2;
/** Amount by which the pace is raised at a time. */
const STEP_PERCENT = 10;
/** A pace below this does little work and is set to 0. */
const MIN_PERCENT = 10;

/** Computes the next pace, in percent, of all fillers on a worker. */
export function nextPace(
  percent: number,
  serving: readonly ServingTask[],
): number {
  const ratios = serving.map(({targetMs, tailMs}) => tailMs / targetMs);
  const highest = Math.max(0, ...ratios);
  if (highest > DECREASE_ABOVE) {
    const lower = Math.floor(percent / (highest > FAST_DECREASE_ABOVE ? 4 : 2));
    return lower < MIN_PERCENT ? 0 : lower;
  }
  if (highest < INCREASE_BELOW) return Math.min(100, percent + STEP_PERCENT);
  return percent;
}
