/**
 * Tracks which runs of long-running tasks are ready, that is at 100 percent
 * progress in the last report of their worker.
 */
import type {Run} from '@lentildrift/queue';
import {runId} from '@lentildrift/scheduling';
import type {Report} from './driver.js';

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

export function createReadiness(options: ReadinessOptions): Readiness {
  const readyRuns = new Map<string, ReadonlySet<string>>();
  return {
    observe(worker, {running}) {
      const ids = running
        .filter(({percent}) => percent >= 100)
        .map(({task, run}) => runId(task, run));
      readyRuns.set(worker, new Set(ids));
    },
    forget: worker => void readyRuns.delete(worker),
    isReady(task, {number, worker}) {
      const id = runId(task, number);
      if (!options.isAnswering(worker) || options.isStopping(id)) return false;
      return readyRuns.get(worker)?.has(id) ?? false;
    },
  };
}
