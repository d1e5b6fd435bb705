/**
 * Makes the leader's calls to workers through the other control processes.
 *
 * A call takes about a third of a millisecond of processor time, most of it for
 * HTTP, so one process cannot make all calls to thousands of workers. The
 * members of the group that do not lead have little else to do.
 */
import {RequestNotSentError} from '@lentildrift/link';
import type {Counter, Log, Metrics} from '@lentildrift/observe';
import {
  WorkerDriver,
  type HoldOrder,
  type OrderAnswer,
  type Report,
  type RunOrder,
  type StartOrder,
  type Target,
} from './driver.js';
import type {Peer} from './mesh.js';
import {createRelayChoice, type RelayChoice} from './relay-choice.js';
import {createTick} from './tick.js';
import {BATCH_DELAY_MS, ORDER_TIMEOUT_MS} from './timing.js';
import {
  decodeAnswer,
  decodeReport,
  encodeHold,
  encodePace,
  encodeStart,
  encodeStop,
  WorkerReply,
  type WorkerCall,
} from './worker-call.js';

/**
 * A fleet of up to so many workers is called without relays. These calls take
 * about a tenth of a core, and the orders then depend on no other process.
 */
export const MAX_DIRECT_WORKERS = 48;
export interface RelayedDriverOptions {
  /** Makes the calls of this process itself. */
  readonly direct: WorkerDriver;
  /** The control processes that may relay calls, by address. */
  peers(): ReadonlyMap<string, Peer>;
  /** Largest number of workers that are all called without a relay. */
  readonly maxDirectWorkers: number;
  /** Highest term that this process knows. */
  term(): number;
  /** Whether calls to this worker are made for another leader. */
  isServedForOthers(target: Target): boolean;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Time that a relay has beyond its own timeout to report that a worker did not
 * answer. Long enough for a stall of its event loop; a lease still outlasts a
 * hold that is repeated after it.
 */
const RELAY_MARGIN_MS = 400;
const RELAY_TIMEOUT_MS = ORDER_TIMEOUT_MS + RELAY_MARGIN_MS;
/** Two routes with three outcomes each. */
const MAX_CALL_SERIES = 6;
/** Shortest interval of the log lines that count the calls. */
const REPORT_INTERVAL_MS = 1000;

/** Calls since the last log line. */
interface CallWindow {
  readonly sinceMs: number;
  direct: number;
  relayed: number;
  /** Calls that a relay or a worker did not answer. */
  failed: number;
}

/** The relay did not answer, so the outcome of the call is unknown. */
class RelayUnansweredError extends Error {
  constructor(relay: string, reason: string) {
    super(`the relay ${relay} did not answer: ${reason}`);
    this.name = 'RelayUnansweredError';
  }
}

/** The relay has not called the worker. */
class CallNotSentError extends Error {
  constructor(relay: string, reason: string) {
    super(`the relay ${relay} did not send the call: ${reason}`);
    this.name = 'CallNotSentError';
  }
}

type Reported = Exclude<WorkerReply, {type: 'failed' | 'not-sent'}>;

export class RelayedWorkerDriver extends WorkerDriver {
  private readonly choice: RelayChoice;
  private readonly calls: Counter;
  private readonly sendTime = createTick(BATCH_DELAY_MS);
  private window = createCallWindow();

  constructor(private readonly options: RelayedDriverOptions) {
    super();
    this.choice = createRelayChoice(options);
    this.calls = options.metrics.counter(
      'lentildrift_worker_calls_total',
      'Calls to workers by route and outcome.',
      MAX_CALL_SERIES,
    );
  }

