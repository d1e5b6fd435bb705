/** Placement advice for steps, asked for once and kept while it is valid. */
import type {Log} from '@lentildrift/observe';
import {splitTaskName, workerKey, type Worker} from '@lentildrift/queue';
import type {AdvisedWorkers} from '@lentildrift/scheduling';
import type {Adviser} from './provider.js';

export interface AdviceCacheOptions {
  readonly adviser: Adviser;
  readonly log: Log;
  /** Advice has come. */
  onChange(): void;
}

export interface AdviceCache {
  advisedWorkers(): AdvisedWorkers;
  ticketFor(task: string, worker: string): string | undefined;
  request(
    steps: readonly {step: string; pool: string}[],
    workersOf: (pool: string) => readonly Worker[],
  ): void;
  /** A start was refused; advice whose ticket failed is asked for again. */
  handleRefusal(task: string, reason: string): void;
}

interface Known {
  readonly tickets: ReadonlyMap<string, string>;
  readonly keys: ReadonlySet<string>;
  readonly untilMs: number;
}

/** Workers that one call may name. */
const MAX_WORKERS = 100;
/** Calls under way; the service handles one of a process at a time. */
const MAX_CALLS = 8;
/** Tickets are renewed this long before they expire. */
const RENEW_MS = 300;
/** Pause after a failed call. */
const RETRY_MS = 200;

/** Name of the step that a task belongs to. */
function stepOf(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}

export function createAdviceCache(options: AdviceCacheOptions): AdviceCache {
  const {adviser, log} = options;
  const known = new Map<string, Known>();
  const asking = new Set<string>();

  async function ask(step: string, workers: readonly Worker[]): Promise<void> {
    const named = workers.slice(0, MAX_WORKERS);
    try {
      const answer = await adviser.advise(
        step,
        named.map(({id}) => id),
      );
      const tickets = new Map(
        answer.tickets.map(({worker, ticket}) => [worker, ticket]),
      );
      const keys = new Set(
        named.filter(({id}) => tickets.has(id)).map(workerKey),
      );
      const untilMs = performance.now() + answer.validMs - RENEW_MS;
      known.set(step, {tickets, keys, untilMs});
      log.debug('advice', {step, asked: named.length, allowed: keys.size});
    } catch (error) {
      log.info('advice-missing', {step, reason: (error as Error).message});
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
    asking.delete(step);
    options.onChange();
  }

  return {
    advisedWorkers() {
      const nowMs = performance.now();
      const allowed = new Map<string, ReadonlySet<string>>();
      for (const [step, {keys, untilMs}] of known) {
        if (untilMs < nowMs) known.delete(step);
        else allowed.set(step, keys);
      }
      return allowed;
    },
    ticketFor: (task, worker) => known.get(stepOf(task))?.tickets.get(worker),
    request(steps, workersOf) {
      for (const {step, pool} of steps) {
        if (asking.size >= MAX_CALLS) return;
        const workers = workersOf(pool);
        if (asking.has(step) || workers.length === 0) continue;
        asking.add(step);
        void ask(step, workers);
      }
    },
    handleRefusal(task, reason) {
      if (reason !== 'ticket') return;
      known.delete(stepOf(task));
      log.info('ticket-refused', {job: splitTaskName(task).job, task});
    },
  };
}
