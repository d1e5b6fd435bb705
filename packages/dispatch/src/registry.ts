/** Adds workers to the directory, replaces their incarnations, removes them. */
import {NotLeader} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import {
  add,
  fits,
  taskName,
  workerKey,
  ZERO_SIZE,
  type EndRow,
  type Event,
  type EventOf,
  type Outcome,
  type Size,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {reservation, runId, type LiveRun} from '@lentildrift/scheduling';
import type {Reply} from '@lentildrift/task';
import {classifyAnnouncement, isForeignAnnouncement} from './announcement.js';
import type {AnnouncementAges} from './announcement-age.js';
import {isStopSettled, type Report, type WorkerDriver} from './driver.js';
import {logRunsLost} from './lost-runs.js';
import {toLostRow} from './reconcile.js';
import type {ColdWorkers} from './cold-workers.js';
import type {CrashDetector} from './crash-detector.js';
import type {Incarnations} from './incarnations.js';
import type {LateStarts} from './late-starts.js';
import type {WorkerSession} from './session.js';
import {LATE_RUN_MS, RETRY_PAUSE_MS, WORKER_EXPIRY_MS} from './timing.js';
import type {RunTracker} from './tracker.js';
import type {DerivedEvent} from './undecided.js';

/**
 * Default of the largest number of workers. The leader calls each of them, and
 * all control processes keep them in memory; the largest deployments have about
 * 2,200.
 */
const MAX_WORKERS = 5000;

/** The directory has no room for a further worker, which was not recorded. */
export class DirectoryFullError extends Error {
  constructor() {
    super('there are too many workers');
    this.name = 'DirectoryFullError';
  }
}

export interface RegistryOptions {
  readonly token: number;
  readonly driver: WorkerDriver;
  readonly runs: RunTracker;
  readonly lateStarts: Pick<
    LateStarts,
    | 'markRestarted'
    | 'markClosed'
    | 'markEnded'
    | 'hasAttempts'
    | 'recordAttempts'
  >;
  readonly incarnations: Incarnations;
  readonly announcements: Pick<AnnouncementAges, 'markAnnounced'>;
  readonly cold: Pick<ColdWorkers, 'note'>;
  readonly crashes: CrashDetector;
  readonly log: Log;
  /** Largest number of workers; a default if absent. */
  readonly maxWorkers?: number | undefined;
  state(): State;
  /** Runs that are recorded for an incarnation of a worker. */
  recordedRuns(worker: string): readonly LiveRun[];
  sessionOf(worker: string): WorkerSession | undefined;
  enqueue(event: Event, reply?: Reply<Outcome>): void;
  /** Queues the event unless it already waits for its commit. */
  enqueueDerived(event: DerivedEvent): void;
  /** Called when a worker may get runs again that had to announce itself. */
  onAwaited(): void;
}

export interface Registry {
  /**
   * Handles a worker's announcement, by which it stays slow for `coldLeftMs`
   * more; replies once it needs no more action.
   */
  announce(worker: Worker, coldLeftMs: number, reply: Reply<void>): void;
  /** Records that the worker with this ID is about to end, or has ended. */
  leave(id: string, reply: Reply<void>): void;
  /**
   * Whether the recorded runs of a worker exceed a capacity that it has
   * announced and that is not recorded yet.
   */
  exceedsAnnouncedCapacity(worker: string): boolean;
  /** Notes that the incarnation is in the directory no more. */
  markRemoved(worker: Worker): void;
  /**
   * Reports the runs of unreachable workers as lost once their leases have
   * expired, and removes workers that have left or were silent for long.
   */
  expire(): void;
  /** Rejects announcements that were not queued yet with `NotLeader`. */
  stop(): void;
}

/** An announcement that is to be answered. */
interface Announcement {
  readonly worker: Worker;
  readonly coldLeftMs: number;
  readonly reply: Reply<void>;
}

/** Records of one incarnation that wait for their commit. */
interface UndecidedRecords {
  readonly count: number;
  /** Capacity in the latest of them. */
  readonly capacity: Size;
}

export function createRegistry(options: RegistryOptions): Registry {
  const {token, driver, log, state, enqueue, enqueueDerived} = options;
  const {maxWorkers = MAX_WORKERS} = options;
  /** Monotonic time of the last announcement, by `workerKey`. */
  const lastHeardMs = new Map<string, number>();
  /** Highest sequence that was announced, by `workerKey`. */
  const heardSequences = new Map<string, number>();
  /**
   * Later announcements of the new incarnations that `replaceIncarnation` is
   * working on, by `workerKey`.
   */
  const replacements = new Map<string, Announcement[]>();
  /** Records that wait for their commit, by `workerKey`. */
  const undecidedRecords = new Map<string, UndecidedRecords>();
  /** Replies to announcements whose replacement is not queued yet. */
  const unqueued = new Set<Reply<void>>();
  /** `bornMs` of the newest incarnation that was announced, by worker ID. */
  const newestIncarnationMs = new Map<string, number>();
  /** Workers that have left the directory, while attempts are kept, by ID. */
  const removedWorkers = new Map<string, Worker>();
  let isStopped = false;

  function announce(
    worker: Worker,
    coldLeftMs: number,
    reply: Reply<void>,
  ): void {
    const {workers, tables} = state();
    const known = workers.get(worker.id);
    const key = workerKey(worker);
    if (isForeignAnnouncement(known, worker, tables)) {
      log.info('announcement-ignored', {worker: key, pool: worker.pool});
      reply.resolve();
      return;
    }
    const heardSequence = heardSequences.get(key);
    const kind = classifyAnnouncement(known, worker, heardSequence);
    // A worker that does not answer has left indeed, and the announcement was
    // delayed. A call to an incarnation that a later one has replaced would make
    // the later one refuse its own calls, since it would have a higher number.
    const isIgnored =
      kind === 'stale' ||
      isSuperseded(worker) ||
      (kind === 'returned' && !options.sessionOf(key)?.isAnswering());
    if (kind === 'new' && workers.size >= maxWorkers) {
      removeUnusable();
      reply.reject(new DirectoryFullError());
      return;
    }
    if (!isIgnored) {
      lastHeardMs.set(key, performance.now());
      heardSequences.set(key, worker.sequence);
      if (options.cold.note(key, coldLeftMs)) {
        log.info('worker-cold', {worker: key, leftMs: Math.round(coldLeftMs)});
      }
      if (options.announcements.markAnnounced(key)) options.onAwaited();
      const newest = newestIncarnationMs.get(worker.id) ?? 0;
      newestIncarnationMs.set(worker.id, Math.max(newest, worker.bornMs));
    }
    // The record that an announcement is compared with may be about to change.
    const needsNoRecord = kind === 'unchanged' && !undecidedRecords.has(key);
    if (isIgnored || needsNoRecord) {
      reply.resolve();
      return;
    }
    if (kind === 'new' || kind === 'new-incarnation') {
      options.crashes.recordIncarnation(worker);
      options.lateStarts.markRestarted(worker.id);
    }
    if (kind === 'new-incarnation') {
      void replaceIncarnation(known!, {worker, coldLeftMs, reply});
    } else {
      recordWorker(worker, reply);
    }
  }

  function recordWorker(
    worker: Worker,
    reply: Reply<void>,
    carriedRuns: readonly LiveRun[] = [],
  ): void {
    const key = workerKey(worker);
    const count = (undecidedRecords.get(key)?.count ?? 0) + 1;
    undecidedRecords.set(key, {count, capacity: worker.capacity});
    enqueue(
      {
        type: 'worker',
        worker,
        ...(carriedRuns.length > 0 && {
          carriedRuns: carriedRuns.map(toLostRow),
        }),
      },
      {
        resolve() {
          noteDecided(key);
          reply.resolve();
        },
        reject(error) {
          noteDecided(key);
          reply.reject(error);
        },
      },
    );
  }

  function noteDecided(key: string): void {
    const {count, capacity} = undecidedRecords.get(key)!;
    if (count > 1) undecidedRecords.set(key, {count: count - 1, capacity});
    else undecidedRecords.delete(key);
  }

  function exceedsAnnouncedCapacity(worker: string): boolean {
    const undecided = undecidedRecords.get(worker);
    if (!undecided) return false;
    const reserved = options
      .recordedRuns(worker)
      .reduce((sum, {step}) => add(sum, reservation(step)), ZERO_SIZE);
    return !fits(reserved, undecided.capacity);
  }

  /**
   * Records a new incarnation of a known worker. An order to the old
   * incarnation that is still in flight would be carried out by the new one,
   * until a call to the new one has fenced it off. Runs that the old incarnation
   * never reported, or with an attempt that may still be under way, are therefore
   * stopped at the new incarnation before it is recorded and they are placed
   * elsewhere. Announcements that are repeated meanwhile wait for the record: if
   * they were rejected, their senders would send them again at once.
   */
  async function replaceIncarnation(
    old: Worker,
    announcement: Announcement,
  ): Promise<void> {
    const {worker, reply} = announcement;
    const key = workerKey(worker);
    const waiting = replacements.get(key);
    if (waiting) {
      waiting.push(announcement);
      return;
    }
    const repeated: Announcement[] = [];
    replacements.set(key, repeated);
    const settled: Reply<void> = {
      resolve() {
        replacements.delete(key);
        reply.resolve();
        for (const later of repeated) {
          announce(later.worker, later.coldLeftMs, later.reply);
        }
      },
      reject(error) {
        replacements.delete(key);
        reply.reject(error);
        for (const later of repeated) later.reply.reject(error);
      },
    };
    const oldKey = workerKey(old);
    unqueued.add(settled);
    const closed = options.sessionOf(oldKey)?.close();
    options.lateStarts.markClosed(oldKey);
    await closed;
    const {runs} = options;
    const doubtful = options
      .recordedRuns(oldKey)
      .filter(({id}) => !runs.wasReported(id) || runs.mayArriveLate(id));
    const isNeeded = () => isReplacing(old, worker);
    await Promise.all(
      doubtful.map(live => {
        const [task, run] = toLostRow(live);
        return deliverStop(task, run, worker, isNeeded);
      }),
    );
    if (doubtful.length === 0) void fenceOffEarlier(worker);
    const report =
      doubtful.length > 0
        ? await awaitStopped(doubtful, worker, isNeeded)
        : undefined;
    // If it is not in the set any more, `stop` has rejected it.
    if (!unqueued.delete(settled)) return;
    if (report === 'superseded') {
      settled.reject(new Error(`${key} was superseded`));
      return;
    }
    const carriedRuns = report ? listUnlisted(doubtful, report) : [];
    for (const {id} of carriedRuns) runs.markSettled(id);
    logRunsLost(
      log,
      options.recordedRuns(oldKey).map(toLostRow),
      'worker-replaced',
    );
    recordAttempts(options.recordedRuns(oldKey));
    recordWorker(worker, settled, carriedRuns);
    // Queued behind the worker's record so that both become part of the same
    // change: a run that the new incarnation has completed must not be started
    // again before its end is recorded.
    const ends = report && toEndsEvent(worker, report);
    if (ends) enqueue(ends);
  }

  /**
   * Calls a new incarnation, so that it ignores calls to earlier ones from now on.
   * Its session opens after the commit of its record, which may take long, and
   * starts of runs that are not on record any more may be under way.
   */
  async function fenceOffEarlier(worker: Worker): Promise<void> {
    try {
      const order = {token, cursor: 0, waitMs: 0};
      await driver.hold(options.incarnations.targetOf(worker), order);
    } catch (error) {
      const reason = (error as Error).message;
      log.debug('hold-unanswered', {worker: worker.id, reason});
    }
  }

  /**
   * Whether the incarnation `worker` is still to take the place of `old`, which
   * a later incarnation or the removal of `old` prevents.
   */
  function isReplacing(old: Worker, worker: Worker): boolean {
    const recorded = state().workers.get(old.id);
    return (
      !isStopped && !isSuperseded(worker) && recorded?.bornMs === old.bornMs
    );
  }

  async function deliverStop(
    task: string,
    run: number,
    worker: Worker,
    isNeeded: () => boolean,
  ): Promise<void> {
    const target = options.incarnations.targetOf(worker);
    while (isNeeded()) {
      try {
        const answer = await driver.stop(target, {task, run, token});
        if (isStopSettled(answer)) return;
      } catch (error) {
        const reason = (error as Error).message;
        log.debug('stop-unanswered', {worker: worker.id, task, run, reason});
      }
      await pauseBeforeRetry();
    }
  }

  /**
   * Waits until the worker reports no run of these tasks: a run may still be
   * ending after its stop was answered, and a late order may have started an
   * earlier run, which is not on record and is stopped as well. Returns the
   * report, and `superseded` if a later incarnation has taken the worker's place
   * or the wait is no longer needed.
   */
  async function awaitStopped(
    stoppedRuns: readonly LiveRun[],
    worker: Worker,
    isNeeded: () => boolean,
  ): Promise<Report | 'superseded'> {
    const target = options.incarnations.targetOf(worker);
    const tasks = new Set(stoppedRuns.map(live => toLostRow(live)[0]));
    const stoppedIds = new Set(stoppedRuns.map(({id}) => id));
    while (isNeeded()) {
      try {
        const order = {token, cursor: 0, waitMs: 0};
        const report = await driver.hold(target, order);
        if (report.bornMs !== worker.bornMs) return 'superseded';
        const running = report.running.filter(row => tasks.has(row.task));
        if (running.length === 0) return report;
        for (const {task, run} of running) {
          const id = runId(task, run);
          if (stoppedIds.has(id)) continue;
          stoppedIds.add(id);
          log.warn('unexpected-run', {worker: workerKey(worker), task, run});
          void deliverStop(task, run, worker, isNeeded);
        }
      } catch (error) {
        const reason = (error as Error).message;
        log.debug('hold-unanswered', {worker: worker.id, reason});
      }
      await pauseBeforeRetry();
    }
    return 'superseded';
  }

  /** Whether a later incarnation of the worker was announced. */
  function isSuperseded(worker: Worker): boolean {
    return (newestIncarnationMs.get(worker.id) ?? 0) > worker.bornMs;
  }

  function leave(id: string, reply: Reply<void>): void {
    const known = state().workers.get(id);
    if (!known || known.phase === 'gone') {
      reply.resolve();
      return;
    }
    // Announcements up to the last one that was heard are older.
    const heardSequence = heardSequences.get(workerKey(known)) ?? -Infinity;
    const sequence = Math.max(known.sequence, heardSequence);
    recordWorker({...known, phase: 'gone', sequence}, reply);
  }

  function expire(): void {
    const {workers} = state();
    const latestBornMs = findLatestLives();
    for (const worker of workers.unorderedValues()) {
      const hasEnded = hasHostRestarted(worker, latestBornMs);
      if (hasEnded) options.lateStarts.markEnded(worker.id);
      if (hasEnded && options.recordedRuns(workerKey(worker)).length > 0) {
        removeEndedRuns(worker);
      } else if (areRunsOver(worker)) {
        removeRuns(worker);
      }
    }
    for (const [id, worker] of removedWorkers) {
      const isKept = options.lateStarts.hasAttempts(id) && !workers.has(id);
      const hasEnded = isKept && hasLaterLife(worker, latestBornMs);
      if (hasEnded) options.lateStarts.markEnded(id);
      if (hasEnded || !isKept) removedWorkers.delete(id);
    }
  }

  /** The start of the latest worker on each host that answers, by host. */
  function findLatestLives(): ReadonlyMap<string, number> {
    const latestBornMs = new Map<string, number>();
    for (const worker of state().workers.unorderedValues()) {
      const {host, bornMs} = worker;
      if (host === '') continue;
      if (!options.sessionOf(workerKey(worker))?.isAnswering()) continue;
      latestBornMs.set(host, Math.max(latestBornMs.get(host) ?? 0, bornMs));
    }
    return latestBornMs;
  }

  /**
   * Whether a worker with another ID has begun on the host since. It answers calls
   * to this one with a refusal, so that neither a run nor a late order is left.
   * An announcement alone does not show that: the record of a worker that never
   * answers may be wrong, and clocks that are set back make a former one appear
   * later.
   */
  function hasHostRestarted(
    worker: Worker,
    latestBornMs: ReadonlyMap<string, number>,
  ): boolean {
    if (!hasLaterLife(worker, latestBornMs)) return false;
    const session = options.sessionOf(workerKey(worker));
    return session !== undefined && !session.isAnswering();
  }

  /** Whether a worker with another ID has begun last on the host. */
  function hasLaterLife(
    worker: Worker,
    latestBornMs: ReadonlyMap<string, number>,
  ): boolean {
    const latestMs = latestBornMs.get(worker.host) ?? worker.bornMs;
    return latestMs > worker.bornMs && !isSuperseded(worker);
  }

  /**
   * Records that the runs of a worker have ended with it. The worker stays in the
   * directory: until its silence is old, it shows the next leader which workers
   * were lost together.
   */
  function removeEndedRuns(worker: Worker): void {
    const key = workerKey(worker);
    const runs = options.recordedRuns(key).map(toLostRow);
    log.info('host-restarted', {worker: key, runs: runs.length});
    logRunsLost(log, runs, 'host-restarted');
    enqueueDerived({type: 'lost', runs});
  }

  /**
   * Whether nothing that was ordered from the worker runs on it any more. Only
   * its lease shows that: a worker may go on for seconds after it has reported
   * its departure, and the report may be older than its incarnation.
   */
  function areRunsOver(worker: Worker): boolean {
    const session = options.sessionOf(workerKey(worker));
    if (!session || session.isAnswering()) return false;
    // The lease limits runs only by the clock of this incarnation. A late order
    // may be carried out by a later incarnation, at which `replaceIncarnation`
    // stops the run if that incarnation answers.
    const lateMs = isSuperseded(worker) ? LATE_RUN_MS : 0;
    return performance.now() >= session.leaseExpiryMs() + lateMs;
  }

  /**
   * Records that the runs of an unreachable worker have ended, and removes a
   * worker that will not return.
   */
  function removeRuns(worker: Worker): void {
    const key = workerKey(worker);
    const session = options.sessionOf(key)!;
    const recorded = options.recordedRuns(key);
    recordAttempts(recorded);
    if (isSuperseded(worker)) {
      const successorMs = newestIncarnationMs.get(worker.id);
      log.info('successor-silent', {
        worker: key,
        successorMs,
        runs: recorded.length,
      });
      logRunsLost(log, recorded.map(toLostRow), 'successor-silent');
      removeWorker(key);
      return;
    }
    const nowMs = performance.now();
    const runs = recorded.filter(
      ({job, key: task, run}) =>
        nowMs >= session.runExpiryMs(taskName(job.spec.id, task), run.number),
    );
    const areAllOver = runs.length === recorded.length;
    const hasLeft = worker.phase === 'gone';
    if (runs.length > 0) {
      log.info('lease-lapsed', {worker: key, runs: runs.length, hasLeft});
      logRunsLost(log, runs.map(toLostRow), 'lease-lapsed');
    }
    if (hasLeft && areAllOver) {
      removeWorker(key);
      return;
    }
    if (runs.length > 0) {
      if (!hasLeft) options.crashes.recordLapse(worker);
      enqueueDerived({type: 'lost', runs: runs.map(toLostRow)});
    }
    if (!areAllOver) return;
    if (!lastHeardMs.has(key)) lastHeardMs.set(key, nowMs);
    if (nowMs - lastHeardMs.get(key)! > WORKER_EXPIRY_MS) removeWorker(key);
  }

  /** Keeps for the next leader what may start the runs again. */
  function recordAttempts(runs: readonly LiveRun[]): void {
    options.lateStarts.recordAttempts(runs.map(each => toLostRow(each)[0]));
  }

  /**
   * Makes room in a full directory, so that announcements of workers that do not
   * exist keep others out for the length of a lease only.
   */
  function removeUnusable(): void {
    for (const worker of state().workers.unorderedValues()) {
      const key = workerKey(worker);
      if (!areRunsOver(worker) || options.recordedRuns(key).length > 0)
        continue;
      removeWorker(key);
    }
  }

  function removeWorker(key: string): void {
    lastHeardMs.delete(key);
    heardSequences.delete(key);
    enqueueDerived({type: 'worker-gone', worker: key});
  }

  return {
    announce,
    leave,
    exceedsAnnouncedCapacity,
    markRemoved: worker => void removedWorkers.set(worker.id, worker),
    expire,
    stop() {
      isStopped = true;
      // Nothing was proposed for these, so their senders can go on to the next
      // leader. Queued records are rejected with the other queued events.
      for (const reply of unqueued) reply.reject(new NotLeader(undefined));
      unqueued.clear();
    },
  };
}

/** Those of the runs whose ends the report may lack for want of space. */
function listUnlisted(
  runs: readonly LiveRun[],
  {ended, isComplete}: Report,
): readonly LiveRun[] {
  if (isComplete) return [];
  const listed = new Set(ended.map(({task, run}) => runId(task, run)));
  return runs.filter(({id}) => !listed.has(id));
}

function toEndsEvent(
  worker: Worker,
  {ended}: Report,
): EventOf<'ends'> | undefined {
  if (ended.length === 0) return undefined;
  const rows = [...ended].sort((a, b) => a.number - b.number);
  return {
    type: 'ends',
    worker: workerKey(worker),
    // A new incarnation is recorded without ends.
    after: 0,
    upTo: rows.at(-1)!.number,
    ends: rows.map(({task, run, how, checkpoint}): EndRow => [
      task,
      run,
      how,
      checkpoint,
    ]),
  };
}

function pauseBeforeRetry(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
}
