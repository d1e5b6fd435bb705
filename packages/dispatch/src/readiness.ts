/** Which tasks that last are at work, as the workers last reported. */
import type {Run} from '@lentildrift/queue';
import type {Report} from './driver.js';
import {runId} from './reconcile.js';

export interface Readiness {
  observe(worker: string, report: Report): void;
  forget(worker: string): void;
  /** A run that is being stopped, or whose worker is silent, is away. */
  isReady(task: string, run: Run): boolean;
}

export interface ReadinessOptions {
  isAnswering(worker: string): boolean;
  isStopping(runId: string): boolean;
}

export function createReadiness(options: ReadinessOptions): Readiness {
  const working = new Map<string, ReadonlySet<string>>();
  return {
    observe(worker, {running}) {
      const ids = running
        .filter(({percent}) => percent >= 100)
        .map(({task, run}) => runId(task, run));
      working.set(worker, new Set(ids));
    },
    forget: worker => void working.delete(worker),
    isReady(task, {number, worker}) {
      const id = runId(task, number);
      if (!options.isAnswering(worker) || options.isStopping(id)) return false;
      return working.get(worker)?.has(id) ?? false;
    },
  };
}
