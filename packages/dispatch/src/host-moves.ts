/**
 * Moves of hosts between pools: each host is emptied, ordered to its new pool,
 * and followed until it has arrived, with at most one order in flight per host.
 */
import type {Log} from '@lentildrift/observe';
import {workerKey, type Worker} from '@lentildrift/queue';
import type {Fleet, Load, Move, StateView} from '@lentildrift/scheduling';
import type {MoveStage} from './instruments.js';
import type {Inventory} from './inventory.js';
import type {MoveRecords} from './move-records.js';
import type {HostProvider, OrderIssuer} from './provider.js';

export interface HostMovesOptions {
  readonly provider: HostProvider;
  readonly inventory: Inventory;
  readonly records: MoveRecords;
  readonly issuer: OrderIssuer;
  readonly log: Log;
  /**
   * Whether an order of an earlier leader to the host may still be in flight.
   */
  hasForeignOrder(host: string): boolean;
  /** Whether the host's data centre is out of use. */
  isEvacuated(host: string): boolean;
  isLeader(): boolean;
  /** Counts a move that has come to this stage. */
  recordMove(stage: MoveStage, outcome: string): void;
  /**
   * Called when a worker incarnation has ended because its host moves, and again
   * until the worker is removed.
   */
  onWorkerGone(worker: string): void;
  /** Whether a run on the worker is decided and not yet in the state. */
  hasPendingStart(worker: string): boolean;
  /** Called when the host's move has ended, whether it has arrived or not. */
  onEnded(host: string): void;
}

export interface HostMoves {
  /** Whether a move of the host is in progress, so that it gets no new runs. */
  isMoving(host: string): boolean;
  /** The moves in progress, by host. */
  inProgress(): Iterable<readonly [string, Move]>;
  /** Pools that the provider refused to move the host to. */
  excludedPools(host: string): ReadonlySet<string>;
  /** Whether the worker has no runs, and gets none once its host is cordoned. */
  isEmpty(worker: string, load: Load): boolean;
  begin(move: Move, view: StateView): void;
  /** Advances the moves in progress, and records the ends of others. */
  advance(view: StateView): void;
  stop(): void;
}

/** Longest wait for the runs on a host to end that another pool needs. */
const MAX_EMPTYING_MS = 1500;
/**
 * How long a host may take to appear with a worker in its new pool. After that
 * the move ends, and the host is again treated as the provider lists it.
 */
const ARRIVAL_TIMEOUT_MS = 4000;
/** Pause before an order without an answer or with `slow-down` is repeated. */
const RETRY_PAUSE_MS = 500;

const NO_POOLS: ReadonlySet<string> = new Set();

/** A move in progress. Times are monotonic. */
interface OngoingMove {
  readonly move: Move;
  /** Time at which the move was chosen or adopted. */
  readonly sinceMs: number;
  /** Key of the worker incarnation on the host before the move. */
  readonly formerWorker: string | undefined;
  /** Whether the order is in the replicated state. */
  isRecorded: boolean;
  /** `waiting`: the order must not be sent yet. */
  phase: 'waiting' | 'ordering' | 'moving';
  /** Earliest time of the next order. */
  retryAtMs: number;
  /** Time at which the host provider accepted the order. */
  orderedMs: number;
}

