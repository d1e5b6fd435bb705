/**
 * The contact with one incarnation of a worker: a task that renews the lease,
 * collects reports and delivers orders.
 */
import type {Log} from '@lentildrift/observe';
import {workerKey, type Worker} from '@lentildrift/queue';
import type {Task, TaskSystem} from '@lentildrift/task';
import type {OrderAnswer, Report, WorkerDriver} from './driver.js';
import {
  CLOCK_DRIFT,
  HOLD_WAIT_MS,
  LEASE_MARGIN_MS,
  LEASE_MS,
  RETRY_PAUSE_MS,
  STALE_LEADER_MS,
} from './timing.js';

export interface StartSpec {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  readonly ticket?: string;
}

/** What the contact tells its owner; times are monotonic. */
export type SessionEvent =
  | {type: 'report'; key: string; report: Report; sentMs: number}
  | {type: 'silent'; key: string; reason: string}
  | {type: 'start'; key: string; task: string; run: number; answer: StartResult}
  | {type: 'stop'; key: string; task: string; run: number};

/** How an attempt to start a run ended; `withdrawn` and refusals are final. */
export type StartResult = OrderAnswer | {ok: false; reason: 'withdrawn'};

export interface WorkerSessionOptions {
  readonly worker: Worker;
  readonly token: number;
  readonly driver: WorkerDriver;
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Whether this process still leads; nothing is sent otherwise. */
  isLeader(): boolean;
  onEvent(news: SessionEvent): void;
}

export interface WorkerSession {
  readonly worker: Worker;
  /** Whether the last call was answered. */
  isAnswering(): boolean;
  /** When everything that ran there has certainly lapsed; monotonic. */
  leaseExpiryMs(): number;
  start(spec: StartSpec): void;
  stop(task: string, run: number): void;
  pace(task: string, run: number, percent: number): void;
  /** Ends up to `cursor` are durable. */
  acknowledge(cursor: number): void;
  /** The next hold returns after this time at the latest. */
  setHoldWaitMs(intervalMs: number): void;
  close(): Promise<void>;
}

type Message =
  | {type: 'hold'}
  | {type: 'held'; report: Report; sentMs: number}
  | {type: 'failed'; reason: string}
  | {type: 'acknowledge'; cursor: number};

interface Loop {
  /** A hold is under way or due. */
  readonly busy: boolean;
  readonly cursor: number;
  /** Ends up to this number were reported. */
  readonly reported: number;
}

/** Attempts to deliver a start before it is withdrawn by a stop. */
const START_ATTEMPTS = 2;
/** Longest pause between calls to a worker that does not answer. */
const MAX_PAUSE_MS = 800;
/** Renewing goes on if the record of ends takes longer than this. */
const ACKNOWLEDGE_WAIT_MS = 500;

