/**
 * The leader's task. It turns requests, worker reports and timer ticks into
 * changes of the replicated state, proposes one change at a time, and sends an
 * order to a worker only after the change that records it is durable.
 *
 * A decision round is a pipeline: `gather → plan → commit → order`. The modules
 * of its steps post to this task, which alone receives messages.
 */
import {NotLeader} from '@lentildrift/consensus';
import {
  workerKey,
  type Event,
  type EventOf,
  type JobSpec,
  type Outcome,
  type Queue,
  type StartRow,
  type Worker,
} from '@lentildrift/queue';
import {
  DeadlineAdmission,
  NoCopies,
  NoDisplacement,
  PackPlacement,
  runId,
  type IntakeVerdict,
} from '@lentildrift/scheduling';
import type {Reply, Task} from '@lentildrift/task';
import {createAdviceCache, type AdviceCache} from './advice.js';
import {
  createAnnouncementAges,
  type AnnouncementAges,
} from './announcement-age.js';
import {createAvailability, type Availability} from './availability.js';
import type {Batch} from './batch.js';
import {createCommitHandler, type CommitHandler} from './commit-handler.js';
import {
  createDecisionRounds,
  type DecisionRounds,
  type RoundMessage,
} from './decision-round.js';
import {createColdWorkers, type ColdWorkers} from './cold-workers.js';
import {createCopies} from './copies.js';
import {createCrashDetector} from './crash-detector.js';
import type {DataCentreStatus} from './data-centres.js';
import {createDisplacements} from './displacements.js';
import {createDispatcher, type Dispatcher} from './dispatcher.js';
import {
  createEvacuationReport,
  type EvacuationReport,
} from './evacuation-report.js';
import {createEventQueue, type EventQueue} from './event-queue.js';
import {createHostOperations, type HostOperations} from './host-operations.js';
import {createLateStarts, type LateStarts} from './late-starts.js';
import {createIncarnations} from './incarnations.js';
import {createInstruments} from './instruments.js';
import {createIntake, type Intake} from './intake.js';
import {createJobStages} from './job-stages.js';
import type {LeaderOptions} from './leader-options.js';
import {continueLedTime} from './led-time.js';
import {
  createLeaseSuspensions,
  type LeaseSuspensions,
} from './lease-suspensions.js';
import {createPlanner} from './planner.js';
import {createReadiness} from './readiness.js';
import {createRegistry, type Registry} from './registry.js';
import {createReportHandler, type ReportHandler} from './report-handler.js';
import {createRetention} from './retention.js';
import {createRunEstimates, type RunEstimates} from './run-estimates.js';
import type {SessionEvent} from './session.js';
import {createStateViews} from './state-views.js';
import {TICK_INTERVAL_MS} from './timing.js';
import {createRunTracker} from './tracker.js';
import {createWorkerSpeeds, type WorkerSpeeds} from './worker-speeds.js';

export type {LeaderOptions, QueueReplica} from './leader-options.js';

/** The leader as the request handlers of its process see it. */
export interface Leader {
  /**
   * Resolves once the event is durable and applied. Rejects with `NotLeader` if
   * the event was not proposed and never will be; after any other rejection its
   * outcome is unknown.
   */
  commit(event: Event): Promise<Outcome>;
  /**
   * Decides on a job, and records it if it is accepted; rejects as `commit` does.
   */
  submit(job: JobSpec, queue: Queue): Promise<SubmitResult>;
  /**
   * Resolves once the announcement is recorded in the worker directory, or
   * needs no record. `coldLeftMs`: how much longer the worker is slow after its
   * start. Rejects with `DirectoryFullError` if there is no room for the worker.
   */
  announce(worker: Worker, coldLeftMs?: number): Promise<void>;
  /**
   * Puts a data centre out of use for new runs or back into use, if it exists;
   * rejects as `commit` does.
   */
  setEvacuated(
    dataCentre: string,
    evacuated: boolean,
  ): Promise<EvacuationResult>;
  /** Records that a worker has left; resolves once the record is durable. */
  leave(worker: string): Promise<void>;
  stop(): Promise<void>;
}

/** What became of a job that was handed in. */
export type SubmitResult =
  | {readonly type: 'recorded'; readonly outcome: Outcome}
  | Exclude<IntakeVerdict, {type: 'admitted'}>;

/** What became of the order to evacuate a data centre, or to end that. */
export type EvacuationResult =
  | {readonly type: 'recorded'; readonly outcome: Outcome}
  /** Nothing was recorded; see `DataCentreStatus`. */
  | {readonly type: Exclude<DataCentreStatus, 'known'>};

type EvacuationMessage = {
  type: 'set-evacuated';
  event: EventOf<'evacuation'>;
  expiresAtMs: number;
  reply: Reply<EvacuationResult>;
};

