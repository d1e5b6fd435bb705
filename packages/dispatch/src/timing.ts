/** Timing of the dispatch of runs. */

/**
 * Length of the lease of a worker's runs. Long enough to outlast the change of
 * a leader, short enough that the runs of a lost worker restart soon.
 */
export const LEASE_MS = 4500;
/** A worker's clock may run slow by this part. */
export const CLOCK_DRIFT = 0.02;
/** Added to computed ends of leases for the rounding of timers. */
export const LEASE_MARGIN_MS = 300;
/** A leader that was replaced may believe in itself for this long. */
export const STALE_LEADER_MS = 1500;
/** A worker answers a hold after this time at the latest. */
export const HOLD_WAIT_MS = 1000;
/** Longest wait for an answer beyond the time that a hold may take. */
export const ORDER_TIMEOUT_MS = 400;
/** Pause after a failed call to a worker. */
export const RETRY_PAUSE_MS = 100;
/** Ends that come within this time are recorded together. */
export const ROUND_INTERVAL_MS = 10;
/** Work that depends on time only is looked at this often. */
export const TICK_INTERVAL_MS = 100;
/** Workers that have left may still run for a moment. */
export const LEFT_GRACE_MS = 500;
/** A worker that neither announces itself nor answers is forgotten. */
export const WORKER_EXPIRY_MS = 60_000;
/**
 * Two leaders do not order one host within this time: the platform takes their
 * orders for a conflict within 3 s.
 */
export const HOST_ORDER_PAUSE_MS = 3500;
/** What was learnt of durations is recorded this often, if it changed. */
export const STATISTICS_INTERVAL_MS = 2000;
/** Ended jobs are known for longer than callers may ask for them. */
export const JOB_RETENTION_MS = 180_000;
