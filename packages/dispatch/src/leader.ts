/**
 * The leader's task. It turns requests, worker reports and timer ticks into
 * changes of the replicated state, proposes one change at a time, and sends an
 * order to a worker only after the change that records it is durable.
 *
 * A decision round is a pipeline: `gather → plan → commit → order`.
 */
import {NotLeader, type Replica} from '@lentildrift/consensus';
import type {Latency, Log, Metrics} from '@lentildrift/observe';
import {
  apply,
  dueAtMs,
  parseTaskKey,
  queuesByName,
  splitTaskName,
  stepKey,
  taskName,
  occurrenceCount,
  workerKey,
  type Change,
  type Event,
  type Outcome,
  type StartRow,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {
  DeadlineOrder,
  ElasticPools,
  findAvoidedWorkers,
  isQuarantined,
  listQuarantined,
  recordDuration,
  createStateIndex,
  createDurations,
  expectedDurationMs,
  objectiveMs,
  recordRunEnds,
  plan,
  PackPlacement,
  runId,
  type Candidate,
  type Durations,
  type Health,
  type JobOrder,
  type LiveRun,
  type Load,
  type Placement,
  type Plan,
  type PoolPolicy,
  type StateView,
} from '@lentildrift/scheduling';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import {createAdviceCache, type AdviceCache} from './advice.js';
import {
  rejectExpired,
  takeBatch,
  type Batch,
  type QueuedEvent,
} from './batch.js';
import {countHosts} from './census.js';
import {createDispatcher, type Dispatcher} from './dispatcher.js';
import type {WorkerDriver} from './driver.js';
import type {HostOrderGuard} from './host-order-guard.js';
import {createInstruments} from './instruments.js';
import {createInventory} from './inventory.js';
import {createMaintenance, type Maintenance} from './maintenance.js';
import {createPacing, type Pacing} from './pacing.js';
import type {Adviser, HostProvider} from './provider.js';
import {createReadiness, type Readiness} from './readiness.js';
import {createRebalancer, type Rebalancer} from './rebalancer.js';
import {reconcile} from './reconcile.js';
import {createRegistry, type Registry} from './registry.js';
import {createReportFilter} from './report-filter.js';
import {createRetention} from './retention.js';
import type {SessionEvent} from './session.js';
import {
  ROUND_INTERVAL_MS,
  STATISTICS_INTERVAL_MS,
  TICK_INTERVAL_MS,
} from './timing.js';
import {createRunTracker} from './tracker.js';
import {createDerivedEventQueue} from './undecided.js';

export type QueueReplica = Replica<State, Change, readonly Outcome[]>;

export interface LeaderOptions {
  readonly replica: QueueReplica;
  /**
   * Fencing token: higher for each later leader, and part of every order, so
   * that workers refuse the orders of earlier leaders.
   */
  readonly token: number;
  /** Name under which this process calls the host provider. */
  readonly holder: string;
  /**
   * Identifies this incarnation of the process in the records of its host
   * orders; a restarted process has another one.
   */
  readonly processId: string;
  readonly hostOrderGuard: HostOrderGuard;
  readonly driver: WorkerDriver;
  readonly hosts: HostProvider;
  readonly adviser: Adviser;
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly order?: JobOrder;
  readonly placement?: Placement;
  readonly pools?: PoolPolicy;
  /** Monotonic time at which this process was elected, for its log lines. */
  readonly electedMs?: number;
  /** Whether this process is still the leader, by its own knowledge. */
  isLeader(): boolean;
}

export interface Leader {
  /**
   * Resolves once the event is durable and applied. Rejects with `NotLeader` if
   * the event was not proposed and never will be; after any other rejection its
   * outcome is unknown.
   */
  commit(event: Event): Promise<Outcome>;
  /**
   * Resolves once the announcement is recorded in the worker directory, or
   * needs no record.
   */
  announce(worker: Worker): Promise<void>;
  /** Records that a worker has left; resolves once the record is durable. */
  leave(worker: string): Promise<void>;
  stop(): Promise<void>;
}

type Message =
  | {type: 'commit'; event: Event; expiresAtMs: number; reply: Reply<Outcome>}
  | {type: 'announce'; worker: Worker; reply: Reply<void>}
  | {type: 'leave'; worker: string; reply: Reply<void>}
  | {type: 'session-event'; event: SessionEvent}
  | {type: 'round'}
  | {type: 'tick'}
  | {type: 'order'; start: StartRow}
  | {type: 'committed'; batch: Batch; outcomes: readonly Outcome[]}
  | {type: 'rejected'; batch: Batch; error: Error};

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
/**
 * Share of a run's expected duration that is assumed to remain at least, also
 * once the run has exceeded that duration.
 */
const MIN_REMAINING_SHARE = 0.25;
/** Shortest pause between two rebalancings of hosts among pools. */
const REBALANCE_PAUSE_MS = 30;
/**
 * Largest share of the time spent on rebalancing. Its cost grows with the tasks
 * that wait, so without this limit a shortage of hosts slows the commits that
 * would end it.
 */
const MAX_REBALANCE_SHARE = 0.1;

const NO_RUNS: readonly LiveRun[] = [];
const NO_KEYS: ReadonlySet<string> = new Set();

export function startLeader(options: LeaderOptions): Leader {
  const {replica, token, driver, tasks, log, metrics} = options;
  const order = options.order ?? new DeadlineOrder();
  const placement = options.placement ?? new PackPlacement();
  const instruments = createInstruments(options);
  const {time} = instruments;
  const roundTime: Latency = metrics.latency(
    'lentildrift_round_duration_seconds',
    'Processor time of a decision round.',
    1,
  );
  /** Workers, by `workerKey`, whose runs this leader has reconciled. */
  const reconciledWorkers = new Set<string>();
  /** Number of the last end recorded or queued to be, by `workerKey`. */
  const recordedEndCursors = new Map<string, number>();
  const reportFilter = createReportFilter();
  const retention = createRetention();
  const index = createStateIndex({onMoved: instruments.recordDifferences});
  const runs = createRunTracker(
    [...currentView().load.runsByWorker.values()].flat().map(({id}) => id),
  );
  let queuedEvents: QueuedEvent[] = [];
  let health: Health = new Map();
  let durations: Durations = createDurations(
    replica.state().statistics.values(),
  );
  let statisticsRecordedMs = performance.now();
  let isCommitPending = false;
  /** Whether a tick has come since the proposal of the pending change. */
  let isTickDeferred = false;
  /** Workers, by `workerKey`, with runs in the change being committed. */
  let startingWorkers: ReadonlySet<string> = new Set();
  /** Monotonic time of the next rebalancing at the earliest. */
  let nextRebalanceMs = -Infinity;
  /** Whether something has changed that the next round may act on. */
  let dirty = true;
  let roundTimer: NodeJS.Timeout | undefined;
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
      clearTimeout(roundTimer);
      clearTimeout(tickTimer);
    },
  });
  const enqueueDerived = createDerivedEventQueue(enqueue);
  const advice: AdviceCache = createAdviceCache({
    adviser: options.adviser,
    log,
    onChange: scheduleRound,
  });
  const dispatcher: Dispatcher = createDispatcher({
    ...options,
    runs,
    advice,
    state,
    onEvent: event => void task.post({type: 'session-event', event}),
    onClosed({worker}) {
      const key = workerKey(worker);
      reconciledWorkers.delete(key);
      recordedEndCursors.delete(key);
      reportFilter.forget(key);
      readiness.forget(key);
      pacing.forget(worker.id);
    },
    onUndeliverable: row => enqueueDerived({type: 'lost', runs: [row]}),
  });
  const registry: Registry = createRegistry({
    token,
    driver,
    runs,
    log,
    state,
    recordedRuns,
    sessionOf: dispatcher.sessionOf,
    enqueue,
    enqueueDerived,
  });
  const readiness: Readiness = createReadiness({
    isAnswering: dispatcher.isAnswering,
    isStopping: id => runs.isStopping(id),
  });
  const pacing: Pacing = createPacing(log);
  const inventory = createInventory(options.hosts, log);
  const issuer = {
    holder: options.holder,
    token,
    isCurrent: () => !isStopped && options.isLeader(),
  };
  const {processId} = options;
  const hasForeignOrder = (host: string) =>
    options.hostOrderGuard.hasForeignOrder(host);
  const maintenance: Maintenance = createMaintenance({
    replica,
    issuer,
    processId,
    provider: options.hosts,
    inventory,
    readiness,
    log,
    isMoving: host => rebalancer.isCordoned(host),
    hasForeignOrder,
    enqueueDerived,
    stopRun: dispatcher.stop,
    hasPendingStart,
    isLeader: options.isLeader,
    fleet: () => currentView().fleet,
  });
  const rebalancer: Rebalancer = createRebalancer({
    policy: options.pools ?? new ElasticPools(),
    provider: options.hosts,
    inventory,
    issuer,
    log,
    state,
    recordOrder: order =>
      commitEvent({type: 'duty', duty: {...order, by: processId}}),
    hasForeignOrder,
    isLeader: options.isLeader,
    recordMove: instruments.recordMove,
    onWorkerGone: worker => enqueueDerived({type: 'worker-gone', worker}),
    isInWave: host => maintenance.isCordoned(host),
    isUsable,
    avoidedWorkers,
    hasPendingStart,
    emptyInMs,
    durations: () => durations,
  });

  function handle(message: Message): void {
    switch (message.type) {
      case 'commit':
        queuedEvents.push({...message, queuedMs: performance.now()});
        scheduleRound();
        return;
      case 'announce':
        registry.announce(message.worker, message.reply);
        return;
      case 'leave':
        registry.leave(message.worker, message.reply);
        return;
      case 'session-event':
        time('report', () => handleSessionEvent(message.event));
        return;
      case 'round':
        runRound();
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

  /**
   * Answers what arrives while the leader stops, so that no request whose
   * outcome is known ends as one whose outcome is unknown.
   */
  function settleAfterStop(message: Message): void {
    switch (message.type) {
      case 'commit':
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

  function state(): State {
    return replica.state();
  }

  function currentView(): StateView {
    return viewOf(state());
  }

  function viewOf(of: State): StateView {
    return time('load', () => index.viewOf(of));
  }

  function recordedRuns(key: string): readonly LiveRun[] {
    return time('load', () => index.runsOn(key, state()));
  }

  function scheduleRound(): void {
    dirty = true;
    if (isCommitPending || roundTimer || isStopped) return;
    roundTimer = setTimeout(() => {
      roundTimer = undefined;
      task.post({type: 'round'});
    }, ROUND_INTERVAL_MS);
  }

  function enqueue(event: Event, reply?: Reply<Outcome>): void {
    const queuedMs = performance.now();
    queuedEvents.push({event, queuedMs, ...(reply && {reply})});
    scheduleRound();
  }

  // Events from worker sessions

  function handleSessionEvent(event: SessionEvent): void {
    if (!dispatcher.sessionOf(event.key)) return;
    switch (event.type) {
      case 'report':
        handleReport(event);
        return;
      case 'silent':
        reportFilter.forget(event.key);
        scheduleRound();
        return;
      case 'start':
        handleStartResult(event);
        return;
      case 'stop':
        runs.markSettled(runId(event.task, event.run));
    }
  }

  function handleStartResult(
    event: Extract<SessionEvent, {type: 'start'}>,
  ): void {
    const {key, task: name, run, answer} = event;
    const id = runId(name, run);
    runs.markSettled(id);
    if (answer.ok) {
      runs.markStarted(id);
      return;
    }
    log.info('start-refused', {
      worker: key,
      task: name,
      run,
      reason: answer.reason,
    });
    advice.handleRefusal(name, answer.reason);
    // After these answers the task may have run. Its run is not reported lost
    // here: a later report shows its end, or that it is lost.
    if (answer.reason === 'withdrawn' || answer.reason === 'superseded') return;
    enqueueDerived({type: 'lost', runs: [[name, run, key]]});
  }

  function handleReport(event: Extract<SessionEvent, {type: 'report'}>): void {
    const {key, report} = event;
    const session = dispatcher.sessionOf(key)!;
    const current = state().workers.get(session.worker.id);
    if (!current || workerKey(current) !== key) return;
    const recorded = recordedRuns(key);
    const cursor = Math.max(recordedEndCursors.get(key) ?? 0, current.cursor);
    if (reportFilter.isUnchanged(key, report, recorded, cursor)) {
      instruments.recordReport('none');
    } else {
      reconcileReport(event, current, recorded, cursor);
    }
    readiness.observe(key, report);
    pacing.observe(session, report, recorded);
  }

  /** Handles a report that may differ from the last or from the record. */
  function reconcileReport(
    {key, report, sentMs}: Extract<SessionEvent, {type: 'report'}>,
    worker: Worker,
    recorded: readonly LiveRun[],
    cursor: number,
  ): void {
    const {events, unexpected, confirmed} = reconcile({
      worker,
      report,
      recorded,
      cursor,
      isSettled: id => runs.isSettled(id, sentMs),
    });
    if (!reconciledWorkers.has(key)) {
      reconciledWorkers.add(key);
      instruments.recordReconciled();
      log.info('worker-reconciled', {
        worker: key,
        running: report.running.length,
        recorded: recorded.length,
      });
    }
    const hasEnds = events.some(({type}) => type === 'ends');
    instruments.recordReport(hasEnds ? 'ends' : 'other');
    for (const id of confirmed) runs.markReported(id);
    for (const {id, job, key: taskKey, run} of recorded) {
      if (confirmed.has(id) || !runs.markMissing(id)) continue;
      const name = taskName(job.spec.id, taskKey);
      log.warn('run-unsettled', {worker: key, task: name, run: run.number});
    }
    for (const event of events) handleDifference(key, event);
    for (const {task: name, run} of unexpected) {
      log.warn('unexpected-run', {worker: key, task: name, run});
      dispatcher.sessionOf(key)?.stop(name, run);
    }
    reportFilter.note(key, report, recorded, confirmed.size);
    scheduleRound();
  }

  function handleDifference(key: string, event: Event): void {
    if (event.type === 'ends') {
      recordedEndCursors.set(key, event.upTo);
      health = recordRunEnds(health, key, event.ends, performance.now());
      for (const [name, run, how] of event.ends)
        observeEnd(key, name, run, how);
    } else if (event.type === 'lost') {
      log.info('runs-lost', {worker: key, count: event.runs.length});
      enqueueDerived(event);
      return;
    }
    enqueue(event);
  }

  function observeEnd(
    key: string,
    name: string,
    run: number,
    how: string,
  ): void {
    const id = runId(name, run);
    const startedMs = runs.startedMs(id);
    const job = state().jobs.get(splitTaskName(name).job);
    if (how === 'done' && startedMs !== undefined && job && run === 1) {
      const {job: id, key: taskKey} = splitTaskName(name);
      const {occurrence, step} = parseTaskKey(taskKey);
      durations = recordDuration(durations, {
        queue: job.spec.queue,
        stepName: taskName(id, stepKey(occurrence, step)),
        step: job.spec.steps[step]!,
        durationMs: performance.now() - startedMs,
      });
    }
    if (how !== 'done') {
      log.info('run-ended', {worker: key, task: name, run, how});
    }
  }

  // Rounds

  function runRound(): void {
    if (isCommitPending || !options.isLeader()) return;
    if (!dirty && queuedEvents.length === 0) return;
    dirty = false;
    const startMs = performance.now();
    const {taken: queued, rest} = takeBatch(queuedEvents);
    queuedEvents = rest;
    const events = queued.map(({event}) => event);
    const base = state();
    const projected =
      events.length > 0
        ? time('apply', () => apply(base, {events}).state)
        : base;
    const view = viewOf(projected);
    const decision = decide(projected, view);
    roundTime.record({}, performance.now() - startMs);
    advice.request(decision.stepsAwaitingAdvice, pool =>
      view.fleet.workersIn(pool).filter(({phase}) => phase === 'ready'),
    );
    const {starts} = decision;
    if (starts.length > 0) {
      events.push({type: 'start', runs: [...starts]});
    }
    if (events.length === 0) return;
    if (queuedEvents.length > 0) dirty = true;
    isCommitPending = true;
    startingWorkers = new Set(starts.map(([, , worker]) => worker));
    const batch = {
      queued,
      starts,
      hasUnplacedTasks: decision.shortPools.size > 0,
    };
    const recordSettled = instruments.recordProposal(
      events.length,
      queued[0]?.queuedMs,
    );
    replica.propose({events}).then(
      ({answer}) => {
        recordSettled('committed');
        task.post({type: 'committed', batch, outcomes: answer});
      },
      (error: Error) => {
        recordSettled('rejected');
        task.post({type: 'rejected', batch, error});
      },
    );
  }

  function decide(projected: State, view: StateView): Plan {
    const round = {
      state: projected,
      load: view.load,
      backlog: view.backlog,
      candidatesIn: (pool: string) =>
        time('candidates', () => collectCandidates(view, pool)),
      nowMs: Date.now(),
      durations,
      advisedWorkers: advice.advisedWorkers(),
      order,
      placement,
    };
    return time('plan', () => plan(round));
  }

  /** The workers of a pool that may get new runs. */
  function collectCandidates(
    {load, fleet}: StateView,
    pool: string,
  ): Candidate[] {
    const workers = fleet.workersIn(pool).filter(isAvailable);
    const avoided = findAvoided(workers);
    const nowMs = performance.now();
    return workers
      .map(worker => ({key: workerKey(worker), worker}))
      .filter(({key}) => !avoided.has(key))
      .map(({key, worker}) => ({
        key,
        worker,
        free: worker.capacity,
        emptyInMs: emptyInMs(key, load),
        quarantined: isQuarantined(health, key, nowMs),
      }));
  }

  /** Whether the worker can get runs, unless it is avoided after failures. */
  function isAvailable(worker: Worker): boolean {
    return isUsable(worker) && !isCordoned(worker.host);
  }

  function findAvoided(workers: readonly Worker[]): ReadonlySet<string> {
    const rows = workers.map(worker => ({
      key: workerKey(worker),
      pool: worker.pool,
    }));
    return findAvoidedWorkers(health, rows, performance.now());
  }

  /** Keys of the workers of all pools that are avoided after failures. */
  function avoidedWorkers(): ReadonlySet<string> {
    if (listQuarantined(health, performance.now()).length === 0) return NO_KEYS;
    return findAvoided(currentView().fleet.workers.filter(isAvailable));
  }

  function emptyInMs(worker: string, load: Load): number {
    const own = load.runsByWorker.get(worker) ?? NO_RUNS;
    return own.reduce(
      (longest, live) => Math.max(longest, remainingMs(live)),
      0,
    );
  }

  /**
   * Expected time until a run ends, counted from its confirmed start; the whole
   * expected duration if no start is confirmed, infinite for a long-running
   * task.
   */
  function remainingMs(live: LiveRun): number {
    const {job, step} = live;
    if (step.lasting) return Infinity;
    const durationMs = expectedDurationMs(durations, job.spec.queue, step);
    const startedMs = runs.startedMs(live.id);
    if (startedMs === undefined) return durationMs;
    const remainingTimeMs = startedMs + durationMs - performance.now();
    // A run that exceeds its expected duration is likely to need more time.
    return Math.max(remainingTimeMs, MIN_REMAINING_SHARE * durationMs);
  }

  /**
   * Whether the worker is ready, answers, and had its runs reconciled by this
   * leader. Its host may still be cordoned, see `isCordoned`.
   */
  function isUsable(worker: Worker): boolean {
    const key = workerKey(worker);
    if (worker.phase !== 'ready' || !dispatcher.isAnswering(key)) return false;
    return reconciledWorkers.has(key);
  }

  /** Whether a run on the worker is decided and not yet in the state. */
  function hasPendingStart(worker: string): boolean {
    return startingWorkers.has(worker);
  }

  function commitEvent(event: Event): Promise<Outcome> {
    return new Promise((resolve, reject) => enqueue(event, {resolve, reject}));
  }

  /** Whether the host gets no new runs because of maintenance or a move. */
  function isCordoned(host: string): boolean {
    return maintenance.isCordoned(host) || rebalancer.isCordoned(host);
  }

  function handleCommitted(batch: Batch, outcomes: readonly Outcome[]): void {
    isCommitPending = false;
    startingWorkers = new Set();
    batch.queued.forEach(({event, reply}, at) => {
      reply?.resolve(outcomes[at]!);
      followUp(event, outcomes[at]!);
    });
    // One message an order, so that a large batch is sent in several turns.
    for (const start of batch.starts) task.post({type: 'order', start});
    instruments.recordOrders(batch.starts.length);
    updateSessions();
    if (isTickDeferred) advanceHosts();
    else if (batch.hasUnplacedTasks) rebalancePools();
    if (queuedEvents.length > 0 || dirty || batch.starts.length > 0)
      scheduleRound();
  }

  /**
   * A rejected change is not applied as long as this process remains the
   * leader. The ends in the change were not acknowledged, so the worker's next
   * report lists them again; their cursor is dropped so that they are recorded
   * then.
   */
  function handleRejected({queued}: Batch, error: Error): void {
    isCommitPending = false;
    startingWorkers = new Set();
    log.warn('change-rejected', {reason: error.message, events: queued.length});
    for (const {event, reply} of queued) {
      reply?.reject(error);
      if (event.type === 'ends') recordedEndCursors.delete(event.worker);
    }
    if (isTickDeferred && options.isLeader()) advanceHosts();
    scheduleRound();
  }

  function followUp(event: Event, outcome: Outcome): void {
    if (event.type === 'ends') {
      if (outcome === 'unknown') {
        // The ends were not recorded, so the worker must not discard them.
        log.warn('ends-unrecorded', {worker: event.worker, upTo: event.upTo});
        return;
      }
      dispatcher.sessionOf(event.worker)?.acknowledge(event.upTo);
      for (const [name, run] of event.ends) {
        runs.forget(runId(name, run));
        logJobEnd(splitTaskName(name).job);
      }
    } else if (event.type === 'lost') {
      for (const [name, run] of event.runs) runs.forget(runId(name, run));
    } else if (event.type === 'worker' && outcome === 'applied') {
      const {worker} = event;
      log.info('worker-changed', {
        worker: workerKey(worker),
        pool: worker.pool,
        phase: worker.phase,
        host: worker.host,
        sequence: worker.sequence,
      });
    }
  }

  /** Logs how a job ended, with the time since it was due and its objective. */
  function logJobEnd(id: string): void {
    const job = state().jobs.get(id);
    if (!job || job.phase === 'active' || !retention.recordEnd(id)) return;
    const {tables} = state();
    const queue = queuesByName(tables).get(job.spec.queue);
    const nowMs = Date.now();
    log.info('job-ended', {
      job: id,
      queue: job.spec.queue,
      phase: job.phase,
      tookMs: nowMs - dueAtMs(job, occurrenceCount(job.spec) - 1),
      ...(queue && {
        objectiveMs: Math.round(
          objectiveMs({job, queue, occurrence: 0, nowMs, durations}),
        ),
      }),
    });
  }

  // Timer

  function handleTick(): void {
    tickTimer = setTimeout(() => task.post({type: 'tick'}), TICK_INTERVAL_MS);
    reportState();
    if (isCommitPending || !options.isLeader()) {
      queuedEvents = rejectExpired(queuedEvents, performance.now());
    }
    if (!options.isLeader()) return;
    time('registry', () => registry.expire());
    const expired = retention.listExpired(state());
    if (expired.length > 0) enqueue({type: 'forget', jobs: expired});
    recordStatistics();
    dirty = true;
    // The views describe the projection of a pending change. To look at the
    // recorded state in between would take them back and forth once more.
    if (isCommitPending) {
      isTickDeferred = true;
      return;
    }
    updateSessions();
    advanceHosts();
    runRound();
  }

  /** The part of a tick that needs the views of the recorded state. */
  function advanceHosts(): void {
    isTickDeferred = false;
    time('maintenance', () => maintenance.tick(currentView()));
    rebalancePools();
  }

  /** Records the learnt durations, so that the next leader begins with them. */
  function recordStatistics(): void {
    const nowMs = performance.now();
    if (nowMs - statisticsRecordedMs < STATISTICS_INTERVAL_MS) return;
    statisticsRecordedMs = nowMs;
    const recorded = state().statistics;
    const rows = durations.byQueue
      .values()
      .filter(row => recorded.get(row.queue)?.mean !== row.mean);
    if (rows.length > 0) enqueue({type: 'statistics', rows});
  }

  function rebalancePools(): void {
    const startMs = performance.now();
    if (startMs < nextRebalanceMs) return;
    time('rebalance', () => rebalancer.tick(currentView()));
    const endMs = performance.now();
    const pauseMs = (endMs - startMs) / MAX_REBALANCE_SHARE;
    nextRebalanceMs = endMs + Math.max(REBALANCE_PAUSE_MS, pauseMs);
  }

  function updateSessions(): void {
    time('sessions', () => {
      dispatcher.syncSessions();
      dispatcher.stopSurplus(currentView());
    });
  }

  /** Logs the state of the leader and of the fleet at intervals. */
  function reportState(): void {
    const queue = {
      queued: queuedEvents.length,
      oldestMs: queuedEvents[0]?.queuedMs,
      isCurrent: options.isLeader(),
    };
    instruments.report(queue, () => {
      const hosts = inventory.hosts();
      const {workers, tables} = state();
      const standby = tables.pools.filter(pool => pool.standby);
      return (
        hosts && {
          ...countHosts({
            hosts,
            workers: workers.values(),
            standbyPools: new Set(standby.map(({name}) => name)),
            isUsable,
            isAnswering: dispatcher.isAnswering,
            isMoving: host => rebalancer.isCordoned(host),
            isInWave: host => maintenance.isCordoned(host),
          }),
        }
      );
    });
  }

  dispatcher.syncSessions();
  task.post({type: 'tick'});
  log.info('leading', {
    token,
    workers: state().workers.size,
    jobs: state().jobs.size,
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
    announce: worker => ask(reply => ({type: 'announce', worker, reply})),
    leave: worker => ask(reply => ({type: 'leave', worker, reply})),
    async stop() {
      isStopped = true;
      clearTimeout(roundTimer);
      clearTimeout(tickTimer);
      maintenance.stop();
      rebalancer.stop();
      registry.stop();
      instruments.stop();
      // None of these was proposed, so none of them has an effect.
      for (const {reply} of queuedEvents) {
        reply?.reject(new NotLeader(undefined));
      }
      await dispatcher.close();
      await task.stop();
    },
  };
}
