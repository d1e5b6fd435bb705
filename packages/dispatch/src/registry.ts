/** Takes workers into the directory and out of it. */
import type {Log} from '@lentildrift/observe';
import {
  taskName,
  workerKey,
  type EndRow,
  type Event,
  type EventOf,
  type Outcome,
  type State,
  type Worker,
} from '@lentildrift/queue';
import type {LiveRun} from '@lentildrift/scheduling';
import type {Reply} from '@lentildrift/task';
import type {WorkerSession} from './session.js';
import {classifyAnnouncement} from './announcement.js';
import type {Report, WorkerDriver} from './driver.js';
import {liveRunId, toLostRow, runId} from './reconcile.js';
import type {RunTracker} from './tracker.js';
import {LEFT_GRACE_MS, RETRY_PAUSE_MS, WORKER_EXPIRY_MS} from './timing.js';

export interface RegistryOptions {
  readonly token: number;
  readonly driver: WorkerDriver;
  readonly runs: RunTracker;
  readonly log: Log;
  state(): State;
  /** Runs on record for a worker. */
  recordedRuns(worker: string): readonly LiveRun[];
  sessionOf(worker: string): WorkerSession | undefined;
  enqueue(event: Event, reply?: Reply<Outcome>): void;
}

export interface Registry {
  announce(worker: Worker, reply: Reply<void>): void;
  leave(id: string, reply: Reply<void>): void;
  /** Takes workers off that have left, and runs whose lease has lapsed. */
  expire(): void;
  stop(): void;
}

export function createRegistry(options: RegistryOptions): Registry {
  const {token, driver, runs, log, state, enqueue} = options;
  const heardMs = new Map<string, number>();
  const leftMs = new Map<string, number>();
  const rebirths = new Set<string>();
  /** Birth of the newest incarnation heard of, by worker ID. */
  const newestMs = new Map<string, number>();
  let ended = false;

  function announce(worker: Worker, reply: Reply<void>): void {
    const known = state().workers.get(worker.id);
    const news = classifyAnnouncement(known, worker);
    if (news !== 'stale') {
      heardMs.set(workerKey(worker), performance.now());
      const newest = newestMs.get(worker.id) ?? 0;
      newestMs.set(worker.id, Math.max(newest, worker.bornMs));
    }
    if (news === 'stale' || news === 'alive') {
      reply.resolve();
      return;
    }
    if (news === 'reborn') void withdrawUnseen(known!, worker, reply);
    else record(worker, reply);
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
    const oldKey = workerKey(old);
    await options.sessionOf(oldKey)?.close();
    const unseen = options
      .recordedRuns(oldKey)
      .filter(live => !runs.wasReported(liveRunId(live)));
    for (const live of unseen) await withdraw(live, worker);
    const ends =
      unseen.length > 0 ? await untilGone(unseen, worker) : undefined;
    rebirths.delete(key);
    if (ended || ends === 'reborn') {
      reply.reject(new Error(`${key} is not in reach any more`));
      return;
    }
    record(worker, reply);
    // In the same change: a run that the new incarnation has completed must
    // not be started again before its end is on record.
    if (ends) enqueue(ends);
  }

  async function withdraw(live: LiveRun, worker: Worker): Promise<void> {
    const target = {id: worker.id, address: worker.address};
    const task = taskName(live.job.spec.id, live.key);
    const run = live.run.number;
    while (!ended && !isOvertaken(worker)) {
      try {
        await driver.stop(target, {task, run, token});
        return;
      } catch (error) {
        const reason = (error as Error).message;
        log.debug('stop-unanswered', {worker: worker.id, task, run, reason});
      }
      await pause();
    }
  }

  /**
   * Waits until the incarnation lists none of the runs, which a stop that was
   * answered may still be ending. Returns the ends that it lists.
   */
  async function untilGone(
    unseen: readonly LiveRun[],
    worker: Worker,
  ): Promise<EventOf<'ends'> | undefined | 'reborn'> {
    const target = {id: worker.id, address: worker.address};
    const ids = new Set(unseen.map(liveRunId));
    while (!ended && !isOvertaken(worker)) {
      try {
        const order = {token, cursor: 0, waitMs: 0};
        const report = await driver.hold(target, order);
        if (report.bornMs !== worker.bornMs) return 'reborn';
        const left = report.running.some(row =>
          ids.has(runId(row.task, row.run)),
        );
        if (!left) return endsOf(worker, report);
      } catch (error) {
        const reason = (error as Error).message;
        log.debug('look-unanswered', {worker: worker.id, reason});
      }
      await pause();
    }
    return 'reborn';
  }

  /** Whether a later incarnation has announced itself. */
  function isOvertaken(worker: Worker): boolean {
    return (newestMs.get(worker.id) ?? 0) > worker.bornMs;
  }

  function leave(id: string, reply: Reply<void>): void {
    const known = state().workers.get(id);
    if (!known || known.phase === 'gone') reply.resolve();
    else record({...known, phase: 'gone'}, reply);
  }

  function expire(): void {
    for (const worker of state().workers.values()) {
      if (worker.phase === 'gone') expireLeft(worker);
      else expireSilent(worker);
    }
  }

  function expireLeft(worker: Worker): void {
    const nowMs = performance.now();
    const key = workerKey(worker);
    const since = leftMs.get(key) ?? nowMs;
    leftMs.set(key, since);
    if (nowMs - since <= LEFT_GRACE_MS) return;
    leftMs.delete(key);
    enqueue({type: 'worker-gone', worker: key});
  }

  function expireSilent(worker: Worker): void {
    const nowMs = performance.now();
    const key = workerKey(worker);
    const contact = options.sessionOf(key);
    if (!contact || contact.isAnswering()) return;
    // The lease bounds runs on the clock of this incarnation only; a late
    // order may be carried out by the next one, which is asked about it.
    if (isOvertaken(worker)) return;
    if (nowMs < contact.leaseExpiryMs()) return;
    const lapsed = options.recordedRuns(key);
    if (lapsed.length > 0) {
      log.info('lease-lapsed', {worker: key, runs: lapsed.length});
      enqueue({type: 'lost', runs: lapsed.map(toLostRow)});
    }
    if (!heardMs.has(key)) heardMs.set(key, nowMs);
    if (nowMs - heardMs.get(key)! <= WORKER_EXPIRY_MS) return;
    heardMs.delete(key);
    enqueue({type: 'worker-gone', worker: key});
  }

  return {
    announce,
    leave,
    expire,
    stop() {
      ended = true;
    },
  };
}

function endsOf(worker: Worker, {ended}: Report): EventOf<'ends'> | undefined {
  if (ended.length === 0) return undefined;
  const rows = [...ended].sort((a, b) => a.number - b.number);
  return {
    type: 'ends',
    worker: workerKey(worker),
    upTo: rows.at(-1)!.number,
    ends: rows.map(({task, run, how, checkpoint}): EndRow => [
      task,
      run,
      how,
      checkpoint,
    ]),
  };
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
}
