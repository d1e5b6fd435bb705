/**
 * Tells a worker that fails everything from a job that fails everywhere.
 */
import {parseTaskKey, splitTaskName, type EndRow} from '@lentildrift/queue';

/** What is remembered of one worker. */
export interface WorkerHealth {
  /** Jobs whose tasks failed there since the last success. */
  readonly failedSteps: readonly string[];
  readonly quarantinedUntilMs: number;
}

export type Health = ReadonlyMap<string, WorkerHealth>;

/** A worker is avoided after failures of this many jobs without a success. */
export const QUARANTINE_FAILED_STEPS = 2;
/** How long it is avoided before it gets tasks again. */
export const QUARANTINE_MS = 5000;

/** Takes the ends that a worker listed. */
export function recordRunEnds(
  health: Health,
  worker: string,
  ends: readonly EndRow[],
  nowMs: number,
): Health {
  let record = health.get(worker) ?? {failedSteps: [], quarantinedUntilMs: 0};
  for (const [name, , how] of ends) {
    if (how === 'done') record = {failedSteps: [], quarantinedUntilMs: 0};
    if (how !== 'failed') continue;
    const {job, key} = splitTaskName(name);
    const origin = `${job}.${parseTaskKey(key).step}`;
    const failedJobs = [...new Set([...record.failedSteps, origin])];
    const bad = failedJobs.length >= QUARANTINE_FAILED_STEPS;
    record = {
      failedSteps: failedJobs,
      quarantinedUntilMs: bad
        ? nowMs + QUARANTINE_MS
        : record.quarantinedUntilMs,
    };
  }
  if (record === health.get(worker)) return health;
  return new Map(health).set(worker, record);
}

export function isQuarantined(health: Health, worker: string, nowMs: number) {
  return (health.get(worker)?.quarantinedUntilMs ?? 0) > nowMs;
}
