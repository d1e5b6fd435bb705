/** Compares a worker's report with the runs that are recorded for it. */
import {
  taskName,
  workerKey,
  type EndRow,
  type Event,
  type Worker,
} from '@lentildrift/queue';
import {runId, type LiveRun} from '@lentildrift/scheduling';
import type {Report} from './driver.js';

export interface Reconciliation {
  /** Newly reported ends and lost runs, to be recorded. */
  readonly events: readonly Event[];
  /** Runs on the worker that are not recorded and must be stopped. */
  readonly unexpected: readonly {task: string; run: number}[];
  /** Recorded runs that the worker reports as running, by `runId`. */
  readonly confirmed: ReadonlySet<string>;
}

export interface ReconcileInput {
  readonly worker: Worker;
  readonly report: Report;
  /** Runs that are recorded for this worker. */
  readonly recorded: readonly LiveRun[];
  /** Ends up to this number are recorded, or queued to be. */
  readonly cursor: number;
  /**
   * Whether the order for a run was settled before the report was requested. A
   * run that such a report lacks, if complete, cannot appear later, and is lost.
   */
  isSettled(id: string): boolean;
}

/**
 * Finds the differences between report and record. A recorded run counts as
 * lost if its order is settled and a complete report lists it neither as running
 * nor ended.
 */
export function reconcile(input: ReconcileInput): Reconciliation {
  const {worker, report, recorded, cursor} = input;
  const key = workerKey(worker);
  const runningIds = new Set(
    report.running.map(row => runId(row.task, row.run)),
  );
  const endedIds = new Set(report.ended.map(row => runId(row.task, row.run)));
  const recordedIds = new Set(recorded.map(({id}) => id));

  const events: Event[] = [];
  const ends = report.ended
    .filter(({number}) => number > cursor)
    .sort((a, b) => a.number - b.number);
  if (ends.length > 0) {
    const rows = ends.map(({task, run, how, checkpoint}): EndRow => [
      task,
      run,
      how,
      checkpoint,
    ]);
    const upTo = ends.at(-1)!.number;
    events.push({type: 'ends', worker: key, after: cursor, upTo, ends: rows});
  }

  const lost = report.isComplete
    ? recorded.filter(({id}) => {
        return !runningIds.has(id) && !endedIds.has(id) && input.isSettled(id);
      })
    : [];
  if (lost.length > 0) {
    events.push({type: 'lost', runs: lost.map(toLostRow)});
  }

  const unexpected = report.running
    .filter(row => !recordedIds.has(runId(row.task, row.run)))
    .map(({task, run}) => ({task, run}));
  const confirmed = new Set([...runningIds].filter(id => recordedIds.has(id)));
  return {events, unexpected, confirmed};
}

export function toLostRow({job, key, run}: LiveRun): [string, number, string] {
  return [taskName(job.spec.id, key), run.number, run.worker];
}
