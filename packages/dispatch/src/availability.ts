/** Tracks which workers may get runs, by their answers and their failures. */
import {
  isEvacuated,
  workerKey,
  type EndRow,
  type Worker,
} from '@lentildrift/queue';
import {
  createCandidate,
  findAvoidedWorkers,
  isQuarantined,
  listQuarantined,
  maxColdCpuMillis,
  recordRunEnds,
  type Candidate,
  type Health,
  type Load,
  type StateView,
} from '@lentildrift/scheduling';
import type {AnnouncementAges} from './announcement-age.js';
import type {ColdWorkers} from './cold-workers.js';
import type {LateStarts} from './late-starts.js';
import type {RunEstimates} from './run-estimates.js';
import type {StateViews} from './state-views.js';
import type {RunTracker} from './tracker.js';
import type {WorkerSpeeds} from './worker-speeds.js';

export interface AvailabilityOptions {
  readonly views: StateViews;
  readonly runs: RunTracker;
  readonly estimates: RunEstimates;
  readonly announcements: Pick<AnnouncementAges, 'isOutdated'>;
  readonly cold: Pick<ColdWorkers, 'leftMs'>;
  readonly lateStarts: Pick<LateStarts, 'hasUnexpectedRuns'>;
  readonly speeds: Pick<WorkerSpeeds, 'isSlow'>;
  isAnswering(worker: string): boolean;
  /** Whether the host gets no new runs because of maintenance or a move. */
  isCordoned(host: string): boolean;
  /** Whether a maintenance wave is going to empty the host. */
  isDue(host: string): boolean;
}

export interface Availability {
  /**
   * Notes that this leader has reconciled the runs of a worker's incarnation;
   * returns false if this was known.
   */
  markReconciled(worker: string): boolean;
  /** Notes the ends that a worker has reported, for its health. */
  recordEnds(worker: string, ends: readonly EndRow[]): void;
  /** Drops that the worker's incarnation has been reconciled. */
  forget(worker: string): void;
  /**
   * Whether the worker is ready, answers, and had its runs reconciled by this
   * leader. Its host may still be cordoned.
   */
  isUsable(worker: Worker): boolean;
  /** Keys of the workers of all pools that are avoided after failures. */
  avoidedWorkers(): ReadonlySet<string>;
  /**
   * The workers of a pool that may get new runs, none of which is in an
   * evacuated data centre; valid while the view is.
   */
  candidatesIn(pool: string, view: StateView): Candidate[];
  /**
   * Number of workers of a pool that may get a task that is suspected of
   * crashing its workers, beside those that run one on trial.
   */
  trialSlotsIn(pool: string, view: StateView): number;
}

/**
 * A worker with a run on trial gets no other runs. More of these at once would
 * hold up the rest of the pool.
 */
const MAX_TRIAL_SHARE = 0.25;

const NO_KEYS: ReadonlySet<string> = new Set();

export function createAvailability(options: AvailabilityOptions): Availability {
  const {views, estimates} = options;
  /** Workers, by `workerKey`, whose runs this leader has reconciled. */
  const reconciledWorkers = new Set<string>();
  let health: Health = new Map();

  function markReconciled(worker: string): boolean {
    if (reconciledWorkers.has(worker)) return false;
    reconciledWorkers.add(worker);
    return true;
  }

  function isUsable(worker: Worker): boolean {
    const key = workerKey(worker);
    if (worker.phase !== 'ready' || !options.isAnswering(key)) return false;
    return reconciledWorkers.has(key);
  }

  /** Whether the worker can get runs, unless it is avoided after failures. */
  function isAvailable(
    worker: Worker,
    view: Pick<StateView, 'evacuated'>,
  ): boolean {
    return (
      isUsable(worker) &&
      !isEvacuated(view, worker.dataCentre) &&
      !options.isCordoned(worker.host) &&
      !options.announcements.isOutdated(workerKey(worker)) &&
      !options.lateStarts.hasUnexpectedRuns(worker.id)
    );
  }

  /** Those of the workers that are available in the current view. */
  function listAvailable(
    workers: readonly Worker[],
    view: Pick<StateView, 'evacuated'> = views.current(),
  ): Worker[] {
    return workers.filter(worker => isAvailable(worker, view));
  }

  function findAvoided(workers: readonly Worker[]): ReadonlySet<string> {
    if (listQuarantined(health, performance.now()).length === 0) return NO_KEYS;
    const rows = workers.map(worker => ({
      key: workerKey(worker),
      pool: worker.pool,
    }));
    return findAvoidedWorkers(health, rows, performance.now());
  }

  function avoidedWorkers(): ReadonlySet<string> {
    if (listQuarantined(health, performance.now()).length === 0) return NO_KEYS;
    return findAvoided(listAvailable(views.current().fleet.workers));
  }

  /** Keys of the workers with a run of a suspect on trial. */
  function findTrialWorkers({suspects}: Load): ReadonlySet<string> {
    if (suspects.size === 0) return NO_KEYS;
    const nowMs = performance.now();
    const workers = new Set<string>();
    for (const {id, run} of suspects.values()) {
      if (options.runs.isOnTrial(id, nowMs)) workers.add(run.worker);
    }
    return workers;
  }

  function trialSlotsIn(pool: string, view: StateView): number {
    const {load, fleet} = view;
    const workers = listAvailable(fleet.workersIn(pool), view);
    const trials = findTrialWorkers(load);
    const busy = workers.filter(worker => trials.has(workerKey(worker))).length;
    return Math.max(1, Math.floor(MAX_TRIAL_SHARE * workers.length)) - busy;
  }

  function candidatesIn(pool: string, view: StateView): Candidate[] {
    const {load, fleet} = view;
    const workers = listAvailable(fleet.workersIn(pool), view);
    const avoided = findAvoided(workers);
    const trials = findTrialWorkers(load);
    const nowMs = performance.now();
    const candidates: Candidate[] = [];
    const isWorkerSlow = (key: string) => options.speeds.isSlow(key, load);
    const usable = workers.filter(worker => {
      const key = workerKey(worker);
      return !avoided.has(key) && !trials.has(key);
    });
    // Runs that no warm worker can take would only wait for a cold one.
    const hasWarm = usable.some(worker => {
      const key = workerKey(worker);
      return (
        options.cold.leftMs(key) === 0 && !isQuarantined(health, key, nowMs)
      );
    });
    for (const worker of usable) {
      const key = workerKey(worker);
      const fields = {
        key,
        worker,
        free: worker.capacity,
        quarantined: isQuarantined(health, key, nowMs),
        isDue: options.isDue(worker.host),
        coldCpuMillisLeft: hasWarm ? coldCpuMillisLeft(worker, load) : Infinity,
      };
      const emptyInMs = () => estimates.emptyInMs(key, load);
      candidates.push(createCandidate(fields, emptyInMs, isWorkerSlow));
    }
    return candidates;
  }

  function coldCpuMillisLeft(worker: Worker, {byWorker}: Load): number {
    const key = workerKey(worker);
    const leftMs = options.cold.leftMs(key);
    if (leftMs === 0) return Infinity;
    const inUse = byWorker.get(key)?.cpuMillis ?? 0;
    return maxColdCpuMillis(leftMs, worker.capacity.cpuMillis) - inUse;
  }

  return {
    markReconciled,
    recordEnds(worker, ends) {
      health = recordRunEnds(health, worker, ends, performance.now());
    },
    forget: worker => void reconciledWorkers.delete(worker),
    isUsable,
    avoidedWorkers,
    candidatesIn,
    trialSlotsIn,
  };
}
