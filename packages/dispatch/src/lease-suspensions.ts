/**
 * Records which workers get no leases, for the next leader. It would otherwise
 * count the leases of earlier leaders from its own election, although the
 * leaders between them have granted none, so that each change of leader holds up
 * the tasks of a lost worker again.
 */
import {
  workerKey,
  type Event,
  type Outcome,
  type State,
  type Worker,
} from '@lentildrift/queue';
import type {Reply} from '@lentildrift/task';
import type {WorkerSession} from './session.js';
import {STALE_LEADER_MS} from './timing.js';

export interface LeaseSuspensionsOptions {
  readonly token: number;
  /** Monotonic time of the election; without it, that of this call. */
  readonly electedMs?: number;
  /** See `LeaderOptions`. */
  knownElectionMs?(token: number): number;
  /** The recorded state. */
  state(): State;
  /** Whether runs are recorded for an incarnation of a worker. */
  hasRuns(worker: string): boolean;
  sessionOf(worker: string): WorkerSession | undefined;
  enqueue(event: Event, reply: Reply<Outcome>): void;
}

export interface LeaseSuspensions {
  /**
   * Monotonic time after which no earlier leader grants the worker a lease or
   * starts a run on it, nor does an earlier session of this one. Where the
   * leases are suspended, the last leader that may have done so was replaced
   * long before this one began.
   */
  inheritedMs(worker: Worker): number;
  /** Whether this leader may grant leases to the worker with this ID. */
  mayGrantLease(workerId: string): boolean;
  /** Has the state record that the worker, which answers, gets leases again. */
  observeAnswer(worker: Worker): void;
  /** Notes that the session with this incarnation is closed. */
  markClosed(worker: Worker): void;
  /**
   * Suspends the leases of the workers with runs that this leader has called in
   * vain and never granted a lease. Only they cost a record.
   */
  suspendUnreached(): void;
}

export function createLeaseSuspensions(
  options: LeaseSuspensionsOptions,
): LeaseSuspensions {
  const {token, state, enqueue} = options;
  const {electedMs = performance.now()} = options;
  const {knownElectionMs = () => electedMs} = options;
  /**
   * Keys of incarnations that this leader has found on record and that have not
   * answered. Later ones may follow a session that has granted leases.
   */
  const unanswered = new Set<string>();
  /** IDs of the workers whose leases this leader has suspended. */
  const suspended = new Set<string>();
  /** IDs of the workers whose resumption waits for its commit. */
  const resuming = new Set<string>();
  for (const worker of state().workers.unorderedValues()) {
    unanswered.add(workerKey(worker));
  }

  function mayGrantLease(id: string): boolean {
    if (suspended.has(id)) return false;
    return state().workers.get(id)?.suspendedSince === undefined;
  }

  return {
    inheritedMs({suspendedSince}) {
      if (suspendedSince === undefined) {
        return Math.max(electedMs + STALE_LEADER_MS, performance.now());
      }
      return knownElectionMs(suspendedSince) + STALE_LEADER_MS;
    },
    mayGrantLease,
    observeAnswer(worker) {
      const {id} = worker;
      unanswered.delete(workerKey(worker));
      if (mayGrantLease(id) || resuming.has(id)) return;
      resuming.add(id);
      enqueue(
        {type: 'leases-resumed', workers: [id]},
        {
          resolve() {
            resuming.delete(id);
            suspended.delete(id);
          },
          // The next answer of the worker has it recorded again.
          reject: () => void resuming.delete(id),
        },
      );
    },
    markClosed: worker => void unanswered.delete(workerKey(worker)),
    suspendUnreached() {
      const workers: string[] = [];
      for (const key of unanswered) {
        const session = options.sessionOf(key);
        if (!session?.isUnreached()) continue;
        unanswered.delete(key);
        const {id} = session.worker;
        if (mayGrantLease(id) && options.hasRuns(key)) workers.push(id);
      }
      if (workers.length === 0) return;
      // They stay suspended even if the event is rejected, since a later leader
      // may apply it all the same.
      for (const id of workers) suspended.add(id);
      const ignore = () => {};
      enqueue(
        {type: 'leases-suspended', token, workers},
        {resolve: ignore, reject: ignore},
      );
    },
  };
}
