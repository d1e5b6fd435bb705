/**
 * The leader's session with one incarnation of a worker: a task that renews the
 * lease of the worker's runs, collects its reports and delivers orders to it.
 */
import type {Log, LogFields} from '@lentildrift/observe';
import {workerKey, type Worker} from '@lentildrift/queue';
import {runId} from '@lentildrift/scheduling';
import {
  createReminder,
  type Reminder,
  type Task,
  type TaskSystem,
} from '@lentildrift/task';
import {
  isStopSettled,
  type OrderAnswer,
  type Report,
  type Target,
  type WorkerDriver,
} from './driver.js';
import {
  HOLD_WAIT_MS,
  LATE_RUN_MS,
  LEASE_MS,
  RETRY_PAUSE_MS,
  STALE_LEADER_MS,
} from './timing.js';
import {createUnconfirmedOrders} from './unconfirmed-orders.js';
import {createWorkerClock} from './worker-clock.js';

/** What the worker needs to start a run, apart from the token and the lease. */
export interface StartSpec {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  readonly ticket?: string;
}

/**
 * What a session reports to its owner. `key` names the worker's incarnation;
 * `sentMs` is the monotonic time at which the report was requested. `start` and
 * `stop` mean that the order for a run is settled, and `start-unanswered` that
 * an attempt to start it may still be under way.
 */
export type SessionEvent =
  | {type: 'report'; key: string; report: Report; sentMs: number}
  | {type: 'silent'; key: string; reason: string}
  | {type: 'start'; key: string; task: string; run: number; answer: StartResult}
  | {type: 'start-unanswered'; key: string; task: string; run: number}
  | {type: 'stop'; key: string; task: string; run: number};

/**
 * How the attempt to start a run ended. A refusal is final, and so are
 * `withdrawn`: the start was unanswered and then revoked by a stop, and
 * `withheld`: it was never sent.
 */
export type StartResult =
  OrderAnswer | {ok: false; reason: 'withdrawn' | 'withheld'};

export interface WorkerSessionOptions {
  readonly worker: Worker;
  /** Where calls to this incarnation of the worker go. */
  readonly target: Target;
  readonly token: number;
  readonly driver: WorkerDriver;
  readonly tasks: TaskSystem;
  readonly log: Log;
  /**
   * Monotonic time after which no earlier leader or session grants the worker a
   * lease; by default `STALE_LEADER_MS` from now.
   */
  readonly inheritedMs?: number;
  /** Whether this process is still the leader; otherwise nothing is sent. */
  isLeader(): boolean;
  /**
   * Whether the order to start the run must not be sent, or not again. Asked
   * right before each attempt, which may come long after the decision to start.
   */
  isWithheld(task: string, run: number): boolean;
  /** Whether holds may grant leases; always if absent. */
  mayGrantLease?(): boolean;
  /** Shortest time between two holds that are answered at once. */
  holdIntervalMs(): number;
  onEvent(event: SessionEvent): void;
  /** Called when a hold is sent; `inFlight` includes it. */
  onHoldSent?(inFlight: number): void;
}

export interface WorkerSession {
  readonly worker: Worker;
  /** Sends the first hold. */
  begin(): void;
  /** Whether the session is open and the worker answered the last hold. */
  isAnswering(): boolean;
  /**
   * Whether the worker was called and has never answered, so that this session
   * has granted it no lease.
   */
  isUnreached(): boolean;
  /**
   * Monotonic time at which the leases that this incarnation of the worker has
   * granted have certainly expired, those asked for by an earlier leader
   * included; infinite while an order to start is held back, and before the
   * worker was called.
   */
  leaseExpiryMs(): number;
  /**
   * Monotonic time at which the run is certainly over if the worker does not
   * answer any more. It is later than `leaseExpiryMs` if nothing shows that this
   * incarnation has carried out the order: the next one may have done so before
   * it was announced.
   */
  runExpiryMs(task: string, run: number): number;
  start(spec: StartSpec): void;
  stop(task: string, run: number): void;
  /**
   * Sends one order, and resolves with whether the worker has carried it out.
   * Never rejects.
   */
  pace(task: string, run: number, percent: number): Promise<boolean>;
  /** Notes that ends up to `cursor` are durable and may be discarded. */
  acknowledge(cursor: number): void;
  /**
   * Sets how long the worker may wait before it answers the next hold, at least
   * `holdIntervalMs`.
   */
  setHoldWaitMs(waitMs: number): void;
  close(): Promise<void>;
}