type SubmitMessage = {
  type: 'submit';
  job: JobSpec;
  queue: Queue;
  expiresAtMs: number;
  reply: Reply<SubmitResult>;
};

type Message =
  | {type: 'commit'; event: Event; expiresAtMs: number; reply: Reply<Outcome>}
  | SubmitMessage
  | EvacuationMessage
  | {
      type: 'announce';
      worker: Worker;
      coldLeftMs: number;
      reply: Reply<void>;
    }
  | {type: 'leave'; worker: string; reply: Reply<void>}
  | {type: 'session-event'; event: SessionEvent}
  | {type: 'tick'}
  | {type: 'order'; start: StartRow}
  | RoundMessage;

/**
 * Longest wait for a commit. A leader that cannot commit loses its leadership
 * well before this time.
 */
const COMMIT_TIMEOUT_MS = 10_000;
/**
 * A request that could not be proposed for this long is rejected, so that its
 * sender learns that it has no effect before its attempt times out (see
 * `ATTEMPT_TIMEOUT_MS`). The check runs once per tick.
 */
const MAX_QUEUED_MS = 500;

/** Starts the leader's task on a state that is complete. */
export function startLeader(options: LeaderOptions): Leader {
  const {replica, token, driver, tasks, log, metrics, isLeader} = options;
  const instruments = createInstruments(options);
  const {time} = instruments;
  const views = createStateViews({replica, instruments});
  const {state} = views;
  const ledTime = continueLedTime(state().ledMs);
  const retention = createRetention();
  const runs = createRunTracker(
    [...views.current().load.runsByWorker.values()].flat().map(({id}) => id),
  );
  const speeds: WorkerSpeeds = createWorkerSpeeds({
    runs,
    durations: () => estimates.durations(),
    nowMs: () => performance.now(),
  });
  const estimates: RunEstimates = createRunEstimates({runs, speeds, state});
  const incarnations = createIncarnations();
  /** Whether a tick has come since the proposal of the pending change. */
  let isTickDeferred = false;
  let tickTimer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const task: Task<Message> = tasks.spawn<null, Message>({
    name: `leader-${token}`,
    initial: null,
    handle(state, message) {
      if (isStopped) settleAfterStop(message);
      else handle(message);
      return state;
    },
    afterStop() {
      rounds.stop();
      clearTimeout(tickTimer);
    },
  });
  const events: EventQueue = createEventQueue(() => rounds.schedule());
  const leases: LeaseSuspensions = createLeaseSuspensions({
    ...options,
    state,
    hasRuns: worker => views.recordedRuns(worker).length > 0,
    sessionOf: worker => dispatcher.sessionOf(worker),
    enqueue: events.enqueue,
  });
  const lateStarts: LateStarts = createLateStarts({
    inherited: [...views.current().load.runsByWorker.values()].flat(),
    state,
    ledTime,
    record(rows, reply) {
      events.enqueue({type: 'late-starts', rows: [...rows]}, reply);
    },
  });
  const advice: AdviceCache = createAdviceCache({
    adviser: options.adviser,
    log,
    onChange: () => rounds.schedule(),
  });
  const {leaderlessMs = 0} = options;
  const announcements: AnnouncementAges = createAnnouncementAges(leaderlessMs);
  const cold: ColdWorkers = createColdWorkers();
  const crashes = createCrashDetector({
    runs,
    state,
    recordedRuns: views.recordedRuns,
    enqueueDerived: events.enqueueDerived,
  });
  const availability: Availability = createAvailability({
    views,
    runs,
    estimates,
    announcements,
    cold,
    lateStarts,
    speeds,
    isAnswering: worker => dispatcher.isAnswering(worker),
    isCordoned: host => hosts.isCordoned(host),
    isDue: host => hosts.isDue(host),
  });
  const planner = createPlanner({
    instruments,
    availability,
    lateStarts,
    estimates,
    advice,
    order: options.order,
    placement: options.placement,
    shares: () => intake.shares(),
    log,
    metrics,
  });
  const copies = createCopies({
    policy: options.copies ?? new NoCopies(),
    placement: options.placement ?? new PackPlacement(),
    runs,
    lateStarts,
    estimates,
    speeds,
    advice,
    log,
    metrics,
    inherited: views.current().load.speculative.values(),
    state,
    nowMs: () => performance.now(),
  });
  const displacements = createDisplacements({
    policy: options.displacement ?? new NoDisplacement(),
    runs,
    estimates,
    advice,
    log,
    metrics,
    state,
  });
  const rounds: DecisionRounds = createDecisionRounds({
    replica,
    runs,
    metrics,
    instruments,
    views,
    events,
    planner,
    copies,
    displacements,
    advice,
    ledTime,
    isLeader,
    post: message => void task.post(message),
  });
  const dispatcher: Dispatcher = createDispatcher({
    ...options,
    runs,
    lateStarts,
    incarnations,
    advice,
    leases,
    state,
    onEvent: event => void task.post({type: 'session-event', event}),
    onHoldSent: instruments.recordHold,
    onClosed({worker}) {
      leases.markClosed(worker);
      reports.forget(worker);
      registry.markRemoved(worker);
      speeds.forget(workerKey(worker));
    },
    exceedsAnnouncedCapacity: worker =>
      registry.exceedsAnnouncedCapacity(worker),
    onUndeliverable: row => events.enqueueDerived({type: 'lost', runs: [row]}),
  });
  const registry: Registry = createRegistry({
    token,
    driver,
    runs,
    lateStarts,
    incarnations,
    announcements,
    cold,
    crashes,
    log,
    maxWorkers: options.maxWorkers,
    state,
    recordedRuns: views.recordedRuns,
    sessionOf: dispatcher.sessionOf,
    enqueue: events.enqueue,
    enqueueDerived: events.enqueueDerived,
    onAwaited: () => rounds.schedule(),
  });
  const readiness = createReadiness({
    isAnswering: dispatcher.isAnswering,
    isStopping: id => runs.isStopping(id),
  });
  const hosts: HostOperations = createHostOperations({
    leader: options,
    dispatcher,
    views,
    events,
    availability,
    estimates,
    readiness,
    instruments,
    hasPendingStart: rounds.hasPendingStart,
    onPools: pools => intake.update(pools),
  });
  const intake: Intake = createIntake({
    admission: options.admission ?? new DeadlineAdmission(),
    shareRule: options.shareRule,
    returns: options.createReturns?.(),
    estimates,
    views,
    log,
    metrics,
    hostCapacities: hosts.capacities,
  });
  const reports: ReportHandler = createReportHandler({
    dispatcher,
    runs,
    lateStarts,
    crashes,
    leases,
    views,
    events,
    availability,
    announcements,
    cold,
    estimates,
    readiness,
    advice,
    displacements,
    instruments,
    log,
    awaitsReadiness: hosts.awaitsReadiness,
    onChange: rounds.schedule,
  });
  const evacuations: EvacuationReport = createEvacuationReport({
    log,
    metrics,
    state,
    view: views.current,
  });
  const stages = createJobStages({runs, state});
  const commits: CommitHandler = createCommitHandler({
    dispatcher,
    runs,
    stages,
    reports,
    retention,
    estimates,
    copies,
    displacements,
    log,
    state,
  });

  function handle(message: Message): void {
    switch (message.type) {
      case 'commit':
        events.add(message);
        return;
      case 'submit':
        handleSubmit(message);
        return;
      case 'set-evacuated':
        handleEvacuation(message);
        return;
      case 'announce':
        registry.announce(message.worker, message.coldLeftMs, message.reply);
        return;
      case 'leave':
        registry.leave(message.worker, message.reply);
        return;
      case 'session-event':
        time('report', () => reports.handle(message.event));
        return;
      case 'round':
        rounds.run();
        return;
      case 'tick':
        handleTick();
        return;
      case 'order':
        time('order', () => dispatcher.start(message.start));
        return;
      case 'committed':
        time('committed', () =>
          handleCommitted(message.batch, message.outcomes),
        );
        return;
      case 'rejected':
        handleRejected(message.batch, message.error);
    }
  }

  function handleSubmit({job, queue, expiresAtMs, reply}: SubmitMessage): void {
    const {id} = job;
    stages.recordArrival(id);
    // A job that is sent again while its first attempt waits for the commit must
    // not be refused: it will run.
    if (!intake.isAccepted(id) && !state().jobs.has(id)) {
      const verdict = intake.decide(job, queue);
      if (verdict.type !== 'admitted') {
        stages.take(id);
        reply.resolve(verdict);
        return;
      }
    }
    events.add({
      event: {type: 'submit', job, atMs: Date.now()},
      expiresAtMs,
      reply: {
        resolve(outcome) {
          intake.settle(id);
          reply.resolve({type: 'recorded', outcome});
        },
        reject(error) {
          intake.settle(id);
          reply.reject(error);
        },
      },
    });
  }

  function handleEvacuation(message: EvacuationMessage): void {
    const {event, expiresAtMs, reply} = message;
    const status = hosts.findDataCentre(event.dataCentre);
    // An end may be sent again after the last host there has gone. It changes
    // nothing where no evacuation is in force, so it needs no known name.
    if (event.evacuated && status !== 'known') {
      reply.resolve({type: status});
      return;
    }
    events.add({
      event,
      expiresAtMs,
      reply: {
        resolve: outcome => reply.resolve({type: 'recorded', outcome}),
        reject: reply.reject,
      },
    });
  }

  /**
   * Answers what arrives while the leader stops, so that no request whose
   * outcome is known ends as one whose outcome is unknown.
   */
  function settleAfterStop(message: Message): void {
    switch (message.type) {
      case 'commit':
      case 'submit':
      case 'set-evacuated':
      case 'announce':
      case 'leave':
        message.reply.reject(new NotLeader(undefined));
        return;
      case 'committed':
        message.batch.queued.forEach(({reply}, at) =>
          reply?.resolve(message.outcomes[at]!),
        );
        return;
      case 'rejected':
        for (const {reply} of message.batch.queued) {
          reply?.reject(message.error);
        }
    }
  }

  function handleCommitted(batch: Batch, outcomes: readonly Outcome[]): void {
    rounds.settle();
    commits.handleCommitted(batch, outcomes);
    for (const [task, run] of batch.starts) {
      runs.markTime(runId(task, run), 'orderedMs');
    }
    // One message an order, so that a large batch is sent in several turns.
    for (const start of batch.starts) task.post({type: 'order', start});
    instruments.recordOrders(batch.starts.length);
    updateSessions();
    if (isTickDeferred) advanceHosts();
    else if (batch.hasUnplacedTasks) hosts.rebalance();
    if (rounds.isDue() || batch.starts.length > 0) rounds.schedule();
  }

  function handleRejected(batch: Batch, error: Error): void {
    rounds.settle();
    commits.handleRejected(batch, error);
    if (isTickDeferred && isLeader()) advanceHosts();
    rounds.schedule();
  }

  function handleTick(): void {
    tickTimer = setTimeout(() => task.post({type: 'tick'}), TICK_INTERVAL_MS);
    // A leader reports in `advanceHosts`, as it reads the views.
    if (!isLeader()) reportState();
    if (rounds.isCommitPending() || !isLeader()) events.rejectExpired();
    if (!isLeader()) return;
    time('registry', () => registry.expire());
    leases.suspendUnreached();
    lateStarts.expire();
    const expired = retention.listExpired(state());
    if (expired.length > 0) events.enqueue({type: 'forget', jobs: expired});
    const statistics = estimates.takeStatistics();
    if (statistics) events.enqueue(statistics);
    rounds.invalidate();
    // The views describe the projection of a pending change. To look at the
    // recorded state in between would take them back and forth once more.
    if (rounds.isCommitPending()) {
      isTickDeferred = true;
      return;
    }
    updateSessions();
    advanceHosts();
    rounds.run();
  }

  /** The part of a tick that needs the views of the recorded state. */
  function advanceHosts(): void {
    isTickDeferred = false;
    reportState();
    hosts.advance();
  }

  function updateSessions(): void {
    time('sessions', () => {
      dispatcher.syncSessions();
      dispatcher.stopSurplus(views.current());
    });
  }

  /** Logs the state of the leader and of the fleet at intervals. */
  function reportState(): void {
    const queue = {
      queued: events.size(),
      oldestMs: events.oldestMs(),
      isCurrent: isLeader(),
    };
    instruments.report(queue, hosts.census);
    if (isLeader()) evacuations.tick();
  }

  dispatcher.syncSessions();
  task.post({type: 'tick'});
  log.info('leading', {
    token,
    workers: state().workers.size,
    jobs: state().jobs.size,
    leaderlessMs: Math.round(leaderlessMs),
  });
  /** Posts a request to the task, or rejects with `NotLeader` after the stop. */
  function ask<T>(build: (reply: Reply<T>) => Message): Promise<T> {
    if (isStopped) return Promise.reject(new NotLeader(undefined));
    return task.ask(build, COMMIT_TIMEOUT_MS);
  }

  return {
    commit(event) {
      const expiresAtMs = performance.now() + MAX_QUEUED_MS;
      return ask(reply => ({type: 'commit', event, expiresAtMs, reply}));
    },
    submit(job, queue) {
      const expiresAtMs = performance.now() + MAX_QUEUED_MS;
      return ask(reply => ({type: 'submit', job, queue, expiresAtMs, reply}));
    },
    setEvacuated(dataCentre, evacuated) {
      const expiresAtMs = performance.now() + MAX_QUEUED_MS;
      const event = {type: 'evacuation', dataCentre, evacuated} as const;
      return ask(reply => ({type: 'set-evacuated', event, expiresAtMs, reply}));
    },
    announce: (worker, coldLeftMs = 0) =>
      ask(reply => ({type: 'announce', worker, coldLeftMs, reply})),
    leave: worker => ask(reply => ({type: 'leave', worker, reply})),
    async stop() {
      isStopped = true;
      rounds.stop();
      clearTimeout(tickTimer);
      hosts.stop();
      registry.stop();
      instruments.stop();
      evacuations.stop();
      planner.stop();
      events.rejectAll();
      await dispatcher.close();
      await task.stop();
    },
  };
}
