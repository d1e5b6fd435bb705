/**
 * Keeps one session for each worker in the directory and sends the orders to
 * start and stop runs through these sessions.
 */
import type {Counter, Latency, Log, Metrics} from '@lentildrift/observe';
import {
  isEvacuated,
  parseTaskKey,
  PersistentMap,
  splitTaskName,
  taskKey,
  taskName,
  visitDifferences,
  workerKey,
  type Job,
  type StartRow,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {runId, type LiveRun, type StateView} from '@lentildrift/scheduling';
import type {TaskSystem} from '@lentildrift/task';
import type {AdviceCache} from './advice.js';
import type {WorkerDriver} from './driver.js';
import type {Incarnations} from './incarnations.js';
import type {LateStarts} from './late-starts.js';
import type {LeaseSuspensions} from './lease-suspensions.js';
import {
  openWorkerSession,
  type SessionEvent,
  type WorkerSession,
} from './session.js';
import {HOLD_WAIT_MS} from './timing.js';
import type {RunTracker} from './tracker.js';

export interface DispatcherOptions {
  readonly token: number;
  readonly driver: WorkerDriver;
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly runs: RunTracker;
  readonly lateStarts: Pick<LateStarts, 'markOrdered' | 'markClosed'>;
  readonly incarnations: Incarnations;
  readonly advice: AdviceCache;
  readonly leases: Pick<LeaseSuspensions, 'inheritedMs' | 'mayGrantLease'>;
  state(): State;
  isLeader(): boolean;
  onEvent(event: SessionEvent): void;
  /** See `WorkerSessionOptions`. */
  onHoldSent(inFlight: number): void;
  /** Called when the worker is no longer in the directory. */
  onClosed(session: WorkerSession): void;
  /** See `Registry.exceedsAnnouncedCapacity`. */
  exceedsAnnouncedCapacity(worker: string): boolean;
  /**
   * Called for a recorded run that is not ordered, since its worker has no
   * session or too little capacity by now, or its data centre is evacuated.
   */
  onUndeliverable(row: StartRow): void;
}

export interface Dispatcher {
  /** Session with a worker's incarnation, by `workerKey`. */
  sessionOf(worker: string): WorkerSession | undefined;
  isAnswering(worker: string): boolean;
  /** Opens and closes sessions so that each worker in the directory has one. */
  syncSessions(): void;
  /**
   * Orders a recorded run to start. Does nothing if the run is not recorded any
   * more.
   */
  start(row: StartRow): void;
  /** Orders a run to stop, unless it is being stopped already. */
  stop(live: LiveRun): void;
  /**
   * Stops the runs of ended tasks and jobs, and the runs of long-running tasks
   * on workers that drain.
   */
  stopSurplus(view: Pick<StateView, 'load' | 'fleet'>): void;
  close(): Promise<void>;
}

/**
 * Sessions that begin in one turn of the event loop. Each opens a connection;
 * for all workers of a large fleet at once, a new leader would send its first
 * heartbeats too late.
 */
const SESSIONS_PER_TURN = 16;

/**
 * Largest number of holds in a second. A worker with many short runs answers
 * each hold at once with one end. Without a limit, holds become more frequent
 * the faster the leader is, until it is saturated by them.
 */
const MAX_HOLDS_PER_S = 1200;

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const {token, driver, tasks, log, metrics, runs, leases, state} = options;
  const sessions = new Map<string, WorkerSession>();
  /** Open sessions that are still to begin. */
  let waitingSessions: WorkerSession[] = [];
  let beginTimer: NodeJS.Immediate | undefined;
  /** The workers for which the sessions were opened. */
  let syncedWorkers: State['workers'] = PersistentMap.empty();
  const startCount: Counter = metrics.counter(
    'lentildrift_task_starts_total',
    'Runs that were ordered.',
    1,
  );
  const firstStartTime: Latency = metrics.latency(
    'lentildrift_first_start_seconds',
    'Time from the acceptance of a job to the first order of a task.',
    1,
  );

  function syncSessions(): void {
    const {workers} = state();
    visitDifferences(syncedWorkers, workers, (before, after) => {
      const oldKey = before && workerKey(before.value);
      const key = after && workerKey(after.value);
      if (oldKey === key) return;
      if (oldKey !== undefined) closeSession(oldKey);
      if (after) openSession(after.value);
    });
    syncedWorkers = workers;
    if (!beginTimer) beginSessions();
  }

  function openSession(worker: Worker): void {
    const {isLeader, onEvent, onHoldSent} = options;
    const session = openWorkerSession({
      worker,
      target: options.incarnations.targetOf(worker),
      token,
      inheritedMs: leases.inheritedMs(worker),
      driver,
      tasks,
      log,
      isLeader,
      isWithheld: (task, run) =>
        !leases.mayGrantLease(worker.id) || isRevoked(worker, task, run),
      mayGrantLease: () => leases.mayGrantLease(worker.id),
      holdIntervalMs,
      onEvent,
      onHoldSent,
    });
    sessions.set(workerKey(worker), session);
    waitingSessions.push(session);
  }

  function holdIntervalMs(): number {
    const intervalMs = (sessions.size * 1000) / MAX_HOLDS_PER_S;
    return Math.min(intervalMs, HOLD_WAIT_MS);
  }

  function beginSessions(): void {
    beginTimer = undefined;
    const next = waitingSessions.slice(0, SESSIONS_PER_TURN);
    waitingSessions = waitingSessions.slice(SESSIONS_PER_TURN);
    for (const session of next) session.begin();
    if (waitingSessions.length > 0) beginTimer = setImmediate(beginSessions);
  }

  function closeSession(key: string): void {
    const session = sessions.get(key)!;
    sessions.delete(key);
    options.lateStarts.markClosed(key);
    options.onClosed(session);
    void session.close();
  }

  function start(row: StartRow): void {
    const [name, run, key] = row;
    const session = sessions.get(key);
    const {job: id, key: taskKey} = splitTaskName(name);
    const job = state().jobs.get(id);
    const record = job?.tasks[taskKey];
    const isRecorded = record?.runs.some(
      each => each.number === run && each.worker === key,
    );
    if (!job || !record || !isRecorded) return;
    if (!session || isWithheld(row, job, session.worker)) {
      options.onUndeliverable(row);
      return;
    }
    startCount.add({});
    if (run === 1) {
      log.info('task-started', {task: name, worker: key, token});
      firstStartTime.record({}, Date.now() - job.acceptedAtMs);
    } else {
      log.info('task-restarted', {task: name, run, worker: key, token});
    }
    const ticket = options.advice.ticketFor(name, key);
    options.lateStarts.markOrdered(name, run, key);
    session.start({
      task: name,
      run,
      payload: job.spec.payload,
      checkpoint: record.checkpoint,
      ...(ticket !== undefined && {ticket}),
    });
  }

  /**
   * Whether the worker has announced too little capacity since the run was
   * planned, which may have taken long to commit. The members of a gang are not
   * withheld one by one, since the others would wait for them in vain.
   */
  function isWithheld(
    [name, run, worker]: StartRow,
    job: Job,
    incarnation: Worker,
  ): boolean {
    if (isRevoked(incarnation, name, run)) return true;
    const {step} = parseTaskKey(splitTaskName(name).key);
    if (job.spec.steps[step]!.gang) return false;
    if (!options.exceedsAnnouncedCapacity(worker)) return false;
    log.info('start-withheld', {worker, task: name, run, reason: 'capacity'});
    return true;
  }

  /**
   * Whether the order of a recorded run must not be sent any more: the run is
   * being stopped, or the worker's data centre was evacuated after the run was
   * planned. An order may be held back for seconds while the leadership is not
   * confirmed.
   */
  function isRevoked(worker: Worker, name: string, run: number): boolean {
    if (runs.isStopping(runId(name, run))) return true;
    if (!isEvacuated(state(), worker.dataCentre)) return false;
    log.info('start-withheld', {
      worker: workerKey(worker),
      task: name,
      run,
      reason: 'evacuated',
    });
    stopOtherMembers(name, run);
    return true;
  }

  /**
   * Stops the other members of a gang, which would wait in vain for the one that
   * is withheld. Those that were not ordered yet are withheld for it.
   */
  function stopOtherMembers(name: string, run: number): void {
    const {job: id, key: own} = splitTaskName(name);
    const job = state().jobs.get(id);
    const {occurrence, step: at} = parseTaskKey(own);
    const step = job?.spec.steps[at];
    if (!job || !step?.gang) return;
    for (let index = 0; index < step.count; index++) {
      const key = taskKey({occurrence, step: at, index});
      const task = job.tasks[key];
      const other = task?.runs.find(({number}) => number === run);
      if (!task || !other || key === own) continue;
      stop({
        job,
        key,
        step,
        task,
        run: other,
        id: runId(taskName(id, key), run),
      });
    }
  }

  function stop(live: LiveRun): void {
    const {worker: key, number: run} = live.run;
    const session = sessions.get(key);
    if (!session || !runs.markStopping(live.id)) return;
    const name = taskName(live.job.spec.id, live.key);
    log.info('task-stopped', {task: name, run, worker: key});
    session.stop(name, run);
  }

  function stopSurplus({load, fleet}: Pick<StateView, 'load' | 'fleet'>): void {
    for (const live of load.surplus.values()) stop(live);
    for (const worker of fleet.draining) {
      for (const live of load.runsByWorker.get(worker) ?? []) {
        if (live.step.lasting) stop(live);
      }
    }
  }

  return {
    sessionOf: key => sessions.get(key),
    isAnswering: key => sessions.get(key)?.isAnswering() ?? false,
    syncSessions,
    start,
    stop,
    stopSurplus,
    async close() {
      clearImmediate(beginTimer);
      await Promise.all([...sessions.values()].map(session => session.close()));
    },
  };
}