type Message =
  | {type: 'hold'}
  | {type: 'held'; report: Report; sentMs: number}
  | {type: 'failed'; reason: string}
  | {type: 'acknowledge'; cursor: number};

interface HoldState {
  /** Whether a hold is in flight or scheduled to follow at once. */
  readonly isHolding: boolean;
  /** Ends up to this number are durable. */
  readonly cursor: number;
  /** The worker has reported ends up to this number. */
  readonly reportedCursor: number;
}

/** Attempts to deliver a start before it is revoked by a stop. */
export const START_ATTEMPTS = 2;
/** Longest pause between holds to a worker that does not answer. */
const MAX_RETRY_PAUSE_MS = 800;
/**
 * Longest wait for reported ends to become durable; after that the lease is
 * renewed without them. Such a hold brings the same ends again, and many of them
 * would slow the commits that they wait for. A third of the lease leaves time
 * for two more holds.
 */
const MAX_ACKNOWLEDGE_WAIT_MS = LEASE_MS / 3;

export function openWorkerSession(
  options: WorkerSessionOptions,
): WorkerSession {
  const {worker, target, token, driver, tasks, log} = options;
  const key = workerKey(worker);
  const {mayGrantLease = () => true} = options;
  const clock = createWorkerClock(
    options.inheritedMs ?? performance.now() + STALE_LEADER_MS,
  );
  const orders = createUnconfirmedOrders();
  const stopsInFlight = new Set<string>();
  let isAnswering = false;
  /** Whether a hold was answered, or has failed. */
  let hasCalled = false;
  /** Whether another incarnation has answered a call of this session. */
  let hasOtherAnswered = false;
  let isClosed = false;
  /** Number of orders to start that wait until the leadership is confirmed. */
  let deferredStarts = 0;
  let holdWaitMs = HOLD_WAIT_MS;
  /** Monotonic time at which the last hold was sent. */
  let lastHoldMs = -Infinity;
  let holdsInFlight = 0;
  let retryPauseMs = RETRY_PAUSE_MS;

  const task: Task<Message> = tasks.spawn<HoldState, Message>({
    name: `session-${key}`,
    initial: {
      isHolding: true,
      cursor: worker.cursor,
      reportedCursor: worker.cursor,
    },
    handle(state, message) {
      if (isClosed) return state;
      switch (message.type) {
        case 'hold':
          nextHold.settle();
          void hold(state);
          return {...state, isHolding: true};
        case 'held':
          return handleHeld(state, message.report, message.sentMs);
        case 'failed':
          return handleFailed(state, message.reason);
        case 'acknowledge':
          return handleAcknowledged(state, message.cursor);
      }
    },
    afterStop: () => nextHold.cancel(),
  });
  const nextHold: Reminder = createReminder(() => task.post({type: 'hold'}));

  /**
   * Wait of the next hold. One that ends before the next may be sent would leave
   * a gap in which no end of a run is reported.
   */
  function nextWaitMs(): number {
    return Math.max(holdWaitMs, options.holdIntervalMs());
  }

  async function hold({cursor}: HoldState): Promise<void> {
    if (!options.isLeader()) {
      scheduleHold(RETRY_PAUSE_MS);
      return;
    }
    const sentMs = performance.now();
    lastHoldMs = sentMs;
    options.onHoldSent?.(++holdsInFlight);
    // A hold to a worker that does not answer renews no lease. Over a link that
    // works only towards the worker, the lease would otherwise never expire.
    const isSame = isAnswering && !hasOtherAnswered;
    const leaseUntilMs =
      isSame && mayGrantLease() ? clock.grantLease(LEASE_MS) : undefined;
    try {
      const report = await driver.hold(target, {
        token,
        // The numbers of ends begin anew in each incarnation. While nothing
        // shows that the worker is still the same, another one may be at its
        // address, and would discard ends that nobody has recorded.
        cursor: isSame && !orders.hasUnanswered() ? cursor : 0,
        waitMs: leaseUntilMs === undefined ? 0 : nextWaitMs(),
        ...(leaseUntilMs !== undefined && {leaseUntilMs}),
      });
      if (report.bornMs !== worker.bornMs) {
        noteOtherIncarnation({bornMs: report.bornMs});
        throw new OtherIncarnationError();
      }
      task.post({type: 'held', report, sentMs});
    } catch (error) {
      task.post({type: 'failed', reason: (error as Error).message});
    } finally {
      holdsInFlight--;
    }
  }

  function noteOtherIncarnation(evidence: LogFields): void {
    if (hasOtherAnswered) return;
    hasOtherAnswered = true;
    log.info('incarnation-differs', {worker: key, ...evidence});
  }

  function handleHeld(
    state: HoldState,
    report: Report,
    sentMs: number,
  ): HoldState {
    hasCalled = true;
    clock.observe(report.clockMs);
    orders.confirm(report, sentMs);
    if (!isAnswering) log.info('worker-answers', {worker: key});
    isAnswering = true;
    retryPauseMs = RETRY_PAUSE_MS;
    const reportedCursor = report.ended.reduce(
      (last, {number}) => Math.max(last, number),
      state.reportedCursor,
    );
    options.onEvent({type: 'report', key, report, sentMs});
    const next = {...state, reportedCursor};
    // The worker answers a hold at once while any end is unacknowledged.
    if (next.cursor < reportedCursor) scheduleHold(MAX_ACKNOWLEDGE_WAIT_MS);
    else scheduleNextHold();
    return {...next, isHolding: false};
  }

  function handleFailed(state: HoldState, reason: string): HoldState {
    if (isAnswering) log.info('worker-silent', {worker: key, reason});
    isAnswering = false;
    hasCalled = true;
    options.onEvent({type: 'silent', key, reason});
    scheduleHold(retryPauseMs);
    retryPauseMs = Math.min(2 * retryPauseMs, MAX_RETRY_PAUSE_MS);
    return {...state, isHolding: false};
  }

  function handleAcknowledged(state: HoldState, cursor: number): HoldState {
    const next = {...state, cursor: Math.max(state.cursor, cursor)};
    if (!next.isHolding && next.cursor >= next.reportedCursor) {
      scheduleNextHold();
    }
    return next;
  }

  /**
   * Lets the next hold collect the ends of the rest of the interval. One that
   * grants no lease is answered at once.
   */
  function scheduleNextHold(): void {
    const dueMs = lastHoldMs + options.holdIntervalMs();
    const pauseMs = mayGrantLease() ? 0 : RETRY_PAUSE_MS;
    scheduleHold(Math.max(pauseMs, dueMs - performance.now()));
  }

  function scheduleHold(delayMs: number): void {
    if (!isClosed) nextHold.schedule(delayMs);
  }

  async function deliverStart(spec: StartSpec): Promise<void> {
    const {task: name, run} = spec;
    let mayHaveStarted = false;
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt++) {
      // An await without need would defer the order to a turn that sends it
      // with all others.
      if (!options.isLeader()) {
        // Counted until the turn that grants the lease.
        deferredStarts++;
        await waitForLeadership(name, run);
        deferredStarts--;
      }
      // The run is in the replicated state, where the next leader finds it.
      if (isClosed) return;
      if (options.isWithheld(name, run)) {
        if (mayHaveStarted) break;
        const answer = {ok: false, reason: 'withheld'} as const;
        options.onEvent({type: 'start', key, task: name, run, answer});
        return;
      }
      const leaseUntilMs = clock.grantLease(LEASE_MS);
      const earliestClockMs = clock.lastObservedMs();
      const id = runId(name, run);
      orders.recordSent(id);
      try {
        const answer = await driver.start(target, {
          ...spec,
          token,
          leaseUntilMs,
        });
        orders.recordAnswered(id);
        if (answer.ok && (answer.clockMs ?? Infinity) < earliestClockMs) {
          noteOtherIncarnation({clockMs: answer.clockMs});
          const {message} = new OtherIncarnationError();
          task.post({type: 'failed', reason: message});
          break;
        }
        // A refusal of this attempt does not show that an earlier, unanswered
        // one had no effect.
        if (!answer.ok && mayHaveStarted) break;
        options.onEvent({type: 'start', key, task: name, run, answer});
        return;
      } catch (error) {
        mayHaveStarted = true;
        orders.recordUnanswered(id);
        if (!isClosed)
          options.onEvent({type: 'start-unanswered', key, task: name, run});
        log.info('start-unanswered', {
          worker: key,
          task: name,
          run,
          reason: (error as Error).message,
        });
      }
    }
    await deliverStop(name, run);
    const answer = {ok: false, reason: 'withdrawn'} as const;
    if (!isClosed)
      options.onEvent({type: 'start', key, task: name, run, answer});
  }

  /**
   * Waits while the leadership of this process is not confirmed. It may be
   * confirmed again, for instance after a step of the wall clock, so an order
   * must not be dropped; the session is closed when the leadership ends.
   */
  async function waitForLeadership(name: string, run: number): Promise<void> {
    const sinceMs = performance.now();
    while (!isClosed && !options.isLeader()) {
      await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
    }
    const waitedMs = Math.round(performance.now() - sinceMs);
    log.info('start-deferred', {worker: key, task: name, run, waitedMs});
  }

  /**
   * Retries the stop until the worker can no longer execute the run by its
   * answer, or until the session is closed.
   */
  async function deliverStop(name: string, run: number): Promise<void> {
    while (!isClosed) {
      try {
        if (options.isLeader()) {
          const answer = await driver.stop(target, {task: name, run, token});
          if (isStopSettled(answer)) return;
        }
      } catch (error) {
        log.debug('stop-unanswered', {
          worker: key,
          task: name,
          run,
          reason: (error as Error).message,
        });
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
    }
  }

  // A deferred order grants a lease as soon as it is sent.
  function leaseExpiryMs(): number {
    if (deferredStarts > 0 || !hasCalled) return Infinity;
    return clock.leaseExpiryMs();
  }

  return {
    worker,
    begin: () => nextHold.schedule(0),
    isAnswering: () => isAnswering && !isClosed,
    isUnreached: () =>
      hasCalled && !clock.hasBeenObserved() && !clock.hasGrantedLease(),
    leaseExpiryMs,
    runExpiryMs(name, run) {
      const expiryMs = leaseExpiryMs();
      const id = runId(name, run);
      const isUnconfirmed =
        !clock.hasBeenObserved() || orders.isUnconfirmed(id);
      // An attempt without an answer may still be on its way to it.
      if (hasOtherAnswered && (isUnconfirmed || orders.hadLateAttempt(id))) {
        return expiryMs + LATE_RUN_MS;
      }
      if (!isUnconfirmed) return expiryMs;
      return Math.max(expiryMs, clock.longestLeaseExpiryMs());
    },
    start: spec => void deliverStart(spec),
    stop(name, run) {
      const id = `${name} ${run}`;
      if (stopsInFlight.has(id)) return;
      stopsInFlight.add(id);
      void deliverStop(name, run).then(() => {
        stopsInFlight.delete(id);
        if (!isClosed) options.onEvent({type: 'stop', key, task: name, run});
      });
    },
    async pace(name, run, percent) {
      if (isClosed || !options.isLeader()) return false;
      try {
        const order = {task: name, run, percent, token};
        const answer = await driver.pace(target, order);
        return answer.ok;
      } catch (error) {
        const reason = (error as Error).message;
        log.debug('pace-unanswered', {worker: key, reason});
        return false;
      }
    },
    acknowledge: cursor => void task.post({type: 'acknowledge', cursor}),
    setHoldWaitMs: waitMs => (holdWaitMs = waitMs),
    async close() {
      isClosed = true;
      nextHold.cancel();
      driver.forget(target);
      await task.stop();
    },
  };
}

class OtherIncarnationError extends Error {
  constructor() {
    super('another incarnation of the worker answered');
    this.name = 'OtherIncarnationError';
  }
}
