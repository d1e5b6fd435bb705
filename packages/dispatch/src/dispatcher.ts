/** The contacts with all workers, and the orders that go through them. */
import type {Counter, Latency, Log, Metrics} from '@lentildrift/observe';
import {
  splitTaskName,
  taskName,
  workerKey,
  type StartRow,
  type State,
} from '@lentildrift/queue';
import type {LiveRun} from '@lentildrift/scheduling';
import type {TaskSystem} from '@lentildrift/task';
import type {Advice} from './advice.js';
import {
  openWorkerSession,
  type WorkerSession,
  type SessionEvent,
} from './session.js';
import type {WorkerDriver} from './driver.js';
import {isSurplus, liveRunId} from './reconcile.js';
import type {RunTracker} from './tracker.js';

export interface DispatcherOptions {
  readonly token: number;
  readonly driver: WorkerDriver;
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly runs: RunTracker;
  readonly advice: Advice;
  state(): State;
  isLeader(): boolean;
  onEvent(news: SessionEvent): void;
  /** The worker is not in the directory any more. */
  onClosed(contact: WorkerSession): void;
  /** A run that is on record cannot be ordered. */
  onUndeliverable(row: StartRow): void;
}

export interface Dispatcher {
  sessionOf(worker: string): WorkerSession | undefined;
  isAnswering(worker: string): boolean;
  /** Opens and closes contacts so that each worker has one. */
  syncSessions(): void;
  /** Orders a run that is on record. */
  start(row: StartRow): void;
  stop(live: LiveRun): void;
  /** Stops runs that nothing asks for, and lasting ones on leaving workers. */
  stopSurplus(live: readonly LiveRun[]): void;
  close(): Promise<void>;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const {token, driver, tasks, log, metrics, runs, state} = options;
  const contacts = new Map<string, WorkerSession>();
  const started: Counter = metrics.counter(
    'lentildrift_task_starts_total',
    'Runs that were ordered.',
    1,
  );
  const firstStart: Latency = metrics.latency(
    'lentildrift_first_start_seconds',
    'Time from the acceptance of a job to the first order of a task.',
    1,
  );

  function sync(): void {
    const wanted = new Set<string>();
    for (const worker of state().workers.values()) {
      const key = workerKey(worker);
      wanted.add(key);
      if (contacts.has(key)) continue;
      const {isLeader, onEvent: onNews} = options;
      contacts.set(
        key,
        openWorkerSession({
          worker,
          token,
          driver,
          tasks,
          log,
          isLeader,
          onEvent: onNews,
        }),
      );
    }
    for (const [key, contact] of contacts) {
      if (wanted.has(key)) continue;
      contacts.delete(key);
      options.onClosed(contact);
      void contact.close();
    }
  }

  function start(row: StartRow): void {
    const [name, run, key] = row;
    const contact = contacts.get(key);
    const {job: id, key: place} = splitTaskName(name);
    const job = state().jobs.get(id);
    const record = job?.tasks[place];
    if (!job || !record?.runs.some(each => each.number === run)) return;
    if (!contact) {
      options.onUndeliverable(row);
      return;
    }
    started.add({});
    if (run === 1) {
      log.info('task-started', {task: name, worker: key});
      firstStart.record({}, Date.now() - job.acceptedAtMs);
    } else {
      log.info('task-restarted', {task: name, run, worker: key});
    }
    const ticket = options.advice.ticket(name, contact.worker.id);
    contact.start({
      task: name,
      run,
      payload: job.spec.payload,
      checkpoint: record.checkpoint,
      ...(ticket !== undefined && {ticket}),
    });
  }

  function stop(live: LiveRun): void {
    const {worker: key, number: run} = live.run;
    const contact = contacts.get(key);
    if (!contact || !runs.markStopping(liveRunId(live))) return;
    const name = taskName(live.job.spec.id, live.key);
    log.info('task-stopped', {task: name, run, worker: key});
    contact.stop(name, run);
  }

  function stopSurplus(live: readonly LiveRun[]): void {
    const draining = new Set<string>();
    for (const worker of state().workers.values()) {
      if (worker.phase === 'draining') draining.add(workerKey(worker));
    }
    for (const each of live) {
      const leaving = each.step.lasting && draining.has(each.run.worker);
      if (leaving || isSurplus(each)) stop(each);
    }
  }

  return {
    sessionOf: key => contacts.get(key),
    isAnswering: key => contacts.get(key)?.isAnswering() ?? false,
    syncSessions: sync,
    start,
    stop,
    stopSurplus,
    async close() {
      await Promise.all([...contacts.values()].map(contact => contact.close()));
    },
  };
}
