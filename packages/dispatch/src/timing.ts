/** Timing of the dispatch of runs. */

/**
 * Duration of the lease on a worker's runs: long enough to outlast a change of
 * leader, short enough that the runs of a lost worker are restarted soon.
 */
export const LEASE_MS = 4500;
/** Fraction by which a worker's clock may run slow. */
export const CLOCK_DRIFT = 0.02;
/** Added to calculated lease ends to allow for the rounding of timers. */
export const LEASE_MARGIN_MS = 300;
/** Longest time for which a replaced leader may still act as the leader. */
export const STALE_LEADER_MS = 1500;
/** Longest time that a worker may wait before it answers a hold. */
export const HOLD_WAIT_MS = 1000;
/** Timeout of a call to a worker, in addition to the wait of a hold. */
export const ORDER_TIMEOUT_MS = 400;
/**
 * Calls through relays, and their answers, wait up to this long for others, so
 * that a process writes and reads several at once; a system call for each would
 * take most of the time that a relay saves. Ends of runs wait as long anyway.
 */
export const BATCH_DELAY_MS = 10;
/** Pause after a failed call to a worker. */
export const RETRY_PAUSE_MS = 100;
/** Ends that arrive within this time are recorded in one change. */
export const ROUND_INTERVAL_MS = 10;
/** Interval of the checks that depend only on time. */
export const TICK_INTERVAL_MS = 100;
/** Longest time for which a call without an answer may be under way. */
export const MAX_DELAY_MS = 5000;
/** Workers shorten any longer lease to this. */
export const MAX_LEASE_MS = 6000;
/**
 * How much longer than the leases of an incarnation a run may last that a later
 * one was started by a late order: `MAX_DELAY_MS` and `MAX_LEASE_MS` after its
 * sending.
 */
export const LATE_RUN_MS = 7000;
/**
 * A worker that neither announces itself nor answers is removed after this
 * time.
 */
export const WORKER_EXPIRY_MS = 60_000;
/**
 * Shortest time between the orders of two leaders to the same host. The
 * platform treats orders of different leaders within 3 s as a conflict.
 */
export const HOST_ORDER_PAUSE_MS = 3500;
/** Interval at which changed statistics of task durations are recorded. */
export const STATISTICS_INTERVAL_MS = 2000;
/**
 * How long the state keeps ended jobs: longer than callers may ask for their
 * outcome.
 */
export const JOB_RETENTION_MS = 180_000;
