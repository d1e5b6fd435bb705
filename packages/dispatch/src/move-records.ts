/**
 * Records the orders of moves in the replicated state, from which the next
 * leader takes over the unfinished moves.
 */
import type {Log} from '@lentildrift/observe';
import type {HostOrder, State} from '@lentildrift/queue';

export interface MoveRecordsOptions {
  readonly log: Log;
  state(): State;
  /**
   * Records the order, for the next leader; rejects if it was not recorded.
   * Records are committed in the order of the calls.
   */
  recordOrder(order: Omit<HostOrder, 'by'>): Promise<unknown>;
}

export interface MoveRecords {
  /**
   * Returns the moves that the state lists as unfinished. They are read once,
   * before this leader records moves of its own: later the state lags behind
   * this leader's moves, so an unfinished move in it may have ended.
   */
  listUnfinished(): {host: string; to: string}[];
  /** Records a move that is to be ordered; rejects if it was not recorded. */
  recordBegin(host: string, to: string): Promise<unknown>;
  /**
   * Records the end of each move that the state still lists as unfinished. A
   * rejected record is repeated, unless the host has begun its next move, which
   * replaces it.
   */
  recordEnds(isMoving: (host: string) => boolean): void;
}

export function createMoveRecords(options: MoveRecordsOptions): MoveRecords {
  const {log, state, recordOrder} = options;
  /** Hosts whose last move has ended and whose record of this is undecided. */
  const endsBeingRecorded = new Set<string>();

  async function recordEnd(host: string, to: string): Promise<void> {
    endsBeingRecorded.add(host);
    try {
      await recordOrder({host, to, done: true, atMs: Date.now()});
    } catch (error) {
      const reason = (error as Error).message;
      log.info('host-order-unrecorded', {host, reason});
    }
    endsBeingRecorded.delete(host);
  }

  return {
    listUnfinished() {
      const unfinished: {host: string; to: string}[] = [];
      for (const {host, to, done} of state().hostOrders.values()) {
        if (to !== undefined && !done) unfinished.push({host, to});
      }
      return unfinished;
    },
    recordBegin: (host, to) =>
      recordOrder({host, to, done: false, atMs: Date.now()}),
    recordEnds(isMoving) {
      for (const {host, to, done} of state().hostOrders.unorderedValues()) {
        if (to === undefined || done || isMoving(host)) continue;
        if (!endsBeingRecorded.has(host)) void recordEnd(host, to);
      }
    },
  };
}
