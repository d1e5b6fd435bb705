/**
 * Queue of calls that wait for a larger slice of their team. Does no I/O; times
 * are passed as arguments.
 */

/**
 * Longest wait of a call. Free slots of the fleet become available within the
 * time of one early sync and one decision of the leader.
 */
export const SLICE_WAIT_MS = 500;
/** Most waiting calls of one team; further calls are refused at once. */
const MAX_WAITING = 64;

export interface WaitQueue<T> {
  /** Returns false when the queue of the team is full. */
  add(team: string, item: T, nowMs: number): boolean;
  /** Removes each team's items in order until `accept` returns false. */
  serve(accept: (item: T) => boolean): void;
  /** Removes and returns the items that have waited too long. */
  expired(nowMs: number): readonly T[];
  /** When the next item expires; undefined when the queue is empty. */
  nextExpiryMs(): number | undefined;
  size(): number;
}

interface WaitingItem<T> {
  readonly item: T;
  readonly untilMs: number;
}

export function createQueue<T>(): WaitQueue<T> {
  const queues = new Map<string, WaitingItem<T>[]>();

  function serveTeam(
    queue: WaitingItem<T>[],
    accept: (item: T) => boolean,
  ): void {
    while (queue.length > 0 && accept(queue[0]!.item)) queue.shift();
  }

  return {
    add(team, item, nowMs) {
      const queue = queues.get(team) ?? [];
      if (queue.length >= MAX_WAITING) return false;
      queue.push({item, untilMs: nowMs + SLICE_WAIT_MS});
      queues.set(team, queue);
      return true;
    },
    serve(accept) {
      for (const [team, queue] of queues) {
        serveTeam(queue, accept);
        if (queue.length === 0) queues.delete(team);
      }
    },
    expired(nowMs) {
      const expired: T[] = [];
      for (const [team, queue] of queues) {
        // Items of one team expire in the order of their arrival.
        while (queue.length > 0 && queue[0]!.untilMs <= nowMs) {
          expired.push(queue.shift()!.item);
        }
        if (queue.length === 0) queues.delete(team);
      }
      return expired;
    },
    nextExpiryMs() {
      const expiries = [...queues.values()].map(queue => queue[0]!.untilMs);
      return expiries.length > 0 ? Math.min(...expiries) : undefined;
    },
    size: () =>
      [...queues.values()].reduce((sum, queue) => sum + queue.length, 0),
  };
}