  override async hold(target: Target, order: HoldOrder): Promise<Report> {
    const {direct} = this.options;
    const relay = this.choice.choose(target);
    if (!relay) return this.direct(target, () => direct.hold(target, order));
    let reply: Reported | undefined;
    try {
      const timeoutMs = order.waitMs + RELAY_TIMEOUT_MS;
      const call = encodeHold(target, order);
      reply = await this.send(relay, target, call, timeoutMs);
    } catch (error) {
      const isFaultOfRelay =
        error instanceof RelayUnansweredError ||
        error instanceof CallNotSentError;
      if (!isFaultOfRelay || order.token < this.options.term()) throw error;
      // Its workers are not taken for silent. Another incarnation may have the
      // address by now, so this hold grants and acknowledges nothing; the next
      // one does.
      const {token} = order;
      const repeated = {token, cursor: 0, waitMs: 0};
      return this.direct(target, () => direct.hold(target, repeated));
    }
    if (reply?.type === 'report') return decodeReport(reply);
    if (reply) throw new Error('a relay did not answer a hold with a report');
    return this.direct(target, () => direct.hold(target, order));
  }

  override start(target: Target, order: StartOrder): Promise<OrderAnswer> {
    return this.order(target, encodeStart(target, order), () =>
      this.options.direct.start(target, order),
    );
  }

  override stop(target: Target, order: RunOrder): Promise<OrderAnswer> {
    return this.order(target, encodeStop(target, order), () =>
      this.options.direct.stop(target, order),
    );
  }

  override pace(
    target: Target,
    order: RunOrder & {percent: number},
  ): Promise<OrderAnswer> {
    return this.order(target, encodePace(target, order), () =>
      this.options.direct.pace(target, order),
    );
  }

  /** A relay closes its connections itself when they are idle. */
  override forget(target: Target): void {
    this.choice.forget(target);
    if (this.options.isServedForOthers(target)) return;
    this.options.direct.forget(target);
  }

  private async order(
    target: Target,
    call: WorkerCall,
    makeDirectly: () => Promise<OrderAnswer>,
  ): Promise<OrderAnswer> {
    const relay = this.choice.choose(target);
    if (!relay) return this.direct(target, makeDirectly);
    const reply = await this.send(relay, target, call, RELAY_TIMEOUT_MS);
    if (reply?.type === 'answer') return decodeAnswer(reply);
    if (reply) throw new Error('a relay answered an order with a report');
    return this.direct(target, makeDirectly);
  }

  /** Resolves with undefined if nothing was sent. */
  private async send(
    relay: Peer,
    target: Target,
    call: WorkerCall,
    timeoutMs: number,
  ): Promise<Reported | undefined> {
    await this.sendTime();
    const sentMs = performance.now();
    let reply: WorkerReply;
    try {
      reply = WorkerReply.parse(await relay.link.request(call, timeoutMs));
    } catch (error) {
      const reason = (error as Error).message;
      this.choice.recordNoAnswer(target, relay, sentMs, reason);
      if (error instanceof RequestNotSentError) return undefined;
      this.record('relayed', 'unanswered');
      throw new RelayUnansweredError(relay.address, reason);
    }
    if (reply.type === 'failed' || reply.type === 'not-sent') {
      this.record('relayed', 'failed');
      this.choice.recordFailure(target, relay);
      const {type, reason} = reply;
      if (type === 'not-sent')
        throw new CallNotSentError(relay.address, reason);
      throw new Error(`${reason} (relay ${relay.address})`);
    }
    this.record('relayed', 'answered');
    this.choice.recordAnswer(target, relay);
    return reply;
  }

  private async direct<T>(target: Target, call: () => Promise<T>): Promise<T> {
    try {
      const answer = await call();
      this.record('direct', 'answered');
      this.choice.recordDirectAnswer(target);
      return answer;
    } catch (error) {
      this.record('direct', 'failed');
      throw error;
    }
  }

  private record(
    route: 'direct' | 'relayed',
    outcome: 'answered' | 'failed' | 'unanswered',
  ): void {
    this.calls.add({route, outcome});
    const {window} = this;
    window[route]++;
    if (outcome !== 'answered') window.failed++;
    const periodMs = performance.now() - window.sinceMs;
    if (periodMs < REPORT_INTERVAL_MS) return;
    const {direct, relayed, failed} = window;
    this.options.log.info('worker-calls', {
      periodMs: Math.round(periodMs),
      direct,
      relayed,
      failed,
    });
    this.window = createCallWindow();
  }
}

function createCallWindow(): CallWindow {
  return {sinceMs: performance.now(), direct: 0, relayed: 0, failed: 0};
}
