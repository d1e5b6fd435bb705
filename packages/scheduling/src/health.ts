/**
 * Distinguishes a faulty worker, on which every task fails, from a faulty job,
 * whose tasks fail on every worker.
 */
import {parseTaskKey, splitTaskName, type EndRow} from '@lentildrift/queue';

/** Recent failures on one worker. */
export interface WorkerHealth {
  /**
   * Steps, as `job.step`, whose tasks failed on the worker since the last
   * success.
   */
  readonly failedSteps: readonly string[];
  /**
   * End of the quarantine on the clock of `nowMs`; 0 before the first
   * quarantine.
   */
  readonly quarantinedUntilMs: number;
}

/** By worker key. */
export type Health = ReadonlyMap<string, WorkerHealth>;

/** A worker without failures since the last success. */
const HEALTHY: WorkerHealth = {failedSteps: [], quarantinedUntilMs: 0};

/**
 * A worker is quarantined once tasks of this many different steps have failed
 * on it without a success in between.
 */
export const QUARANTINE_FAILED_STEPS = 2;
/** Duration of the quarantine, after which the worker gets tasks again. */
export const QUARANTINE_MS = 5000;

/**
 * Updates the health of a worker with the run ends that the worker reported.
 */
export function recordRunEnds(
  health: Health,
  worker: string,
  ends: readonly EndRow[],
  nowMs: number,
): Health {
  let workerHealth = health.get(worker) ?? HEALTHY;
  for (const [name, , how] of ends) {
    if (how === 'done') workerHealth = HEALTHY;
    if (how !== 'failed') continue;
    const {job, key} = splitTaskName(name);
    const failedStep = `${job}.${parseTaskKey(key).step}`;
    const failedSteps = [...new Set([...workerHealth.failedSteps, failedStep])];
    const isThresholdReached = failedSteps.length >= QUARANTINE_FAILED_STEPS;
    workerHealth = {
      failedSteps,
      quarantinedUntilMs: isThresholdReached
        ? nowMs + QUARANTINE_MS
        : workerHealth.quarantinedUntilMs,
    };
  }
  if (workerHealth === (health.get(worker) ?? HEALTHY)) return health;
  const next = new Map(health);
  // Only workers with failures are kept, so that the map stays small.
  if (workerHealth === HEALTHY) next.delete(worker);
  else next.set(worker, workerHealth);
  return next;
}

/** Keys of the workers that are quarantined. */
export function listQuarantined(health: Health, nowMs: number): string[] {
  return [...health.keys()].filter(key => isQuarantined(health, key, nowMs));
}

export function isQuarantined(health: Health, worker: string, nowMs: number) {
  return (health.get(worker)?.quarantinedUntilMs ?? 0) > nowMs;
}

/**
 * Returns the keys of the quarantined workers that get no runs. Where most
 * workers of a pool are quarantined, the failures are more likely caused by the
 * jobs of the pool, so none of its workers is avoided. `workers` are those that
 * can get runs otherwise.
 */
export function findAvoidedWorkers(
  health: Health,
  workers: readonly {readonly key: string; readonly pool: string}[],
  nowMs: number,
): ReadonlySet<string> {
  const counts = new Map<string, {total: number; quarantined: string[]}>();
  for (const {key, pool} of workers) {
    const count = counts.get(pool) ?? {total: 0, quarantined: []};
    count.total++;
    if (isQuarantined(health, key, nowMs)) count.quarantined.push(key);
    counts.set(pool, count);
  }
  const avoided = new Set<string>();
  for (const {total, quarantined} of counts.values()) {
    if (2 * quarantined.length > total) continue;
    for (const key of quarantined) avoided.add(key);
  }
  return avoided;
}
