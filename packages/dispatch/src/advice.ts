/** Requests placement advice for steps and caches it while it is valid. */
import type {Log} from '@lentildrift/observe';
import {splitTaskName, workerKey, type Worker} from '@lentildrift/queue';
import type {AdvisedWorkers} from '@lentildrift/scheduling';
import type {Adviser} from './provider.js';

export interface AdviceCacheOptions {
  readonly adviser: Adviser;
  readonly log: Log;
  /** Called when a request for advice has ended, with or without an answer. */
  onChange(): void;
}

export interface AdviceCache {
  /** Keys of the workers that may run each step for which advice is valid. */
  advisedWorkers(): AdvisedWorkers;
  /** Ticket for a start of the task on the worker with this ID. */
  ticketFor(task: string, worker: string): string | undefined;
  /** Requests advice for the steps, except those already being requested. */
  request(
    steps: readonly {step: string; pool: string}[],
    workersOf: (pool: string) => readonly Worker[],
  ): void;
  /** Discards the advice on a task's step if its ticket caused the refusal. */
  handleRefusal(task: string, reason: string): void;
}

interface CachedAdvice {
  /** Tickets by worker ID. */
  readonly tickets: ReadonlyMap<string, string>;
  readonly workerKeys: ReadonlySet<string>;
  /** Monotonic time from which the advice must be requested again. */
  readonly renewAtMs: number;
}

/** Maximum number of workers in one call. */
const MAX_WORKERS_PER_CALL = 100;
/**
 * Maximum number of concurrent calls; the service handles one per process at a
 * time.
 */
const MAX_CALLS_IN_FLIGHT = 8;
/** How long before their expiry tickets are renewed. */
const RENEWAL_MARGIN_MS = 300;
/** Pause after a failed call. */
const RETRY_PAUSE_MS = 200;

/** Returns the name of the step that a task belongs to. */
function stepOf(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}

export function createAdviceCache(options: AdviceCacheOptions): AdviceCache {
  const {adviser, log} = options;
  const cached = new Map<string, CachedAdvice>();
  const stepsInFlight = new Set<string>();

  async function requestAdvice(
    step: string,
    workers: readonly Worker[],
  ): Promise<void> {
    const candidates = workers.slice(0, MAX_WORKERS_PER_CALL);
    try {
      const answer = await adviser.advise(
        step,
        candidates.map(({id}) => id),
      );
      const tickets = new Map(
        answer.tickets.map(({worker, ticket}) => [worker, ticket]),
      );
      const workerKeys = new Set(
        candidates.filter(({id}) => tickets.has(id)).map(workerKey),
      );
      const renewAtMs = performance.now() + answer.validMs - RENEWAL_MARGIN_MS;
      cached.set(step, {tickets, workerKeys, renewAtMs});
      log.debug('advice', {
        step,
        asked: candidates.length,
        allowed: workerKeys.size,
      });
    } catch (error) {
      log.info('advice-missing', {step, reason: (error as Error).message});
      await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
    }
    stepsInFlight.delete(step);
    options.onChange();
  }

  return {
    advisedWorkers() {
      const nowMs = performance.now();
      const allowed = new Map<string, ReadonlySet<string>>();
      for (const [step, {workerKeys, renewAtMs}] of cached) {
        if (renewAtMs < nowMs) cached.delete(step);
        else allowed.set(step, workerKeys);
      }
      return allowed;
    },
    ticketFor: (task, worker) => cached.get(stepOf(task))?.tickets.get(worker),
    request(steps, workersOf) {
      for (const {step, pool} of steps) {
        if (stepsInFlight.size >= MAX_CALLS_IN_FLIGHT) return;
        const workers = workersOf(pool);
        if (stepsInFlight.has(step) || workers.length === 0) continue;
        stepsInFlight.add(step);
        void requestAdvice(step, workers);
      }
    },
    handleRefusal(task, reason) {
      if (reason !== 'ticket') return;
      cached.delete(stepOf(task));
      log.info('ticket-refused', {job: splitTaskName(task).job, task});
    },
  };
}
