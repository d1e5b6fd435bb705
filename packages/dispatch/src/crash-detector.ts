/**
 * Detects crashes of workers and names the tasks that they may be due to. A
 * worker has certainly crashed if the next incarnation on its host announces
 * itself and no order to the host explains that; until then, the expiry of its
 * lease is a sign of it.
 */
import {
  isSuspect,
  rackOf,
  splitTaskName,
  workerKey,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {
  accuse,
  type Accusation,
  type CrashedRun,
  type LiveRun,
} from '@lentildrift/scheduling';
import type {RunTracker} from './tracker.js';
import type {DerivedEvent} from './undecided.js';

export interface CrashDetectorOptions {
  readonly runs: RunTracker;
  state(): State;
  /** Runs that are recorded for an incarnation of a worker. */
  recordedRuns(worker: string): readonly LiveRun[];
  /** Queues the event unless it already waits for its commit. */
  enqueueDerived(event: DerivedEvent): void;
}

export interface CrashDetector {
  /** Notes that a worker does not answer. */
  recordSilence(worker: Worker): void;
  /** Notes that a worker answers. */
  recordAnswer(worker: Worker): void;
  /** Handles the first announcement of an incarnation. */
  recordIncarnation(worker: Worker): void;
  /** Handles the expiry of a worker's lease, before its runs are lost. */
  recordLapse(worker: Worker): void;
}

/**
 * Silences that begin within this time of each other may have one cause. A
 * worker whose host is lost is noticed up to one hold and its timeout later.
 */
const SHARED_CAUSE_MS = 2000;
/** Number of workers outside the rack whose silence shows a shared cause. */
const SHARED_CAUSE_WORKERS = 3;
/** How long a silence is remembered, for the crashes that are noticed later. */
const SILENCE_RETENTION_MS = 60_000;

interface Silence {
  readonly worker: Worker;
  /** Monotonic time. */
  readonly sinceMs: number;
  /** A suspect had just been started on the worker. */
  readonly hasTrial: boolean;
  /** The worker has certainly crashed, and may be in the directory no more. */
  hasCrashed?: boolean;
}

export function createCrashDetector(
  options: CrashDetectorOptions,
): CrashDetector {
  const {runs, state, enqueueDerived} = options;
  /** By `workerKey`, the earliest first. */
  const silences = new Map<string, Silence>();

  function recordSilence(worker: Worker): void {
    const key = workerKey(worker);
    if (silences.has(key)) return;
    const sinceMs = performance.now();
    for (const [known, silence] of silences) {
      if (sinceMs - silence.sinceMs <= SILENCE_RETENTION_MS) break;
      silences.delete(known);
    }
    const hasTrial = options
      .recordedRuns(key)
      .some(({id, task}) => isSuspect(task) && !runs.isProven(id, sinceMs));
    silences.set(key, {worker, sinceMs, hasTrial});
  }

  function recordAnswer(worker: Worker): void {
    const key = workerKey(worker);
    silences.delete(key);
    if (findRecorded(worker)?.suspects) {
      enqueueDerived({type: 'survived', worker: key});
    }
  }

  function recordIncarnation(worker: Worker): void {
    for (const old of state().workers.unorderedValues()) {
      if (!isPredecessor(old, worker) || isPlannedEnd(old)) continue;
      // A worker that is back before its next hold fails was never silent.
      recordSilence(old);
      silences.get(workerKey(old))!.hasCrashed = true;
      const accusation = findAccusation(old);
      if (!accusation || isRecorded(old, accusation)) continue;
      recordCrash(old, accusation, true);
    }
  }

  /** Whether the crash is on record already, with the tasks named. */
  function isRecorded(old: Worker, {tasks}: Accusation): boolean {
    const key = workerKey(old);
    return tasks.every(name => {
      const {job, key: task} = splitTaskName(name);
      const crashes = state().jobs.get(job)?.tasks[task]?.crashes ?? [];
      return crashes.some(({worker, isCertain}) => worker === key && isCertain);
    });
  }

  function recordLapse(worker: Worker): void {
    if (silences.get(workerKey(worker))?.hasCrashed) return;
    const accusation = findAccusation(worker);
    if (accusation) recordCrash(worker, accusation, false);
  }

  function recordCrash(
    worker: Worker,
    accusation: Accusation,
    isCertain: boolean,
  ): void {
    const key = workerKey(worker);
    enqueueDerived({type: 'crash', worker: key, isCertain, ...accusation});
  }

  /** Whether no order explains that the worker does not answer. */
  function isUnplanned({worker, hasCrashed}: Silence): boolean {
    const recorded = findRecorded(worker);
    return hasCrashed ?? (recorded !== undefined && !isPlannedEnd(recorded));
  }

  /** The record of the incarnation; undefined if it was replaced or removed. */
  function findRecorded({id, bornMs}: Worker): Worker | undefined {
    const recorded = state().workers.get(id);
    return recorded?.bornMs === bornMs ? recorded : undefined;
  }

  /** Whether an order has ended the incarnation, or it was about to leave. */
  function isPlannedEnd({host, bornMs, phase}: Worker): boolean {
    if (phase !== 'ready') return true;
    const order = state().hostOrders.get(host);
    // The record of a move that is done is later than the incarnation after it.
    return order !== undefined && !order.done && order.atMs >= bornMs;
  }

  function findAccusation(worker: Worker): Accusation | undefined {
    const key = workerKey(worker);
    // Named when the lease expired; their runs are no longer recorded.
    if (worker.suspects) {
      return {tasks: worker.suspects, isPrompt: true, isAlone: false};
    }
    const endMs = silences.get(key)?.sinceMs ?? performance.now();
    return accuse({
      runs: options.recordedRuns(key).map(live => describeRun(live, endMs)),
      isShared: hasSharedCause(key),
    });
  }

  function describeRun(live: LiveRun, endMs: number): CrashedRun {
    const startedMs = runs.startedMs(live.id);
    return {
      live,
      isInherited: runs.isInherited(live.id),
      mayHaveRun: runs.mayHaveRun(live.id),
      isConfirmed: runs.isConfirmed(live.id),
      isProven: runs.isProven(live.id, endMs),
      ranMs: startedMs === undefined ? undefined : endMs - startedMs,
    };
  }

  /**
   * Whether workers of other hosts fell silent at the same time, apart from
   * those that their own suspects may have crashed: the suspects of one crash
   * are started together.
   */
  function hasSharedCause(worker: string): boolean {
    const silence = silences.get(worker);
    if (!silence) return false;
    const others = [...silences.values()].filter(
      other =>
        other.worker.host !== silence.worker.host &&
        !other.hasTrial &&
        Math.abs(other.sinceMs - silence.sinceMs) <= SHARED_CAUSE_MS &&
        isUnplanned(other),
    );
    const rack = rackOf(silence.worker);
    return (
      others.length >= SHARED_CAUSE_WORKERS ||
      others.some(other => rack !== undefined && rackOf(other.worker) === rack)
    );
  }

  return {recordSilence, recordAnswer, recordIncarnation, recordLapse};
}

/** Whether the two are incarnations on one host, `old` the earlier one. */
function isPredecessor(old: Worker, worker: Worker): boolean {
  if (old.bornMs >= worker.bornMs) return false;
  return old.id === worker.id || (old.host !== '' && old.host === worker.host);
}
