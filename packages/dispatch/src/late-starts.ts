/**
 * Remembers attempts to start runs that may still be under way, longer than the
 * runs are on record. A worker carries such an attempt out if it restarts
 * meanwhile and no later call has reached the new incarnation. Until this is
 * impossible, the task starts on no other worker.
 */
import {
  isSuspect,
  splitTaskName,
  taskName,
  workerKey,
  type LateStart,
  type LateStartRow,
  type Outcome,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {runId, type LiveRun} from '@lentildrift/scheduling';
import type {Reply} from '@lentildrift/task';
import {isDeepStrictEqual} from 'node:util';
import type {Report} from './driver.js';
import type {LeaseSuspensions} from './lease-suspensions.js';
import type {LedTime} from './led-time.js';
import {START_ATTEMPTS} from './session.js';
import {
  CLOCK_DRIFT,
  LEASE_MARGIN_MS,
  MAX_DELAY_MS,
  MAX_LEASE_MS,
  STALE_LEADER_MS,
} from './timing.js';

export interface LateStartsOptions {
  /** The runs on record when this leader begins. */
  readonly inherited: Iterable<LiveRun>;
  readonly ledTime: LedTime;
  readonly leases: Pick<LeaseSuspensions, 'inheritedMs'>;
  /** The recorded state. */
  state(): State;
  /** Queues the record of the attempts by which tasks may start late. */
  record(rows: readonly LateStartRow[], reply: Reply<Outcome>): void;
}

/** A report of a worker; `sentMs` is the monotonic time of its request. */
export interface ObservedReport {
  /** Key of the worker's incarnation. */
  readonly worker: string;
  readonly report: Report;
  readonly sentMs: number;
  /** Runs in the report that are not on record. */
  readonly unexpected: readonly {readonly task: string}[];
}

export interface LateStarts {
  /** Notes that a run is ordered from an incarnation of a worker. */
  markOrdered(task: string, run: number, worker: string): void;
  /** Notes that an attempt to start the run got no answer. */
  markUnanswered(task: string, run: number): void;
  /** Notes that the order to start the run has its final answer. */
  markSettled(task: string, run: number): void;
  /** Notes that no more attempts are made at this incarnation. */
  markClosed(worker: string): void;
  /**
   * Notes that the worker with this ID has ended for good: whichever worker is at
   * its address refuses calls to it.
   */
  markEnded(workerId: string): void;
  /** Whether attempts at the worker with this ID are kept. */
  hasAttempts(workerId: string): boolean;
  /** Notes that a further incarnation of the worker with this ID is known. */
  markRestarted(workerId: string): void;
  /**
   * To be called before an event is queued that takes runs of these tasks off
   * the record, where the next leader looks for attempts of this one.
   */
  recordAttempts(tasks: Iterable<string>): void;
  /** Drops the attempts that the report shows to have no effect any more. */
  observe(report: ObservedReport): void;
  /**
   * Keys of the incarnations on which the task may start, none if it has to
   * wait; undefined if it may start on any.
   */
  allowedWorkers(task: string): readonly string[] | undefined;
  /**
   * Whether the last report of the worker with this ID lists runs that are not
   * on record, which take room beyond what is reserved.
   */
  hasUnexpectedRuns(workerId: string): boolean;
  /** Drops the attempts that time has made harmless. */
  expire(): void;
}

/** Attempts to start a run. */
interface Attempts {
  readonly id: string;
  readonly task: string;
  /** Key of the worker's incarnation. */
  readonly worker: string;
  unansweredCount: number;
  /** Whether another attempt may follow, or one is not answered yet. */
  isOpen: boolean;
  /** No attempt was sent later than at this monotonic time, if not open. */
  lastMs: number;
  /** Whether the order has had its final answer. */
  isSettled: boolean;
  /** Whether it is only assumed that there is one without an answer. */
  isAssumed: boolean;
  /** Whether another incarnation of the worker is known. */
  hasRestarted: boolean;
  /** Whether the state is to show them to the next leader. */
  isRecorded: boolean;
  /** Whether they stand for a run that the worker reports without a record. */
  isSighting: boolean;
}

/** Time from an attempt until a run that it may have started has lapsed. */
const LATE_START_MS =
  MAX_DELAY_MS + MAX_LEASE_MS / (1 - CLOCK_DRIFT) + LEASE_MARGIN_MS;

/**
 * Time in which a new leader hears of incarnations that have begun shortly before
 * it: workers announce themselves about every 1.5 s.
 */
const ANNOUNCEMENT_MS = 2000;
/**
 * Longest time without a change while attempts are on record. The time for which
 * leaders have led is only known up to the last change.
 */
const MAX_UNRECORDED_MS = 1000;

const NO_WORKERS: readonly string[] = [];
const NO_LATE_STARTS: readonly LateStart[] = [];

export function createLateStarts(options: LateStartsOptions): LateStarts {
  const {ledTime} = options;
  const beganMs = performance.now();
  const byId = new Map<string, Attempts>();
  const byTask = new Map<string, Set<Attempts>>();
  const byWorkerId = new Map<string, Set<Attempts>>();
  /** What is recorded for a task, or is going to be. */
  const recordedAttempts = new Map<string, readonly LateStart[]>();
  /** Whether a change that only tells the time is queued. */
  let isTimePending = false;
  /** Tasks whose last record was refused. */
  const unrecorded = new Set<string>();
  /** Tasks of runs that a worker reports without a record, by worker ID. */
  const unexpectedTasks = new Map<string, ReadonlySet<string>>();
  /** Monotonic time of the last report with such runs, by worker ID. */
  const unexpectedMs = new Map<string, number>();

  function insert(id: string, task: string, worker: string): Attempts {
    const known = byId.get(id);
    if (known) remove(known);
    const attempts: Attempts = {
      id,
      task,
      worker,
      unansweredCount: 0,
      isOpen: true,
      lastMs: performance.now(),
      isSettled: false,
      isAssumed: false,
      hasRestarted: false,
      isRecorded: false,
      isSighting: false,
    };
    byId.set(id, attempts);
    addTo(byTask, task, attempts);
    addTo(byWorkerId, workerIdOf(worker), attempts);
    return attempts;
  }

  function remove(attempts: Attempts): void {
    byId.delete(attempts.id);
    removeFrom(byTask, attempts.task, attempts);
    removeFrom(byWorkerId, workerIdOf(attempts.worker), attempts);
  }

  /** Inserts attempts of earlier leaders, the last of them at `lastMs`. */
  function inherit(
    id: string,
    task: string,
    worker: string,
    lastMs: number,
  ): Attempts {
    const attempts = insert(id, task, worker);
    attempts.isOpen = false;
    attempts.lastMs = lastMs;
    return attempts;
  }

  function inheritAll(): void {
    // An earlier leader may take itself for the leader until then.
    const staleMs = beganMs + STALE_LEADER_MS;
    for (const {id, job, key, run} of options.inherited) {
      const task = taskName(job.spec.id, key);
      const worker = findRecorded(run.worker);
      const lastMs = worker ? options.leases.inheritedMs(worker) : staleMs;
      inherit(id, task, run.worker, lastMs).isAssumed = true;
    }
    for (const {spec, tasks} of options.state().jobs.unorderedValues()) {
      for (const [key, {lateOn}] of Object.entries(tasks)) {
        if (!lateOn) continue;
        const task = taskName(spec.id, key);
        recordedAttempts.set(task, lateOn);
        for (const {worker, lastMs, mayRun} of lateOn) {
          const atMs =
            lastMs === undefined ? staleMs : ledTime.toMonotonicMs(lastMs);
          const attempts = inherit(`${task} ${worker}`, task, worker, atMs);
          attempts.isRecorded = true;
          attempts.isSettled = mayRun;
          attempts.hasRestarted = isReplaced(worker);
        }
      }
    }
  }

  /** The record of the worker's incarnation; undefined if it has none. */
  function findRecorded(key: string): Worker | undefined {
    const current = options.state().workers.get(workerIdOf(key));
    return current && workerKey(current) === key ? current : undefined;
  }

  /** Whether a later incarnation of the worker is in the directory. */
  function isReplaced(key: string): boolean {
    return options.state().workers.has(workerIdOf(key)) && !findRecorded(key);
  }

  function markUnanswered(task: string, run: number): void {
    const attempts = byId.get(runId(task, run));
    if (!attempts?.isOpen) return;
    attempts.lastMs = performance.now();
    attempts.isOpen = ++attempts.unansweredCount < START_ATTEMPTS;
    recordAttempts([task]);
  }

  function markSettled(task: string, run: number): void {
    const attempts = byId.get(runId(task, run));
    if (!attempts || attempts.isAssumed) return;
    attempts.isSettled = true;
    attempts.isOpen = false;
    if (attempts.unansweredCount === 0) remove(attempts);
  }

  function markClosed(worker: string): void {
    for (const attempts of byWorkerId.get(workerIdOf(worker)) ?? []) {
      if (attempts.worker !== worker || !attempts.isOpen) continue;
      attempts.isOpen = false;
      attempts.lastMs = performance.now();
    }
  }

  function recordAttempts(tasks: Iterable<string>): void {
    const affected = [...tasks].filter(task => byTask.has(task));
    for (const task of affected) {
      for (const attempts of byTask.get(task)!) attempts.isRecorded = true;
    }
    record(affected);
  }

  /** Queues the changes of what is recorded for the tasks. */
  function record(tasks: Iterable<string>): void {
    const rows: LateStartRow[] = [];
    for (const task of new Set(tasks)) {
      const lateOn = describe(task);
      const known = recordedAttempts.get(task) ?? NO_LATE_STARTS;
      const isKnown = isDeepStrictEqual(lateOn, known);
      if (!unrecorded.delete(task) && isKnown) continue;
      if (lateOn.length > 0) recordedAttempts.set(task, lateOn);
      else recordedAttempts.delete(task);
      rows.push([task, lateOn]);
    }
    if (rows.length === 0) return;
    options.record(rows, {
      resolve() {},
      // Recorded again by `expire`.
      reject() {
        for (const [task] of rows) unrecorded.add(task);
      },
    });
  }

  /** The attempts of a task that are to be on record, one entry a worker. */
  function describe(task: string): LateStart[] {
    const byWorker = new Map<string, Attempts[]>();
    for (const attempts of byTask.get(task) ?? []) {
      if (!attempts.isRecorded) continue;
      const {worker} = attempts;
      byWorker.set(worker, [...(byWorker.get(worker) ?? []), attempts]);
    }
    const workers = [...byWorker.keys()].sort();
    return workers.map((worker): LateStart => {
      const all = byWorker.get(worker)!;
      const mayRun = all.some(mayHaveRun);
      if (all.some(({isOpen}) => isOpen)) return {worker, mayRun};
      const lastMs = Math.max(...all.map(each => each.lastMs));
      return {worker, lastMs: ledTime.fromMonotonicMs(lastMs), mayRun};
    });
  }

  /** Has the state tell the next leader how old the attempts on record are. */
  function recordTime(): void {
    if (recordedAttempts.size === 0 || isTimePending) return;
    if (ledTime.nowMs() - options.state().ledMs < MAX_UNRECORDED_MS) return;
    isTimePending = true;
    const settle = () => void (isTimePending = false);
    options.record([], {resolve: settle, reject: settle});
  }

  function observe({worker, report, sentMs, unexpected}: ObservedReport): void {
    const workerId = workerIdOf(worker);
    const tasks = new Set(unexpected.map(({task}) => task));
    if (tasks.size > 0) {
      unexpectedTasks.set(workerId, tasks);
      unexpectedMs.set(workerId, performance.now());
      recordSightings(tasks, worker);
    } else {
      forgetUnexpected(workerId);
    }
    // A report that lists some ends only may lack that of a late run.
    if (!report.isComplete) return;
    for (const attempts of byWorkerId.get(workerId) ?? []) {
      const isOver = attempts.isSighting
        ? !tasks.has(attempts.task)
        : !attempts.isOpen && sentMs >= attempts.lastMs + MAX_DELAY_MS;
      if (isOver) remove(attempts);
    }
  }

  /**
   * Has the state tell the next leader of runs that are not on record, since the
   * worker may not answer it and its lease goes on.
   */
  function recordSightings(tasks: Iterable<string>, worker: string): void {
    for (const task of tasks) {
      const id = `${task} ${worker} seen`;
      const sighting = byId.get(id) ?? insert(id, task, worker);
      sighting.isSighting = sighting.isSettled = true;
      sighting.isOpen = false;
      sighting.lastMs = performance.now();
    }
    recordAttempts(tasks);
  }

  function forgetUnexpected(workerId: string): void {
    unexpectedTasks.delete(workerId);
    unexpectedMs.delete(workerId);
  }

  function allowedWorkers(task: string): readonly string[] | undefined {
    for (const tasks of unexpectedTasks.values()) {
      if (tasks.has(task)) return NO_WORKERS;
    }
    const all = byTask.get(task);
    if (!all) return undefined;
    const workers = new Set([...all].map(allowedWorker));
    return workers.size === 1 ? [...workers] : NO_WORKERS;
  }

  /**
   * The incarnation on which the task may start in spite of the attempts. After
   * a change of leader this includes the current one, which has been called:
   * otherwise a worker that restarts then gets its tasks back late. A task that
   * may crash its workers is kept from it: another crash of this worker would
   * count against the task.
   */
  function allowedWorker({task, worker, isAssumed}: Attempts): string {
    const {jobs, workers} = options.state();
    const current = workers.get(workerIdOf(worker));
    if (!isAssumed || !current) return worker;
    const {job, key} = splitTaskName(task);
    const record = jobs.get(job)?.tasks[key];
    return record && isSuspect(record) ? worker : workerKey(current);
  }

  function expire(): void {
    const nowMs = performance.now();
    const canHaveHeard = nowMs >= beganMs + ANNOUNCEMENT_MS;
    for (const attempts of byId.values()) {
      if (attempts.isOpen) continue;
      const isLong = mayHaveRun(attempts);
      if (!isLong && !canHaveHeard) continue;
      const lateMs = isLong ? LATE_START_MS : MAX_DELAY_MS;
      if (nowMs >= attempts.lastMs + lateMs) remove(attempts);
    }
    for (const [workerId, seenMs] of unexpectedMs) {
      if (nowMs >= seenMs + LATE_START_MS) forgetUnexpected(workerId);
    }
    record([...recordedAttempts.keys(), ...unrecorded]);
    recordTime();
  }

  inheritAll();

  return {
    markOrdered: (task, run, worker) =>
      void insert(runId(task, run), task, worker),
    markUnanswered,
    markSettled,
    markClosed,
    markEnded(workerId) {
      for (const attempts of byWorkerId.get(workerId) ?? []) remove(attempts);
      forgetUnexpected(workerId);
    },
    hasAttempts: workerId => byWorkerId.has(workerId),
    markRestarted(workerId) {
      for (const attempts of byWorkerId.get(workerId) ?? []) {
        attempts.hasRestarted = true;
      }
    },
    recordAttempts,
    observe,
    allowedWorkers,
    hasUnexpectedRuns: workerId => unexpectedTasks.has(workerId),
    expire,
  };
}

/**
 * Whether the attempts count until a run that they start late has lapsed. Without
 * a sign of a restart, those at a worker that has not answered since count as
 * harmless once they cannot arrive any more: a task that lasts has to run again
 * within 9 s of the loss of its worker.
 */
function mayHaveRun({isSettled, hasRestarted}: Attempts): boolean {
  return isSettled || hasRestarted;
}

/** The ID of the worker with this key. */
function workerIdOf(worker: string): string {
  return worker.slice(0, worker.lastIndexOf('@'));
}

function addTo<T>(sets: Map<string, Set<T>>, key: string, value: T): void {
  const set = sets.get(key);
  if (set) set.add(value);
  else sets.set(key, new Set([value]));
}

function removeFrom<T>(sets: Map<string, Set<T>>, key: string, value: T): void {
  const set = sets.get(key);
  set?.delete(value);
  if (set?.size === 0) sets.delete(key);
}
