/** Compares what a worker reports with what is on record for it. */
import {
  taskName,
  workerKey,
  type EndRow,
  type Event,
  type Worker,
} from '@lentildrift/queue';
import type {LiveRun} from '@lentildrift/scheduling';
import type {Report} from './driver.js';

export function runId(task: string, run: number): string {
  return `${task} ${run}`;
}

export function liveRunId({job, key, run}: LiveRun): string {
  return runId(taskName(job.spec.id, key), run.number);
}

/** Runs that should not be under way: their task or job has ended. */
export function isSurplus({job, task}: LiveRun): boolean {
  return job.phase !== 'active' || task.done;
}

export interface Reconciliation {
  readonly events: readonly Event[];
  /** Runs that must be stopped, because nothing on record asks for them. */
  readonly unexpected: readonly {task: string; run: number}[];
  /** Runs that are on record and under way, by `runId`. */
  readonly confirmed: ReadonlySet<string>;
}

export interface ReconcileInput {
  readonly worker: Worker;
  readonly report: Report;
  /** Runs on record for this worker. */
  readonly recorded: readonly LiveRun[];
  /** Ends up to this number are recorded or about to be. */
  readonly cursor: number;
  /**
   * Whether the order for a run was settled before the report was asked for,
   * so that the run cannot appear any more if the report lacks it.
   */
  isSettled(id: string): boolean;
}

export function reconcile(input: ReconcileInput): Reconciliation {
  const {worker, report, recorded, cursor} = input;
  const key = workerKey(worker);
  const running = new Set(report.running.map(row => runId(row.task, row.run)));
  const ended = new Set(report.ended.map(row => runId(row.task, row.run)));
  const known = new Set(recorded.map(liveRunId));

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
    events.push({type: 'ends', worker: key, upTo, ends: rows});
  }

  const lost = recorded.filter(live => {
    const id = liveRunId(live);
    return !running.has(id) && !ended.has(id) && input.isSettled(id);
  });
  if (lost.length > 0) {
    events.push({type: 'lost', runs: lost.map(toLostRow)});
  }

  const strays = report.running
    .filter(row => !known.has(runId(row.task, row.run)))
    .map(({task, run}) => ({task, run}));
  const present = new Set([...running].filter(id => known.has(id)));
  return {events, unexpected: strays, confirmed: present};
}

export function toLostRow({job, key, run}: LiveRun): [string, number, string] {
  return [taskName(job.spec.id, key), run.number, run.worker];
}
