/**
 * Makes calls to workers on behalf of the leader, in a control process that does
 * not lead. The leader's process could not make all calls of a large fleet.
 */
import {createDelayEstimate} from './delay.js';
import type {Target, WorkerDriver} from './driver.js';
import type {StallWatch} from './stall.js';
import {createTick} from './tick.js';
import {BATCH_DELAY_MS, ORDER_TIMEOUT_MS} from './timing.js';
import {
  decodeHold,
  decodePace,
  decodeStart,
  decodeStop,
  encodeAnswer,
  encodeReport,
  targetOf,
  type WorkerCall,
  type WorkerReply,
} from './worker-call.js';

export interface WorkerRelayOptions {
  /** Makes the calls. */
  readonly driver: WorkerDriver;
  /** Calls that waited in the socket during a stall are not made. */
  readonly stalls: StallWatch;
  /** Highest term that this process knows. */
  term(): number;
  /** Whether this process leads and calls workers for itself. */
  leads(): boolean;
}

export interface WorkerRelay {
  /** Makes the call. Never rejects. */
  handle(call: WorkerCall): Promise<WorkerReply>;
  /** Whether calls to this worker were relayed lately. */
  serves(target: Target): boolean;
  /** Sends no more calls, and stops the stall watch. */
  stop(): void;
}

/**
 * The connections to a worker are closed when no call to it was relayed for this
 * long: it has left, or has been assigned to another relay.
 */
const WORKER_IDLE_MS = 30_000;
const SWEEP_INTERVAL_MS = 10_000;

export function createWorkerRelay(options: WorkerRelayOptions): WorkerRelay {
  const {driver, stalls, term, leads} = options;
  /** Monotonic time of the last call to each worker, by address. */
  const lastCalls = new Map<string, {target: Target; atMs: number}>();
  const delay = createDelayEstimate();
  const answerTime = createTick(BATCH_DELAY_MS);
  let isStopped = false;
  const sweepTimer = setInterval(closeIdle, SWEEP_INTERVAL_MS);
  sweepTimer.unref();

  function closeIdle(): void {
    const idleSinceMs = performance.now() - WORKER_IDLE_MS;
    for (const [address, {target, atMs}] of lastCalls) {
      if (atMs > idleSinceMs) continue;
      lastCalls.delete(address);
      // While this process leads, its own sessions own the connections.
      if (!leads()) driver.forget(target);
    }
  }

  async function handle(call: WorkerCall): Promise<WorkerReply> {
    const reply = await make(call);
    await answerTime();
    return reply;
  }

  async function make(call: WorkerCall): Promise<WorkerReply> {
    const arrivedMs = performance.now();
    const [token] = call.order;
    // Each term has another leader, with another clock.
    const delayMs = delay.record(token, call.sentMs);
    const isLate = delayMs > ORDER_TIMEOUT_MS || stalls.isCatchingUp();
    const target = targetOf(call);

    /** Returns the reply to a call that must not be sent any more. */
    function refusal(): WorkerReply | undefined {
      if (token < term()) {
        return {type: 'failed', reason: 'the leader has been replaced'};
      }
      if (isStopped) return {type: 'not-sent', reason: 'the relay is stopping'};
      if (isLate || performance.now() - arrivedMs > ORDER_TIMEOUT_MS) {
        return {type: 'not-sent', reason: 'the call is late'};
      }
      return undefined;
    }

    let refused = refusal();
    if (refused) return refused;
    lastCalls.set(target.address, {target, atMs: arrivedMs});
    const maySend = () => (refused = refusal()) === undefined;
    try {
      return await send(call, target, maySend);
    } catch (error) {
      return refused ?? {type: 'failed', reason: (error as Error).message};
    }
  }

  async function send(
    call: WorkerCall,
    target: Target,
    maySend: () => boolean,
  ): Promise<WorkerReply> {
    switch (call.type) {
      case 'hold':
        return encodeReport(
          await driver.hold(target, decodeHold(call), maySend),
        );
      case 'start':
        return encodeAnswer(
          await driver.start(target, decodeStart(call), maySend),
        );
      case 'stop':
        return encodeAnswer(
          await driver.stop(target, decodeStop(call), maySend),
        );
      case 'pace':
        return encodeAnswer(
          await driver.pace(target, decodePace(call), maySend),
        );
    }
  }

  return {
    handle,
    serves: ({address}) => lastCalls.has(address),
    stop() {
      isStopped = true;
      clearInterval(sweepTimer);
      stalls.stop();
    },
  };
}