export function createHostMoves(options: HostMovesOptions): HostMoves {
  const {inventory, records, log} = options;
  /** By host. */
  const ongoingMoves = inheritMoves(options);
  /** Pools that the provider refused to move a host to, by host. */
  const excludedPoolsByHost = new Map<string, ReadonlySet<string>>();
  let isStopped = false;

  function advance({load, fleet}: StateView): void {
    for (const [host, ongoing] of ongoingMoves) {
      advanceMove(host, ongoing, fleet, load);
    }
    records.recordEnds(isMoving);
  }

  function isMoving(host: string): boolean {
    return ongoingMoves.has(host);
  }

  function excludedPools(host: string): ReadonlySet<string> {
    return excludedPoolsByHost.get(host) ?? NO_POOLS;
  }

  function isEmpty(worker: string, load: Load): boolean {
    return !load.byWorker.has(worker) && !options.hasPendingStart(worker);
  }

  function begin(move: Move, {load, fleet}: StateView): void {
    const worker = fleet.newestOn(move.host);
    log.info('move-chosen', {...move});
    options.recordMove('chosen', 'chosen');
    const ongoing = createOngoingMove(move, worker && workerKey(worker));
    ongoingMoves.set(move.host, ongoing);
    orderIfReady(move.host, ongoing, load);
  }

  function advanceMove(
    host: string,
    ongoing: OngoingMove,
    fleet: Fleet,
    load: Load,
  ): void {
    if (ongoing.phase === 'waiting') {
      orderIfReady(host, ongoing, load);
      return;
    }
    if (ongoing.phase !== 'moving') return;
    const worker = fleet.newestOn(host);
    if (worker && workerKey(worker) === ongoing.formerWorker) {
      options.onWorkerGone(ongoing.formerWorker);
    }
    if (isMoveOver(host, ongoing, worker)) {
      endMove(host, 'arrived');
    }
  }

  /** Orders the move once the host is empty and no other order is in flight. */
  function orderIfReady(host: string, ongoing: OngoingMove, load: Load): void {
    const nowMs = performance.now();
    const {formerWorker, sinceMs, isRecorded} = ongoing;
    if (isRecorded && isListedIn(host, ongoing.move.to, sinceMs)) {
      endMove(host, 'arrived');
      return;
    }
    // An order that is recorded may have been sent, and is carried on.
    if (!isRecorded && options.isEvacuated(host)) {
      endMove(host, 'evacuated');
      return;
    }
    if (nowMs < ongoing.retryAtMs || options.hasForeignOrder(host)) return;
    if (formerWorker !== undefined && !isRecorded) {
      if (!isEmpty(formerWorker, load)) {
        if (nowMs - sinceMs > MAX_EMPTYING_MS)
          endMove(host, 'not empty in time');
        return;
      }
    }
    void orderMove(host, ongoing);
  }

  /** Whether a list requested after `sinceMs` shows the host up in the pool. */
  function isListedIn(host: string, pool: string, sinceMs: number): boolean {
    if (inventory.requestedMs() < sinceMs) return false;
    const listed = inventory.hosts()?.get(host);
    return listed?.pool === pool && listed.state === 'up';
  }

  /** Whether the host has completed its move, or is no longer expected to. */
  function isMoveOver(
    host: string,
    {move, formerWorker, orderedMs}: OngoingMove,
    worker: Worker | undefined,
  ): boolean {
    // In its former pool, the worker has crashed and come back before the move.
    const isNew = worker && workerKey(worker) !== formerWorker;
    if (isNew && worker.pool === move.to) return true;
    const listed = inventory.hosts()?.get(host);
    if (inventory.requestedMs() < orderedMs) return false;
    if (!listed) return true;
    if (listed.state === 'up' && listed.pool === move.to && !worker) {
      // No worker announces itself in standby; elsewhere one may still do so.
      return (
        listed.worker === '' ||
        performance.now() - orderedMs > ARRIVAL_TIMEOUT_MS
      );
    }
    return performance.now() - orderedMs > 2 * ARRIVAL_TIMEOUT_MS;
  }

  async function orderMove(host: string, ongoing: OngoingMove): Promise<void> {
    ongoing.phase = 'ordering';
    try {
      const {to} = ongoing.move;
      // The commit shows a process that was frozen that it no longer leads.
      await records.recordBegin(host, to);
      ongoing.isRecorded = true;
      if (isStopped) return;
      // The leadership may be confirmed again, so the move is not dropped.
      if (!options.isLeader()) {
        scheduleRetry(ongoing);
        return;
      }
      const answer = await options.provider.move(host, to, options.issuer);
      log.info('move-ordered', {...ongoing.move, answer});
      options.recordMove('ordered', answer);
      if (answer === 'accepted') {
        ongoing.phase = 'moving';
        ongoing.orderedMs = performance.now();
        if (ongoing.formerWorker !== undefined) {
          options.onWorkerGone(ongoing.formerWorker);
        }
      } else if (answer === 'slow-down') {
        scheduleRetry(ongoing);
      } else {
        if (answer === 'refused') excludePool(host, to);
        endMove(host, answer);
      }
    } catch (error) {
      // The order may have been carried out. The host therefore stays cordoned
      // and the order is repeated, which has no effect on a host already in the
      // pool.
      log.info('move-unanswered', {host, reason: (error as Error).message});
      options.recordMove('ordered', 'unanswered');
      scheduleRetry(ongoing);
    }
  }

  function scheduleRetry(ongoing: OngoingMove): void {
    ongoing.phase = 'waiting';
    ongoing.retryAtMs = performance.now() + RETRY_PAUSE_MS;
  }

  function excludePool(host: string, pool: string): void {
    excludedPoolsByHost.set(host, new Set([...excludedPools(host), pool]));
  }

  /** Ends the move; the next tick records its end if the order was recorded. */
  function endMove(host: string, reason: string): void {
    log.info('move-ended', {host, reason});
    options.recordMove('ended', reason);
    ongoingMoves.delete(host);
    options.onEnded(host);
  }

  return {
    isMoving,
    *inProgress() {
      for (const [host, {move}] of ongoingMoves) yield [host, move];
    },
    excludedPools,
    isEmpty,
    begin,
    advance,
    stop() {
      isStopped = true;
    },
  };
}

/**
 * Takes over the unfinished moves that earlier leaders recorded, to order them
 * again.
 */
function inheritMoves({
  records,
  log,
  recordMove,
}: HostMovesOptions): Map<string, OngoingMove> {
  const moves = new Map<string, OngoingMove>();
  for (const {host, to} of records.listUnfinished()) {
    log.info('move-inherited', {host, to});
    recordMove('adopted', 'adopted');
    moves.set(host, {
      ...createOngoingMove({host, from: '', to}, undefined),
      isRecorded: true,
    });
  }
  return moves;
}

function createOngoingMove(
  move: Move,
  worker: string | undefined,
): OngoingMove {
  return {
    move,
    sinceMs: performance.now(),
    formerWorker: worker,
    isRecorded: false,
    phase: 'waiting',
    retryAtMs: 0,
    orderedMs: 0,
  };
}
