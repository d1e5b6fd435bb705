/**
 * The leader's task: it turns requests, reports and time into changes of the
 * replicated state, one at a time, and sends orders only for what is durable.
 *
 * A round is a pipe: `gather → plan → commit → order`.
 */
import type {Replica} from '@lentildrift/consensus';
import type {Latency, Log, Metrics} from '@lentildrift/observe';
import {
  apply,
  dueAtMs,
  parseTaskKey,
  splitTaskName,
  stepKey,
  taskName,
  occurrenceCount,
  workerKey,
  type Change,
  type Event,
  type Outcome,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {
  DeadlineOrder,
  ElasticPools,
  isQuarantined,
  recordDuration,
  measureLoad,
  createDurations,
  expectedDurationMs,
  objectiveMs,
  recordRunEnds,
  plan,
  PackPlacement,
  type Candidate,
  type Durations,
  type Health,
  type JobOrder,
  type LiveRun,
  type Load,
  type Placement,
  type Plan,
  type PoolPolicy,
} from '@lentildrift/scheduling';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import {createAdvice, type Advice} from './advice.js';
import {takeBatch, type Batch, type QueuedEvent} from './batch.js';
import type {SessionEvent} from './session.js';
import type {WorkerDriver} from './driver.js';
import type {Duties} from './duties.js';
import {createInventory} from './inventory.js';
import {createMaintenance, type Maintenance} from './maintenance.js';
import {createDispatcher, type Dispatcher} from './dispatcher.js';
import {createPacing, type Pacing} from './pacing.js';
import {createReadiness, type Readiness} from './readiness.js';
import type {Adviser, HostProvider} from './provider.js';
import {createRebalance, type Rebalance} from './rebalance.js';
import {liveRunId, reconcile, runId} from './reconcile.js';
import {createRegistry, type Registry} from './registry.js';
import {createRunTracker} from './tracker.js';
import {
  RETAIN_MS,
  ROUND_INTERVAL_MS,
  STATISTICS_MS,
  TICK_MS,
} from './timing.js';

export type QueueReplica = Replica<State, Change, readonly Outcome[]>;

export interface LeaderOptions {
  readonly replica: QueueReplica;
  /** Rises with each leader; every order carries it. */
  readonly token: number;
  /** Name of this process towards the provider of hosts. */
  readonly holder: string;
  /** Name of this start of the process, in the records of its orders. */
  readonly process: string;
  readonly duties: Duties;
  readonly driver: WorkerDriver;
  readonly hosts: HostProvider;
  readonly adviser: Adviser;
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly order?: JobOrder;
  readonly placement?: Placement;
  readonly pools?: PoolPolicy;
  /** Whether this process still leads, as far as it can know. */
  isLeader(): boolean;
}

export interface Leader {
  /** Resolves once the event is durable and applied. */
  commit(event: Event): Promise<Outcome>;
  /** Resolves once the directory has taken the announcement. */
  announce(worker: Worker): Promise<void>;
  leave(worker: string): Promise<void>;
  stop(): Promise<void>;
}

type Message =
  | {type: 'commit'; event: Event; reply: Reply<Outcome>}
  | {type: 'announce'; worker: Worker; reply: Reply<void>}
  | {type: 'leave'; worker: string; reply: Reply<void>}
  | {type: 'news'; news: SessionEvent}
  | {type: 'round'}
  | {type: 'tick'}
  | {type: 'committed'; batch: Batch; outcomes: readonly Outcome[]}
  | {type: 'rejected'; batch: Batch; error: Error};

/** Longest wait for a commit; leadership is lost well before. */
const COMMIT_TIMEOUT_MS = 10_000;
/** Part of a run's duration that is expected once it is over. */
const OVERDUE_SHARE = 0.25;
/** Hosts are not divided more often, however many rounds find no room. */
const DIVIDE_PAUSE_MS = 30;

export function startLeader(options: LeaderOptions): Leader {
  const {replica, token, driver, tasks, log, metrics} = options;
  const order = options.order ?? new DeadlineOrder();
  const placement = options.placement ?? new PackPlacement();
  const roundTime: Latency = metrics.latency(
    'lentildrift_round_duration_seconds',
    'Processor time of a decision round.',
    1,
  );
  const surveyed = new Set<string>();
  const recordedEnds = new Map<string, number>();
  const endedMs = new Map<string, number>();
  const runs = createRunTracker(
    measureLoad(replica.state()).runs.map(liveRunId),
  );
  let queue: QueuedEvent[] = [];
  let health: Health = new Map();
  let durations: Durations = createDurations(
    replica.state().statistics.values(),
  );
  let statisticsMs = performance.now();
  let outstanding = false;
  let dividedMs = -Infinity;
  let dirty = true;
  let roundTimer: NodeJS.Timeout | undefined;
  let tickTimer: NodeJS.Timeout | undefined;
  let ended = false;
  let cachedLoad: {state: State; load: Load} | undefined;

  const task: Task<Message> = tasks.spawn<null, Message>({
    name: `leader-${token}`,
    initial: null,
    handle(state, message) {
      if (!ended) handle(message);
      return state;
    },
    afterStop() {
      clearTimeout(roundTimer);
      clearTimeout(tickTimer);
    },
  });
  const advice: Advice = createAdvice({
    adviser: options.adviser,
    log,
    onChange: touch,
  });
  const orders: Dispatcher = createDispatcher({
    ...options,
    runs,
    advice,
    state,
    onEvent: news => void task.post({type: 'news', news}),
    onClosed({worker}) {
      const key = workerKey(worker);
      surveyed.delete(key);
      recordedEnds.delete(key);
      presence.forget(key);
      pacing.forget(worker.id);
    },
    onUndeliverable: row => enqueue({type: 'lost', runs: [row]}),
  });
  const registry: Registry = createRegistry({
    token,
    driver,
    runs,
    log,
    state,
    recordedRuns: runsOn,
    sessionOf: orders.sessionOf,
    enqueue,
  });
  const presence: Readiness = createReadiness({
    isAnswering: orders.isAnswering,
    isStopping: id => runs.isStopping(id),
  });
  const pacing: Pacing = createPacing(log);
  const inventory = createInventory(options.hosts, log);
  const duty = {
    holder: options.holder,
    token,
    isCurrent: () => !ended && options.isLeader(),
  };
  const {process} = options;
  const isGuarded = (host: string) => options.duties.isGuarded(host);
  const maintenance: Maintenance = createMaintenance({
    replica,
    duty,
    process,
    provider: options.hosts,
    inventory,
    readiness: presence,
    log,
    isMoving: host => rebalance.isHeld(host),
    isGuarded,
    commit: event => enqueue(event),
    stopRun: orders.stop,
    isLeader: options.isLeader,
  });
  const rebalance: Rebalance = createRebalance({
    policy: options.pools ?? new ElasticPools(),
    provider: options.hosts,
    inventory,
    duty,
    log,
    state,
    record: duty => commitOwn({type: 'duty', duty: {...duty, by: process}}),
    isGuarded,
    isLeader: options.isLeader,
    onWorkerGone: worker => enqueue({type: 'worker-gone', worker}),
    isInWave: host => maintenance.isHeld(host),
    isUsable,
    emptyInMs,
    durations: () => durations,
  });

  function handle(message: Message): void {
    switch (message.type) {
      case 'commit':
        enqueue(message.event, message.reply);
        return;
      case 'announce':
        registry.announce(message.worker, message.reply);
        return;
      case 'leave':
        registry.leave(message.worker, message.reply);
        return;
      case 'news':
        take(message.news);
        return;
      case 'round':
        round();
        return;
      case 'tick':
        tick();
        return;
      case 'committed':
        committed(message.batch, message.outcomes);
        return;
      case 'rejected':
        rejected(message.batch, message.error);
    }
  }

  function state(): State {
    return replica.state();
  }

  function loadNow(): Load {
    const current = state();
    if (cachedLoad?.state !== current) {
      cachedLoad = {state: current, load: measureLoad(current)};
    }
    return cachedLoad.load;
  }

  function runsOn(key: string): LiveRun[] {
    return loadNow().runs.filter(live => live.run.worker === key);
  }

  function touch(): void {
    dirty = true;
    if (outstanding || roundTimer || ended) return;
    roundTimer = setTimeout(() => {
      roundTimer = undefined;
      task.post({type: 'round'});
    }, ROUND_INTERVAL_MS);
  }

  function enqueue(event: Event, reply?: Reply<Outcome>): void {
    queue.push(reply ? {event, reply} : {event});
    touch();
  }

  // Reports

  function take(news: SessionEvent): void {
    if (!orders.sessionOf(news.key)) return;
    switch (news.type) {
      case 'report':
        report(news);
        return;
      case 'silent':
        touch();
        return;
      case 'start':
        startSettled(news);
        return;
      case 'stop':
        runs.markSettled(runId(news.task, news.run));
    }
  }

  function startSettled(news: Extract<SessionEvent, {type: 'start'}>): void {
    const {key, task: name, run, answer} = news;
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
    advice.refused(name, answer.reason);
    // It may have run, or its end may wait for a report to be noticed.
    if (answer.reason === 'withdrawn' || answer.reason === 'superseded') return;
    enqueue({type: 'lost', runs: [[name, run, key]]});
  }

  function report(news: Extract<SessionEvent, {type: 'report'}>): void {
    const {key, report: said, sentMs} = news;
    const contact = orders.sessionOf(key)!;
    const current = state().workers.get(contact.worker.id);
    if (!current || workerKey(current) !== key) return;
    const recorded = runsOn(key);
    const cursor = Math.max(recordedEnds.get(key) ?? 0, current.cursor);
    const findings = reconcile({
      worker: current,
      report: said,
      recorded,
      cursor,
      isSettled: id => runs.isSettled(id, sentMs),
    });
    if (!surveyed.has(key)) {
      surveyed.add(key);
      log.info('worker-surveyed', {
        worker: key,
        running: said.running.length,
        recorded: recorded.length,
      });
    }
    for (const id of findings.confirmed) runs.markReported(id);
    for (const event of findings.events) takeFinding(key, event);
    for (const {task: name, run} of findings.unexpected) {
      log.warn('stray-run', {worker: key, task: name, run});
      contact.stop(name, run);
    }
    presence.observe(key, said);
    pacing.observe(contact, said, recorded);
    touch();
  }

  function takeFinding(key: string, event: Event): void {
    if (event.type === 'ends') {
      recordedEnds.set(key, event.upTo);
      health = recordRunEnds(health, key, event.ends, performance.now());
      for (const [name, run, how] of event.ends) noteEnd(key, name, run, how);
    } else if (event.type === 'lost') {
      log.info('runs-lost', {worker: key, count: event.runs.length});
    }
    enqueue(event);
  }

  function noteEnd(key: string, name: string, run: number, how: string): void {
    const id = runId(name, run);
    const began = runs.startedMs(id);
    const job = state().jobs.get(splitTaskName(name).job);
    if (how === 'done' && began !== undefined && job && run === 1) {
      const {job: id, key: place} = splitTaskName(name);
      const {occurrence, step} = parseTaskKey(place);
      durations = recordDuration(durations, {
        queue: job.spec.queue,
        stepName: taskName(id, stepKey(occurrence, step)),
        step: job.spec.steps[step]!,
        durationMs: performance.now() - began,
      });
    }
    if (how !== 'done') {
      log.info('run-ended', {worker: key, task: name, run, how});
    }
  }

  // Rounds

  function round(): void {
    if (outstanding || !options.isLeader()) return;
    if (!dirty && queue.length === 0) return;
    dirty = false;
    const begunMs = performance.now();
    const {taken: queued, rest} = takeBatch(queue);
    queue = rest;
    const events = queued.map(({event}) => event);
    const base = state();
    const projected = events.length > 0 ? apply(base, {events}).state : base;
    const decided = decide(projected);
    roundTime.record({}, performance.now() - begunMs);
    advice.request(decided.stepsAwaitingAdvice, poolWorkers);
    const {starts} = decided;
    if (starts.length > 0) {
      events.push({type: 'start', runs: [...starts]});
    }
    if (events.length === 0) return;
    if (queue.length > 0) dirty = true;
    outstanding = true;
    const batch = {
      queued,
      starts,
      hasUnplacedTasks: decided.shortPools.size > 0,
    };
    replica.propose({events}).then(
      ({answer}) => task.post({type: 'committed', batch, outcomes: answer}),
      (error: Error) => task.post({type: 'rejected', batch, error}),
    );
  }

  function decide(projected: State): Plan {
    const load = projected === state() ? loadNow() : measureLoad(projected);
    return plan({
      state: projected,
      load,
      workers: candidates(projected, load),
      nowMs: Date.now(),
      durations,
      advisedWorkers: advice.allowed(),
      order,
      placement,
    });
  }

  function candidates(projected: State, load: Load): Candidate[] {
    const nowMs = performance.now();
    const usable: Candidate[] = [];
    const bad: Candidate[] = [];
    for (const worker of projected.workers.values()) {
      const key = workerKey(worker);
      if (!isUsable(worker) || isHeld(worker.host)) continue;
      const quarantined = isQuarantined(health, key, nowMs);
      const candidate = {
        key,
        worker,
        free: worker.capacity,
        emptyInMs: emptyInMs(key, load),
        quarantined,
      };
      (quarantined ? bad : usable).push(candidate);
    }
    // With most workers in doubt, the jobs are the likelier cause.
    return bad.length > usable.length ? [...usable, ...bad] : usable;
  }

  function emptyInMs(worker: string, load: Load): number {
    const own = load.runs.filter(({run}) => run.worker === worker);
    return Math.max(0, ...own.map(remainingMs));
  }

  /** Expected time until a run ends, counted from its confirmed start. */
  function remainingMs(live: LiveRun): number {
    const {job, step} = live;
    if (step.lasting) return Infinity;
    const lastsMs = expectedDurationMs(durations, job.spec.queue, step);
    const begunMs = runs.startedMs(liveRunId(live));
    if (begunMs === undefined) return lastsMs;
    const leftMs = begunMs + lastsMs - performance.now();
    // What lasts longer than expected will go on for a while.
    return Math.max(leftMs, OVERDUE_SHARE * lastsMs);
  }

  /** Whether the worker can get runs, apart from its host's duties. */
  function isUsable(worker: Worker): boolean {
    const key = workerKey(worker);
    if (worker.phase !== 'ready' || !orders.isAnswering(key)) return false;
    return surveyed.has(key);
  }

  function commitOwn(event: Event): Promise<Outcome> {
    return new Promise((resolve, reject) => enqueue(event, {resolve, reject}));
  }

  function isHeld(host: string): boolean {
    return maintenance.isHeld(host) || rebalance.isHeld(host);
  }

  function poolWorkers(pool: string): Worker[] {
    return [...state().workers.values()].filter(
      worker => worker.pool === pool && worker.phase === 'ready',
    );
  }

  function committed(batch: Batch, outcomes: readonly Outcome[]): void {
    outstanding = false;
    batch.queued.forEach(({event, reply}, at) => {
      reply?.resolve(outcomes[at]!);
      followUp(event, outcomes[at]!);
    });
    for (const row of batch.starts) orders.start(row);
    orders.syncSessions();
    orders.stopSurplus(loadNow().runs);
    if (batch.hasUnplacedTasks) divideHosts();
    if (queue.length > 0 || dirty || batch.starts.length > 0) touch();
  }

  /**
   * The change is not made while this process leads on. Its ends were not
   * acknowledged: the next report lists them again.
   */
  function rejected({queued}: Batch, error: Error): void {
    outstanding = false;
    log.warn('change-lost', {reason: error.message, events: queued.length});
    for (const {event, reply} of queued) {
      reply?.reject(error);
      if (event.type === 'ends') recordedEnds.delete(event.worker);
    }
    touch();
  }

  function followUp(event: Event, outcome: Outcome): void {
    if (event.type === 'ends') {
      if (outcome === 'unknown') {
        // They were not recorded, so they must not be forgotten.
        log.warn('ends-unrecorded', {worker: event.worker, upTo: event.upTo});
        return;
      }
      orders.sessionOf(event.worker)?.acknowledge(event.upTo);
      for (const [name, run] of event.ends) {
        runs.forget(runId(name, run));
        noteJobEnd(splitTaskName(name).job);
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

  /** Says how a job ended, and how that compares with its objective. */
  function noteJobEnd(id: string): void {
    const job = state().jobs.get(id);
    if (!job || job.phase === 'active' || endedMs.has(id)) return;
    endedMs.set(id, performance.now());
    const {tables} = state();
    const queue = tables.queues.find(({name}) => name === job.spec.queue);
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

  // Time

  function tick(): void {
    tickTimer = setTimeout(() => task.post({type: 'tick'}), TICK_MS);
    if (!options.isLeader()) return;
    orders.syncSessions();
    orders.stopSurplus(loadNow().runs);
    registry.expire();
    forgetJobs();
    recordStatistics();
    maintenance.tick(loadNow());
    divideHosts();
    dirty = true;
    if (!outstanding) round();
  }

  /** The next leader begins with what this one has learnt. */
  function recordStatistics(): void {
    const nowMs = performance.now();
    if (nowMs - statisticsMs < STATISTICS_MS) return;
    statisticsMs = nowMs;
    const recorded = state().statistics;
    const rows = [...durations.byQueue.values()].filter(
      row => recorded.get(row.queue)?.mean !== row.mean,
    );
    if (rows.length > 0) enqueue({type: 'statistics', rows});
  }

  function divideHosts(): void {
    const nowMs = performance.now();
    if (nowMs - dividedMs < DIVIDE_PAUSE_MS) return;
    dividedMs = nowMs;
    rebalance.tick(loadNow());
  }

  /** Ended jobs are kept for those that still ask for them. */
  function forgetJobs(): void {
    const nowMs = performance.now();
    const old: string[] = [];
    for (const {spec, phase, tasks: left} of state().jobs.values()) {
      if (phase === 'active' || Object.keys(left).length > 0) continue;
      const since = endedMs.get(spec.id) ?? nowMs;
      endedMs.set(spec.id, since);
      if (nowMs - since > RETAIN_MS) old.push(spec.id);
    }
    if (old.length === 0) return;
    for (const id of old) endedMs.delete(id);
    enqueue({type: 'forget', jobs: old});
  }

  orders.syncSessions();
  task.post({type: 'tick'});
  log.info('leading', {
    token,
    workers: state().workers.size,
    jobs: state().jobs.size,
  });
  return {
    commit: event =>
      task.ask(reply => ({type: 'commit', event, reply}), COMMIT_TIMEOUT_MS),
    announce: worker =>
      task.ask(reply => ({type: 'announce', worker, reply}), COMMIT_TIMEOUT_MS),
    leave: worker =>
      task.ask(reply => ({type: 'leave', worker, reply}), COMMIT_TIMEOUT_MS),
    async stop() {
      ended = true;
      clearTimeout(roundTimer);
      clearTimeout(tickTimer);
      maintenance.stop();
      rebalance.stop();
      registry.stop();
      for (const {reply} of queue) {
        reply?.reject(new Error('no longer the leader'));
      }
      await orders.close();
      await task.stop();
    },
  };
}
