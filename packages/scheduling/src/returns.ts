/**
 * When refused callers may return. Answers a storm of retries: callers that are
 * refused together and told the same time would come back together.
 */

/** A refused job, and the pace at which its pool works. */
export interface ReturnInput {
  readonly job: string;
  readonly pool: string;
  /** Monotonic time. */
  readonly nowMs: number;
  /** Time from now after which the pool is expected to have room for the job. */
  readonly roomInMs: number;
  /** Time that the job keeps its whole pool at work. */
  readonly paceMs: number;
}

export abstract class ReturnOrder {
  /** The time from now, in milliseconds, after which the caller may return. */
  abstract reserve(input: ReturnInput): number;
  /** Forgets a job that was accepted. */
  abstract settle(job: string): void;
  /**
   * Time since the job was first refused; 0 if it was not, or has been accepted
   * since.
   */
  abstract waitedMs(job: string, nowMs: number): number;
}

/** Bounds of the time after which a caller may retry. */
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 8000;

/**
 * Baseline: one after the other, in the order of the refusals and at the pace at
 * which the pool works.
 */
export class PacedReturns extends ReturnOrder {
  /** Monotonic time at which the last refused caller may return, by pool. */
  private readonly lastReturnMs = new Map<string, number>();

  override reserve({pool, nowMs, roomInMs, paceMs}: ReturnInput): number {
    const earliestMs = nowMs + Math.max(MIN_RETRY_MS, roomInMs);
    const behindLastMs = (this.lastReturnMs.get(pool) ?? 0) + paceMs;
    const latestMs = nowMs + MAX_RETRY_MS;
    const returnMs = Math.min(latestMs, Math.max(earliestMs, behindLastMs));
    this.lastReturnMs.set(pool, returnMs);
    return Math.round(returnMs - nowMs);
  }

  override settle(): void {}

  override waitedMs(): number {
    return 0;
  }
}

/** Callers whose place is remembered; those beyond count as new. */
const MAX_WAITING_CALLERS = 4096;

/**
 * A caller that returns and is refused again comes back ahead of those that were
 * refused for the first time after it: it waits only for room, and not behind
 * their times of return. Answers callers that retry: with `PacedReturns` each
 * retry begins at the end of the line, so that the first ones come last.
 */
export class FirstArrivalReturns extends ReturnOrder {
  private readonly newcomers = new PacedReturns();
  /** Monotonic time of the first refusal, by job, in the order of that time. */
  private readonly waiting = new Map<string, number>();

  override reserve(input: ReturnInput): number {
    const {job, nowMs, roomInMs, paceMs} = input;
    if (this.waiting.has(job)) {
      const earliestMs = Math.max(MIN_RETRY_MS, roomInMs, paceMs);
      return Math.round(Math.min(MAX_RETRY_MS, earliestMs));
    }
    if (this.waiting.size >= MAX_WAITING_CALLERS) {
      // The first one has most likely given up.
      this.waiting.delete(this.waiting.keys().next().value!);
    }
    this.waiting.set(job, nowMs);
    return this.newcomers.reserve(input);
  }

  override settle(job: string): void {
    this.waiting.delete(job);
  }

  override waitedMs(job: string, nowMs: number): number {
    return nowMs - (this.waiting.get(job) ?? nowMs);
  }
}
