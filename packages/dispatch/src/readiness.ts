/**
 * Tracks which runs of long-running tasks are ready, that is at 100 percent
 * progress in the last report of their worker.
 */
import type {Run} from '@lentildrift/queue';
import {runId} from '@lentildrift/scheduling';
import type {Report} from './driver.js';
import {isSameRuns, type ReportedRun} from './report-filter.js';

export interface Readiness {
  /** Replaces what is known of the worker's runs by its latest report. */
  observe(worker: string, report: Report): void;
  forget(worker: string): void;
  /**
   * Whether the run is ready. A run that is being stopped, or whose worker does
   * not answer, is not.
   */
  isReady(task: string, run: Run): boolean;
}

export interface ReadinessOptions {
  isAnswering(worker: string): boolean;
  isStopping(runId: string): boolean;
}

/** The ready runs of a worker, as reported and by `runId`. */
interface ReadyRuns {
  readonly runs: readonly ReportedRun[];
  readonly ids: ReadonlySet<string>;
}

export function createReadiness(options: ReadinessOptions): Readiness {
  const readyRuns = new Map<string, ReadyRuns>();
  return {
    observe(worker, {running}) {
      const runs = running.filter(({percent}) => percent >= 100);
      const last = readyRuns.get(worker);
      if (last && isSameRuns(last.runs, runs)) return;
      const ids = new Set(runs.map(({task, run}) => runId(task, run)));
      readyRuns.set(worker, {runs, ids});
    },
    forget: worker => void readyRuns.delete(worker),
    isReady(task, {number, worker}) {
      const id = runId(task, number);
      if (!options.isAnswering(worker) || options.isStopping(id)) return false;
      return readyRuns.get(worker)?.ids.has(id) ?? false;
    },
  };
}
