/**
 * Searches the workers that the placement adviser allows for a step, and keeps
 * their tickets while these are valid. A pool may have more workers than one
 * call can name, so a step that waits asks in several calls, each about workers
 * that no earlier one has named. Which workers may run a step does not change.
 */
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
  /** Keys of the workers with a valid ticket, for each step that has one. */
  advisedWorkers(): AdvisedWorkers;
  /** Ticket for a start of the task on the worker with this key. */
  ticketFor(task: string, worker: string): string | undefined;
  /**
   * Asks about workers that may serve the steps, except for steps that are being
   * asked for. A step whose workers have all been asked about waits for further
   * workers, or for its tickets to expire.
   */
  request(
    steps: readonly {step: string; pool: string}[],
    workersOf: (pool: string) => readonly Worker[],
  ): void;
  /** Discards the tickets of a task's step if one of them was refused. */
  handleRefusal(task: string, reason: string): void;
}

interface Ticket {
  readonly ticket: string;
  /** Monotonic time from which the ticket must be requested again. */
  readonly renewAtMs: number;
}

/** What is known of the workers for one step. */
interface Search {
  /** By worker key; tickets that have expired are kept, to be renewed first. */
  readonly tickets: Map<string, Ticket>;
  /** Keys of the workers that may not run the step. */
  readonly denied: Set<string>;
  isInFlight: boolean;
  /** Monotonic time at which the step last waited for advice. */
  lastWaitedMs: number;
}

/**
 * Maximum number of concurrent calls; the service handles one per process at a
 * time.
 */
const MAX_CALLS_IN_FLIGHT = 8;
/** How long before their expiry tickets are renewed. */
const RENEWAL_MARGIN_MS = 300;
/** Pause after a failed call. */
const RETRY_PAUSE_MS = 200;
/** A step that has not waited for this long has started or is given up. */
const SEARCH_RETENTION_MS = 30_000;

/** Returns the name of the step that a task belongs to. */
function stepOf(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}

export function createAdviceCache(options: AdviceCacheOptions): AdviceCache {
  const {adviser, log} = options;
  /** By step. */
  const searches = new Map<string, Search>();
  let callsInFlight = 0;

  /** Notes that the step waits. */
  function touch(step: string, nowMs: number): Search {
    let search = searches.get(step);
    if (!search) {
      search = {
        tickets: new Map(),
        denied: new Set(),
        isInFlight: false,
        lastWaitedMs: nowMs,
      };
      searches.set(step, search);
    }
    search.lastWaitedMs = nowMs;
    return search;
  }

  function hasValidTicket({tickets}: Search, nowMs: number): boolean {
    return [...tickets.values()].some(({renewAtMs}) => renewAtMs >= nowMs);
  }

  /** The workers to ask about in the next call, at most as many as it takes. */
  function selectWorkers(
    {tickets, denied}: Search,
    workers: readonly Worker[],
    nowMs: number,
  ): readonly Worker[] {
    const expired: Worker[] = [];
    const unknown: Worker[] = [];
    for (const worker of workers) {
      const key = workerKey(worker);
      const ticket = tickets.get(key);
      if (ticket && ticket.renewAtMs < nowMs) expired.push(worker);
      else if (!ticket && !denied.has(key)) unknown.push(worker);
    }
    return [...expired, ...unknown].slice(0, adviser.maxWorkersPerCall);
  }

  async function ask(
    step: string,
    search: Search,
    workers: readonly Worker[],
  ): Promise<void> {
    search.isInFlight = true;
    callsInFlight++;
    try {
      const answer = await adviser.advise(
        step,
        workers.map(({id}) => id),
      );
      const ticketsById = new Map(
        answer.tickets.map(({worker, ticket}) => [worker, ticket]),
      );
      const renewAtMs = performance.now() + answer.validMs - RENEWAL_MARGIN_MS;
      for (const worker of workers) {
        const ticket = ticketsById.get(worker.id);
        const key = workerKey(worker);
        if (ticket === undefined) search.denied.add(key);
        else search.tickets.set(key, {ticket, renewAtMs});
      }
      log.debug('advice', {
        step,
        asked: workers.length,
        allowed: ticketsById.size,
        deniedSoFar: search.denied.size,
      });
    } catch (error) {
      log.info('advice-missing', {step, reason: (error as Error).message});
      await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
    }
    search.isInFlight = false;
    callsInFlight--;
    options.onChange();
  }

  /** Drops the searches of steps that wait no more. */
  function dropUnused(nowMs: number): void {
    for (const [step, {isInFlight, lastWaitedMs}] of searches) {
      if (!isInFlight && nowMs - lastWaitedMs > SEARCH_RETENTION_MS) {
        searches.delete(step);
      }
    }
  }

  return {
    advisedWorkers() {
      const nowMs = performance.now();
      dropUnused(nowMs);
      const allowed = new Map<string, ReadonlySet<string>>();
      for (const [step, {tickets}] of searches) {
        const keys = new Set<string>();
        for (const [key, {renewAtMs}] of tickets) {
          if (renewAtMs >= nowMs) keys.add(key);
        }
        if (keys.size > 0) allowed.set(step, keys);
      }
      return allowed;
    },
    ticketFor: (task, worker) =>
      searches.get(stepOf(task))?.tickets.get(worker)?.ticket,
    request(steps, workersOf) {
      const nowMs = performance.now();
      const waiting = steps.map(({step, pool}) => {
        return {step, pool, search: touch(step, nowMs)};
      });
      // A step without any worker goes before one that looks for more of them.
      const [without, others] = [false, true].map(hasTicket =>
        waiting.filter(
          ({search}) => hasValidTicket(search, nowMs) === hasTicket,
        ),
      );
      for (const {step, pool, search} of [...without!, ...others!]) {
        if (callsInFlight >= MAX_CALLS_IN_FLIGHT) return;
        if (search.isInFlight) continue;
        const workers = selectWorkers(search, workersOf(pool), nowMs);
        if (workers.length > 0) void ask(step, search, workers);
      }
    },
    handleRefusal(task, reason) {
      if (reason !== 'ticket') return;
      searches.get(stepOf(task))?.tickets.clear();
      log.info('ticket-refused', {job: splitTaskName(task).job, task});
    },
  };
}
