/** Distinguishes faulty workers from jobs that fail on every worker. */
import {findJob, type State} from '@lentildrift/model';

/**
 * Number of distinct jobs that fail in a row on a worker before its quarantine.
 */
export const FAILURES_BEFORE_QUARANTINE = 3;

/**
 * Returns the IDs of jobs whose failure is attributed to the worker: those that
 * failed on it in its current streak and have failed on no other worker.
 */
export function findAttributableFailures(
  state: State,
  host: string,
  streak: ReadonlySet<string>,
): string[] {
  return [...streak].filter(id =>
    (findJob(state.jobs, id)?.failedOn ?? []).every(other => other === host),
  );
}

/** Returns the workers to quarantine, with the reason. */
export function findFaultyWorkers(
  state: State,
  streaks: ReadonlyMap<string, ReadonlySet<string>>,
): {host: string; reason: string}[] {
  const faulty = [];
  for (const [id, streak] of streaks) {
    const host = state.hosts[id];
    if (!host || host.quarantined) continue;
    const jobs = findAttributableFailures(state, id, streak);
    if (jobs.length < FAILURES_BEFORE_QUARANTINE) continue;
    const reason = `${jobs.length} jobs in a row failed here and nowhere else`;
    faulty.push({host: id, reason});
  }
  return faulty;
}
