/** What the evacuation of data centres leaves to the pools and the jobs. */
import {
  add,
  fits,
  isEvacuated,
  queuesOf,
  workerKey,
  ZERO_SIZE,
  type Job,
  type Size,
  type State,
  type Step,
  type Worker,
} from '@lentildrift/queue';
import {reservation, type LiveRun, type Load} from './load.js';
import {meetsLabel} from './placement.js';
import {listReadySteps} from './ready-steps.js';

const NO_RUNS: readonly LiveRun[] = [];

/**
 * Resources that runs in evacuated data centres reserve, by queue name. Their
 * ends make no room, since no other run follows them there.
 */
export function measureEvacuatedLoad(
  state: State,
  {runsByWorker}: Pick<Load, 'runsByWorker'>,
): ReadonlyMap<string, Size> {
  const byQueue = new Map<string, Size>();
  if (state.evacuated.size === 0) return byQueue;
  for (const worker of state.workers.unorderedValues()) {
    if (!isEvacuated(state, worker.dataCentre)) continue;
    for (const {job, step} of runsByWorker.get(workerKey(worker)) ?? NO_RUNS) {
      const {queue} = job.spec;
      const reserved = byQueue.get(queue) ?? ZERO_SIZE;
      byQueue.set(queue, add(reserved, reservation(step)));
    }
  }
  return byQueue;
}

/** The workers of a pool that are ready, by whether they may get runs. */
interface PoolWorkers {
  readonly inUse: readonly Worker[];
  readonly evacuated: readonly Worker[];
}

/**
 * Returns a function that tells whether an active job has a step that waits and
 * could run on workers of its pool, all of which are in evacuated data centres.
 */
export function createEvacuationCheck(
  state: State,
): (job: Job, nowMs: number) => boolean {
  const queues = queuesOf(state);
  /** Verdicts of `isHeld`, by pool, label and reservation. */
  const verdicts = new Map<string, boolean>();

  /** Whether evacuated workers only could run the step; most steps are alike. */
  function isHeld(pool: string, step: Step): boolean {
    const {cpuMillis, memoryMb, gpus} = reservation(step);
    const key = JSON.stringify([pool, step.label, cpuMillis, memoryMb, gpus]);
    let verdict = verdicts.get(key);
    if (verdict === undefined) {
      const {inUse, evacuated} = workersOf(state, pool);
      const canRun = (worker: Worker) => canEverRun(worker, step);
      verdict = evacuated.some(canRun) && !inUse.some(canRun);
      verdicts.set(key, verdict);
    }
    return verdict;
  }

  return (job, nowMs) => {
    if (state.evacuated.size === 0 || job.phase !== 'active') return false;
    const pool = queues.get(job.spec.queue)?.pool;
    if (pool === undefined) return false;
    return listReadySteps(job, nowMs).some(({step}) => isHeld(pool, step));
  };
}

/** Lists of workers by pool, valid for the directory and the evacuated set. */
const listedWorkers = new WeakMap<
  State['workers'],
  {
    readonly evacuated: State['evacuated'];
    readonly byPool: Map<string, PoolWorkers>;
  }
>();

function workersOf(state: State, pool: string): PoolWorkers {
  let listed = listedWorkers.get(state.workers);
  if (listed?.evacuated !== state.evacuated) {
    listed = {evacuated: state.evacuated, byPool: new Map()};
    listedWorkers.set(state.workers, listed);
  }
  let workers = listed.byPool.get(pool);
  if (!workers) {
    listed.byPool.set(pool, (workers = listPoolWorkers(state, pool)));
  }
  return workers;
}

function listPoolWorkers(state: State, pool: string): PoolWorkers {
  const inUse: Worker[] = [];
  const evacuated: Worker[] = [];
  for (const worker of state.workers.unorderedValues()) {
    if (worker.pool !== pool || worker.phase !== 'ready') continue;
    if (isEvacuated(state, worker.dataCentre)) evacuated.push(worker);
    else inUse.push(worker);
  }
  return {inUse, evacuated};
}

/** Whether a task of the step fits on the worker while nothing runs there. */
function canEverRun(worker: Worker, step: Step): boolean {
  return meetsLabel(step, worker) && fits(reservation(step), worker.capacity);
}
