/**
 * Keeps the load up to date as jobs change. Updates take the time of the runs of
 * the changed jobs and of the other runs on the same workers.
 */
import {
  add,
  isSuspect,
  subtract,
  ZERO_SIZE,
  type Job,
  type MapEntry,
  type Size,
} from '@lentildrift/queue';
import {
  isSpeculative,
  isSurplus,
  listJobRuns,
  reservation,
  type LiveRun,
  type Load,
} from './load.js';
import type {UpdateEntry} from './sequence-list.js';

export interface LoadIndex {
  /** The load after the last `finish`; later updates change it. */
  readonly load: Load;
  readonly update: UpdateEntry<Job>;
  /** Ends a series of updates: most of its jobs run on the same workers. */
  finish(): void;
  /** Marks the current load as the one that `runsAtMark` reads. */
  mark(): void;
  /** Runs on a worker, by worker key, when the load was last marked. */
  runsAtMark(worker: string): readonly LiveRun[];
}

/** The runs of a job, as they are counted in the load. */
interface CountedJob {
  readonly sequence: number;
  readonly runs: readonly LiveRun[];
}

const NO_RUNS: readonly LiveRun[] = [];

/** Sums of resources by a key, without the keys that nothing is counted for. */
function createSums() {
  const counts = new Map<string, number>();
  const sums = new Map<string, Size>();
  return {
    sums,
    add(key: string, size: Size): void {
      counts.set(key, (counts.get(key) ?? 0) + 1);
      sums.set(key, add(sums.get(key) ?? ZERO_SIZE, size));
    },
    remove(key: string, size: Size): void {
      const count = counts.get(key)! - 1;
      if (count > 0) {
        counts.set(key, count);
        sums.set(key, subtract(sums.get(key)!, size));
      } else {
        // Drops the rounding errors of fractional amounts as well.
        counts.delete(key);
        sums.delete(key);
      }
    },
  };
}

export function createLoadIndex(): LoadIndex {
  /** Jobs with runs, by ID. */
  const countedJobs = new Map<string, CountedJob>();
  const runsByWorker = new Map<string, readonly LiveRun[]>();
  const byWorker = new Map<string, Size>();
  const byTeam = createSums();
  const byQueue = createSums();
  const workersWithLongRunningTasks = new Set<string>();
  const surplus = new Map<string, LiveRun>();
  const suspects = new Map<string, LiveRun>();
  const speculative = new Map<string, LiveRun>();
  /** Runs at the mark on the workers whose runs have changed since. */
  const replacedRuns = new Map<string, readonly LiveRun[]>();

  /** Workers that the runs of updated jobs are or were on. */
  const touchedWorkers = new Set<string>();
  /** Jobs that were updated since the last `finish`, by ID. */
  const updatedJobs = new Set<string>();
  /** Runs of updated jobs, by worker key. */
  const addedRuns = new Map<string, LiveRun[]>();

  function update(
    before: MapEntry<Job> | undefined,
    after: MapEntry<Job> | undefined,
  ): void {
    const id = (before ?? after)!.key;
    const removed = countedJobs.get(id)?.runs ?? NO_RUNS;
    const added = after ? listJobRuns(after.value) : NO_RUNS;
    if (removed.length === 0 && added.length === 0) return;
    // A job that was removed and inserted again is updated twice.
    if (updatedJobs.has(id)) finish();
    updatedJobs.add(id);
    if (after && added.length > 0) {
      countedJobs.set(id, {sequence: after.sequence, runs: added});
    } else {
      countedJobs.delete(id);
    }
    for (const live of removed) {
      const {job, step, run} = live;
      touchedWorkers.add(run.worker);
      byQueue.remove(job.spec.queue, reservation(step));
      if (job.spec.team !== undefined) byTeam.remove(job.spec.team, step.size);
      surplus.delete(live.id);
      suspects.delete(live.id);
      speculative.delete(live.id);
    }
    for (const live of added) {
      const {job, step, run} = live;
      touchedWorkers.add(run.worker);
      const runs = addedRuns.get(run.worker);
      if (runs) runs.push(live);
      else addedRuns.set(run.worker, [live]);
      byQueue.add(job.spec.queue, reservation(step));
      if (job.spec.team !== undefined) byTeam.add(job.spec.team, step.size);
      if (isSurplus(live)) surplus.set(live.id, live);
      if (isSuspect(live.task)) suspects.set(live.id, live);
      if (isSpeculative(live)) speculative.set(live.id, live);
    }
  }

  function finish(): void {
    for (const worker of touchedWorkers) {
      updateWorker(worker, addedRuns.get(worker) ?? NO_RUNS);
    }
    touchedWorkers.clear();
    updatedJobs.clear();
    addedRuns.clear();
  }

  /** Replaces the runs of the updated jobs on a worker by those in `added`. */
  function updateWorker(worker: string, added: readonly LiveRun[]): void {
    const known = runsByWorker.get(worker) ?? NO_RUNS;
    if (!replacedRuns.has(worker)) replacedRuns.set(worker, known);
    const runs = known.filter(({job}) => !updatedJobs.has(job.spec.id));
    for (const live of added) insert(runs, live);
    if (runs.length === 0) {
      runsByWorker.delete(worker);
      byWorker.delete(worker);
      workersWithLongRunningTasks.delete(worker);
      return;
    }
    runsByWorker.set(worker, runs);
    // The sum is calculated anew: the difference of fractional amounts would
    // leave rounding errors, by which an equal task might no longer fit.
    byWorker.set(worker, sumReservations(runs));
    if (runs.some(({step}) => step.lasting)) {
      workersWithLongRunningTasks.add(worker);
    } else {
      workersWithLongRunningTasks.delete(worker);
    }
  }

  /** Inserts a run behind those of jobs that were not accepted later. */
  function insert(runs: LiveRun[], live: LiveRun): void {
    const sequence = sequenceOf(live);
    let at = runs.length;
    while (at > 0 && sequenceOf(runs[at - 1]!) > sequence) at--;
    if (at === runs.length) runs.push(live);
    else runs.splice(at, 0, live);
  }

  function sequenceOf({job}: LiveRun): number {
    return countedJobs.get(job.spec.id)!.sequence;
  }

  return {
    load: {
      runsByWorker,
      byWorker,
      byTeam: byTeam.sums,
      byQueue: byQueue.sums,
      workersWithLongRunningTasks,
      surplus,
      suspects,
      speculative,
    },
    update,
    finish,
    mark: () => replacedRuns.clear(),
    runsAtMark: worker =>
      replacedRuns.get(worker) ?? runsByWorker.get(worker) ?? NO_RUNS,
  };
}

function sumReservations(runs: readonly LiveRun[]): Size {
  let cpuMillis = 0;
  let memoryMb = 0;
  let gpus = 0;
  for (const {step} of runs) {
    const {size} = step;
    if (!step.filler) cpuMillis += size.cpuMillis;
    memoryMb += size.memoryMb;
    gpus += size.gpus;
  }
  return {cpuMillis, memoryMb, gpus};
}
