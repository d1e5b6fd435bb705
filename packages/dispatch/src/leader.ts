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
  splitTaskName,
  taskName,
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
  isQuarantined,
  learn,
  measureLoad,
  NO_DURATIONS,
  observeEnds,
  plan,
  Pack,
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
import {openContact, type Contact, type ContactNews} from './contact.js';
import {judge} from './directory.js';
import type {WorkerDriver} from './driver.js';
import {createInventory} from './inventory.js';
import {createMaintenance, type Maintenance} from './maintenance.js';
import {createPacing, type Pacing} from './pacing.js';
import {createPresence, type Presence} from './presence.js';
import type {Adviser, HostProvider} from './provider.js';
import {createRebalance, type Rebalance} from './rebalance.js';
import {isSurplus, liveRunId, lostRow, reconcile, runId} from './reconcile.js';
import {
  DUTY_MEMORY_MS,
  DUTY_PAUSE_MS,
  LEFT_GRACE_MS,
  RETRY_PAUSE_MS,
  ROUND_INTERVAL_MS,
  TICK_MS,
  WORKER_EXPIRY_MS,
} from './timing.js';

export type QueueReplica = Replica<State, Change, readonly Outcome[]>;

export interface LeaderOptions {
  readonly replica: QueueReplica;
  /** Rises with each leader; every order carries it. */
  readonly token: number;
  /** Name of this process towards the provider of hosts. */
  readonly holder: string;
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
  | {type: 'news'; news: ContactNews}
  | {type: 'round'}
  | {type: 'tick'}
  | {type: 'committed'; batch: Batch; outcomes: readonly Outcome[]}
  | {type: 'rejected'; batch: Batch; error: Error};

interface Queued {
  readonly event: Event;
  readonly reply?: Reply<Outcome>;
}

interface Batch {
  readonly queued: readonly Queued[];
  readonly starts: readonly StartRow[];
}

/** Longest wait for a commit; leadership is lost well before. */
const COMMIT_TIMEOUT_MS = 10_000;

export function startLeader(options: LeaderOptions): Leader {
  const {replica, token, driver, tasks, log, metrics} = options;
  const order = options.order ?? new DeadlineOrder();
  const placement = options.placement ?? new Pack();
  const startedTasks = metrics.counter(
    'lentildrift_task_starts_total',
    'Runs that were ordered.',
    1,
  );
  const roundTime: Latency = metrics.latency(
    'lentildrift_round_duration_seconds',
    'Processor time of a decision round.',
    1,
  );
  const firstStart: Latency = metrics.latency(
    'lentildrift_first_start_seconds',
    'Time from the acceptance of a job to its first order.',
    1,
  );

  const openedMs = performance.now();
  const takeoverMs = Date.now();
  const earlierDuties = replica.state().duties;
  const contacts = new Map<string, Contact>();
  const surveyed = new Set<string>();
  const recordedEnds = new Map<string, number>();
  const heardMs = new Map<string, number>();
  const leftMs = new Map<string, number>();
  /** Runs that an earlier leader ordered; a survey settles them. */
  const inherited = new Set(measureLoad(replica.state()).runs.map(liveRunId));
  const settledMs = new Map<string, number>();
  const startedMs = new Map<string, number>();
  const seen = new Set<string>();
  const stopOrders = new Set<string>();
  const rebirths = new Set<string>();
  let queue: Queued[] = [];
  let health: Health = new Map();
  let durations: Durations = NO_DURATIONS;
  let outstanding = false;
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
  const presence: Presence = createPresence({
    isAnswering: key => contacts.get(key)?.isAnswering() ?? false,
    isStopping: id => stopOrders.has(id),
  });
  const pacing: Pacing = createPacing(log);
  const inventory = createInventory(options.hosts, log);
  const duty = {holder: options.holder, token};
  const maintenance: Maintenance = createMaintenance({
    replica,
    duty,
    provider: options.hosts,
    inventory,
    presence,
    log,
    isMoving: host => rebalance.isHeld(host),
    isGuarded,
    commit: event => enqueue(event),
    stopRun: live => stopRun(live.run.worker, liveRunId(live), live),
    isLeader: options.isLeader,
  });
  const rebalance: Rebalance = createRebalance({
    policy: options.pools ?? new ElasticPools(),
    provider: options.hosts,
    inventory,
    duty,
    log,
    state,
    record: duty => commitOwn({type: 'duty', duty}),
    isGuarded,
    isLeader: options.isLeader,
    onWorkerGone: worker => enqueue({type: 'worker-gone', worker}),
    isInWave: host => maintenance.isHeld(host),
    isUsable: worker =>
      worker.phase === 'ready' &&
      (contacts.get(workerKey(worker))?.isAnswering() ?? false),
  });

  function handle(message: Message): void {
    switch (message.type) {
      case 'commit':
        enqueue(message.event, message.reply);
        return;
      case 'announce':
        announced(message.worker, message.reply);
        return;
      case 'leave':
        left(message.worker, message.reply);
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
        outstanding = false;
        for (const {reply} of message.batch.queued)
          reply?.reject(message.error);
        log.warn('change-lost', {reason: message.error.message});
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

  // Announcements

  function announced(worker: Worker, reply: Reply<void>): void {
    const known = state().workers.get(worker.id);
    const news = judge(known, worker);
    if (news !== 'stale') heardMs.set(workerKey(worker), performance.now());
    if (news === 'stale' || news === 'alive') {
      reply.resolve();
      return;
    }
    if (news !== 'reborn') {
      record(worker, reply);
      return;
    }
    void withdrawUnseen(known!, worker, reply);
  }

  function record(worker: Worker, reply: Reply<void>): void {
    enqueue(
      {type: 'worker', worker},
      {resolve: () => reply.resolve(), reject: error => reply.reject(error)},
    );
  }

  /**
   * An order to the old incarnation that is still under way would be carried
   * out by the new one, which has seen no token and no run. Each run that the
   * old one was not seen to have is stopped at the new one first.
   */
  async function withdrawUnseen(
    old: Worker,
    worker: Worker,
    reply: Reply<void>,
  ): Promise<void> {
    const key = workerKey(worker);
    if (rebirths.has(key)) {
      reply.reject(new Error(`${key} is being taken over`));
      return;
    }
    rebirths.add(key);
    await contacts.get(workerKey(old))?.end();
    const unseen = loadNow().runs.filter(
      live => live.run.worker === workerKey(old) && !seen.has(liveRunId(live)),
    );
    const target = {id: worker.id, address: worker.address};
    for (const live of unseen) {
      const order = {
        task: taskName(live.job.spec.id, live.key),
        run: live.run.number,
        token,
      };
      while (!ended) {
        const done = await driver.stop(target, order).then(
          () => true,
          () => false,
        );
        if (done) break;
        await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
      }
    }
    rebirths.delete(key);
    if (ended) reply.reject(new Error('no longer the leader'));
    else record(worker, reply);
  }

  function left(id: string, reply: Reply<void>): void {
    const known = state().workers.get(id);
    if (!known || known.phase === 'gone') {
      reply.resolve();
      return;
    }
    record({...known, phase: 'gone'}, reply);
  }

  // Reports

  function take(news: ContactNews): void {
    if (!contacts.has(news.key)) return;
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
        settledMs.set(runId(news.task, news.run), performance.now());
    }
  }

  function startSettled(news: Extract<ContactNews, {type: 'start'}>): void {
    const {key, task: name, run, answer} = news;
    const id = runId(name, run);
    settledMs.set(id, performance.now());
    if (answer.ok) {
      startedMs.set(id, performance.now());
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

  function report(news: Extract<ContactNews, {type: 'report'}>): void {
    const {key, report: said, sentMs} = news;
    const worker = contacts.get(key)!.worker;
    const current = state().workers.get(worker.id);
    if (!current || workerKey(current) !== key) return;
    const recorded = loadNow().runs.filter(live => live.run.worker === key);
    const cursor = Math.max(recordedEnds.get(key) ?? 0, current.cursor);
    const findings = reconcile({
      state: state(),
      worker: current,
      report: said,
      recorded,
      cursor,
      // A run may be on record before the message that leads to its order.
      isSettled: id =>
        inherited.has(id) || (settledMs.get(id) ?? Infinity) < sentMs,
    });
    if (!surveyed.has(key)) {
      surveyed.add(key);
      log.info('worker-surveyed', {
        worker: key,
        running: said.running.length,
        recorded: recorded.length,
      });
    }
    for (const id of findings.present) seen.add(id);
    for (const event of findings.events) takeFinding(key, event);
    for (const {task: name, run} of findings.strays) {
      log.warn('stray-run', {worker: key, task: name, run});
      contacts.get(key)!.stop(name, run);
    }
    presence.observe(key, said);
    pacing.observe(contacts.get(key)!, said, recorded);
    touch();
  }

  function takeFinding(key: string, event: Event): void {
    if (event.type === 'ends') {
      recordedEnds.set(key, event.upTo);
      health = observeEnds(health, key, event.ends, performance.now());
      for (const [name, run, how] of event.ends) noteEnd(key, name, run, how);
    } else if (event.type === 'lost') {
      log.info('runs-lost', {worker: key, count: event.runs.length});
    }
    enqueue(event);
  }

  function noteEnd(key: string, name: string, run: number, how: string): void {
    const id = runId(name, run);
    const began = startedMs.get(id);
    const job = state().jobs.get(splitTaskName(name).job);
    if (how === 'done' && began !== undefined && job && run === 1) {
      const took = performance.now() - began;
      durations = learn(durations, job.spec.queue, took);
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
    const queued = queue;
    queue = [];
    const events = queued.map(({event}) => event);
    const base = state();
    const projected = events.length > 0 ? apply(base, {events}).state : base;
    const decided = decide(projected);
    roundTime.record({}, performance.now() - begunMs);
    advice.request(decided.unadvised, poolWorkers);
    const {starts} = decided;
    if (starts.length > 0) {
      events.push({type: 'start', runs: [...starts]});
    }
    if (events.length === 0) return;
    outstanding = true;
    const batch = {queued, starts};
    replica.propose({events}).then(
      ({answer}) => task.post({type: 'committed', batch, outcomes: answer}),
      (error: Error) => task.post({type: 'rejected', batch, error}),
    );
  }

  function decide(projected: State): Plan {
    return plan({
      state: projected,
      load: projected === state() ? loadNow() : measureLoad(projected),
      workers: candidates(projected),
      nowMs: Date.now(),
      durations,
      advised: advice.allowed(),
      order,
      placement,
    });
  }

  function candidates(projected: State): Candidate[] {
    const nowMs = performance.now();
    const usable: Candidate[] = [];
    const bad: Candidate[] = [];
    for (const worker of projected.workers.values()) {
      const key = workerKey(worker);
      const contact = contacts.get(key);
      if (worker.phase !== 'ready' || !contact?.isAnswering()) continue;
      if (!surveyed.has(key) || isHeld(worker.host)) continue;
      const doubtful = isQuarantined(health, key, nowMs);
      const candidate = {key, worker, free: worker.capacity, doubtful};
      (doubtful ? bad : usable).push(candidate);
    }
    // With most workers in doubt, the jobs are the likelier cause.
    return bad.length > usable.length ? [...usable, ...bad] : usable;
  }

  /** Holders of duties take turns with a host only after a pause. */
  function isGuarded(host: string): boolean {
    if (performance.now() - openedMs > DUTY_PAUSE_MS) return false;
    const last = earlierDuties.get(host);
    return last !== undefined && takeoverMs - last.atMs < DUTY_MEMORY_MS;
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
    for (const row of batch.starts) orderStart(row);
    syncContacts();
    stopSurplus();
    if (queue.length > 0 || dirty || batch.starts.length > 0) touch();
  }

  function followUp(event: Event, outcome: Outcome): void {
    if (event.type === 'ends') {
      contacts.get(event.worker)?.acknowledge(event.upTo);
      for (const [name, run] of event.ends) forget(runId(name, run));
    } else if (event.type === 'lost') {
      for (const [name, run] of event.runs) forget(runId(name, run));
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

  function forget(id: string): void {
    inherited.delete(id);
    settledMs.delete(id);
    startedMs.delete(id);
    seen.delete(id);
    stopOrders.delete(id);
  }

  function orderStart([name, run, key]: StartRow): void {
    const contact = contacts.get(key);
    const {job: id, key: place} = splitTaskName(name);
    const job = state().jobs.get(id);
    const record = job?.tasks[place];
    if (!job || !record?.runs.some(each => each.number === run)) return;
    if (!contact) {
      enqueue({type: 'lost', runs: [[name, run, key]]});
      return;
    }
    startedTasks.add({});
    if (run === 1) {
      log.info('task-started', {task: name, worker: key});
      firstStart.record({}, Date.now() - job.acceptedAtMs);
    } else {
      log.info('task-restarted', {task: name, run, worker: key});
    }
    const ticket = advice.ticket(name, contact.worker.id);
    contact.start({
      task: name,
      run,
      payload: job.spec.payload,
      checkpoint: record.checkpoint,
      ...(ticket !== undefined && {ticket}),
    });
  }

  /** One contact for each incarnation in the directory. */
  function syncContacts(): void {
    const wanted = new Set<string>();
    for (const worker of state().workers.values()) {
      const key = workerKey(worker);
      wanted.add(key);
      if (contacts.has(key)) continue;
      contacts.set(
        key,
        openContact({
          worker,
          token,
          driver,
          tasks,
          log,
          isLeader: options.isLeader,
          onNews: news => void task.post({type: 'news', news}),
        }),
      );
    }
    for (const [key, contact] of contacts) {
      if (wanted.has(key)) continue;
      contacts.delete(key);
      surveyed.delete(key);
      recordedEnds.delete(key);
      presence.forget(key);
      pacing.forget(contact.worker.id);
      void contact.end();
    }
  }

  function stopSurplus(): void {
    for (const live of loadNow().runs) {
      const worker = workerOf(live);
      const leaving = worker?.phase === 'draining' && live.step.lasting;
      if (!isSurplus(live) && !leaving) continue;
      stopRun(live.run.worker, liveRunId(live), live);
    }
  }

  function stopRun(key: string, id: string, live: LiveRun): void {
    const contact = contacts.get(key);
    if (!contact || stopOrders.has(id)) return;
    stopOrders.add(id);
    const name = taskName(live.job.spec.id, live.key);
    log.info('task-stopped', {task: name, run: live.run.number, worker: key});
    contact.stop(name, live.run.number);
  }

  function workerOf({run}: LiveRun): Worker | undefined {
    return state().workers.get(
      run.worker.slice(0, run.worker.lastIndexOf('@')),
    );
  }

  // Time

  function tick(): void {
    tickTimer = setTimeout(() => task.post({type: 'tick'}), TICK_MS);
    if (!options.isLeader()) return;
    syncContacts();
    stopSurplus();
    expire();
    maintenance.tick(loadNow());
    rebalance.tick(loadNow());
    dirty = true;
    if (!outstanding) round();
  }

  function expire(): void {
    const nowMs = performance.now();
    for (const worker of state().workers.values()) {
      const key = workerKey(worker);
      const contact = contacts.get(key);
      if (!contact) continue;
      if (worker.phase === 'gone') {
        const since = leftMs.get(key) ?? nowMs;
        leftMs.set(key, since);
        if (nowMs - since > LEFT_GRACE_MS) {
          leftMs.delete(key);
          enqueue({type: 'worker-gone', worker: key});
        }
        continue;
      }
      if (contact.isAnswering() || nowMs < contact.lapsedAtMs()) continue;
      expireRuns(key);
      if (!heardMs.has(key)) heardMs.set(key, nowMs);
      if (nowMs - heardMs.get(key)! > WORKER_EXPIRY_MS) {
        enqueue({type: 'worker-gone', worker: key});
      }
    }
  }

  function expireRuns(key: string): void {
    const runs = loadNow().runs.filter(live => live.run.worker === key);
    if (runs.length === 0) return;
    log.info('lease-lapsed', {worker: key, runs: runs.length});
    enqueue({type: 'lost', runs: runs.map(lostRow)});
  }

  syncContacts();
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
      for (const {reply} of queue) {
        reply?.reject(new Error('no longer the leader'));
      }
      await Promise.all([...contacts.values()].map(contact => contact.end()));
      await task.stop();
    },
  };
}