export function openWorkerSession(
  options: WorkerSessionOptions,
): WorkerSession {
  const {worker, token, driver, tasks, log} = options;
  const key = workerKey(worker);
  const target = {id: worker.id, address: worker.address};
  const clock = createClock();
  const stopping = new Set<string>();
  let answering = false;
  let ended = false;
  let waitMs = HOLD_WAIT_MS;
  let pauseMs = RETRY_PAUSE_MS;
  let timer: NodeJS.Timeout | undefined;

  const task: Task<Message> = tasks.spawn<Loop, Message>({
    name: `contact-${key}`,
    initial: {busy: true, cursor: worker.cursor, reported: worker.cursor},
    handle(loop, message) {
      if (ended) return loop;
      switch (message.type) {
        case 'hold':
          void hold(loop);
          return {...loop, busy: true};
        case 'held':
          return held(loop, message.report, message.sentMs);
        case 'failed':
          return failed(loop, message.reason);
        case 'acknowledge':
          return acknowledged(loop, message.cursor);
      }
    },
    afterStop: () => clearTimeout(timer),
  });

  async function hold({cursor}: Loop): Promise<void> {
    if (!options.isLeader()) {
      later(RETRY_PAUSE_MS);
      return;
    }
    const sentMs = performance.now();
    // A call only looks while the worker does not answer: a lease that is
    // renewed over a link that works one way would never lapse.
    const until = answering ? clock.grant(LEASE_MS) : undefined;
    try {
      const report = await driver.hold(target, {
        token,
        cursor,
        waitMs: until === undefined ? 0 : waitMs,
        ...(until !== undefined && {leaseUntilMs: until}),
      });
      if (report.bornMs !== worker.bornMs) {
        throw new Error('another incarnation answered');
      }
      task.post({type: 'held', report, sentMs});
    } catch (error) {
      task.post({type: 'failed', reason: (error as Error).message});
    }
  }

  function held(loop: Loop, report: Report, sentMs: number): Loop {
    clock.observe(report.clockMs);
    if (!answering) log.info('worker-answers', {worker: key});
    answering = true;
    pauseMs = RETRY_PAUSE_MS;
    const reported = report.ended.reduce(
      (last, {number}) => Math.max(last, number),
      loop.reported,
    );
    options.onEvent({type: 'report', key, report, sentMs});
    const next = {...loop, reported};
    // A hold before the ends are acknowledged would return at once.
    if (next.cursor < reported) later(ACKNOWLEDGE_WAIT_MS);
    else later(0);
    return {...next, busy: false};
  }

  function failed(loop: Loop, reason: string): Loop {
    if (answering) log.info('worker-silent', {worker: key, reason});
    answering = false;
    options.onEvent({type: 'silent', key, reason});
    later(pauseMs);
    pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS);
    return {...loop, busy: false};
  }

  function acknowledged(loop: Loop, cursor: number): Loop {
    const next = {...loop, cursor: Math.max(loop.cursor, cursor)};
    if (!next.busy && next.cursor >= next.reported) later(0);
    return next;
  }

  function later(delayMs: number): void {
    clearTimeout(timer);
    if (ended) return;
    if (delayMs === 0) task.post({type: 'hold'});
    else timer = setTimeout(() => task.post({type: 'hold'}), delayMs);
  }

  async function deliver(spec: StartSpec): Promise<void> {
    const {task: name, run} = spec;
    const leaseUntilMs = clock.grant(LEASE_MS);
    let uncertain = false;
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt++) {
      // The order is on record: whoever leads next finds it there.
      if (ended || !options.isLeader()) return;
      try {
        const answer = await driver.start(target, {
          ...spec,
          token,
          leaseUntilMs,
        });
        // A refusal says nothing about an earlier attempt without an answer.
        if (!answer.ok && uncertain) break;
        options.onEvent({type: 'start', key, task: name, run, answer});
        return;
      } catch (error) {
        uncertain = true;
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
    if (!ended) options.onEvent({type: 'start', key, task: name, run, answer});
  }

  /** Returns once the worker can no longer run it. */
  async function deliverStop(name: string, run: number): Promise<void> {
    while (!ended) {
      try {
        if (options.isLeader()) {
          await driver.stop(target, {task: name, run, token});
          return;
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

  task.post({type: 'hold'});
  return {
    worker,
    isAnswering: () => answering,
    leaseExpiryMs: () => clock.lapsedAtMs(),
    start: spec => void deliver(spec),
    stop(name, run) {
      const id = `${name} ${run}`;
      if (stopping.has(id)) return;
      stopping.add(id);
      void deliverStop(name, run).then(() => {
        stopping.delete(id);
        if (!ended) options.onEvent({type: 'stop', key, task: name, run});
      });
    },
    pace(name, run, percent) {
      driver
        .pace(target, {task: name, run, percent, token})
        .catch((error: Error) =>
          log.debug('pace-unanswered', {worker: key, reason: error.message}),
        );
    },
    acknowledge: cursor => void task.post({type: 'acknowledge', cursor}),
    setHoldWaitMs: intervalMs => (waitMs = intervalMs),
    async close() {
      ended = true;
      clearTimeout(timer);
      driver.forget(target);
      await task.stop();
    },
  };
}

interface Clock {
  nowMs(): number | undefined;
  observe(clockMs: number): void;
  /** End of a lease that begins now, on the worker's clock. */
  grant(leaseMs: number): number;
  lapsedAtMs(): number;
}

/** An estimate of the worker's clock, and the longest lease granted on it. */
function createClock(): Clock {
  const openedMs = performance.now();
  let seen: {clockMs: number; atMs: number} | undefined;
  let grantedUntilMs = 0;

  function nowMs(): number | undefined {
    return seen && seen.clockMs + (performance.now() - seen.atMs);
  }

  return {
    nowMs,
    observe(clockMs) {
      seen = {clockMs, atMs: performance.now()};
    },
    grant(leaseMs) {
      const until = Math.ceil((nowMs() ?? 0) + leaseMs);
      grantedUntilMs = Math.max(grantedUntilMs, until);
      return until;
    },
    lapsedAtMs() {
      // What an earlier leader granted, as long as this one knows no better.
      const inherited =
        openedMs + (STALE_LEADER_MS + LEASE_MS) / (1 - CLOCK_DRIFT);
      if (!seen) return inherited + LEASE_MARGIN_MS;
      const left = (grantedUntilMs - seen.clockMs) / (1 - CLOCK_DRIFT);
      return Math.max(inherited, seen.atMs + left) + LEASE_MARGIN_MS;
    },
  };
}
