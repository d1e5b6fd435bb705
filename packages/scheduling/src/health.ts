/**
 * Tells a worker that fails everything from a job that fails everywhere.
 */
import {positionOf, splitTaskName, type EndRow} from '@lentildrift/queue';

/** What is remembered of one worker. */
export interface Record {
  /** Jobs whose tasks failed there since the last success. */
  readonly failedJobs: readonly string[];
  readonly untilMs: number;
}

export type Health = ReadonlyMap<string, Record>;

/** A worker is avoided after failures of this many jobs without a success. */
export const FAILED_JOBS = 2;
/** How long it is avoided before it gets tasks again. */
export const QUARANTINE_MS = 5000;

/** Takes the ends that a worker listed. */
export function observeEnds(
  health: Health,
  worker: string,
  ends: readonly EndRow[],
  nowMs: number,
): Health {
  let record = health.get(worker) ?? {failedJobs: [], untilMs: 0};
  for (const [name, , how] of ends) {
    if (how === 'done') record = {failedJobs: [], untilMs: 0};
    if (how !== 'failed') continue;
    const {job, key} = splitTaskName(name);
    const origin = `${job}.${positionOf(key).step}`;
    const failedJobs = [...new Set([...record.failedJobs, origin])];
    const bad = failedJobs.length >= FAILED_JOBS;
    record = {
      failedJobs,
      untilMs: bad ? nowMs + QUARANTINE_MS : record.untilMs,
    };
  }
  if (record === health.get(worker)) return health;
  return new Map(health).set(worker, record);
}

export function isQuarantined(health: Health, worker: string, nowMs: number) {
  return (health.get(worker)?.untilMs ?? 0) > nowMs;
}
