/**
 * Selects the events of one change of the replicated state. The size of a
 * change is limited so that its replication takes little time.
 */
import {NotLeader} from '@lentildrift/consensus';
import {
  workerKey,
  type Event,
  type Outcome,
  type StartRow,
} from '@lentildrift/queue';
import type {Reply} from '@lentildrift/task';

/** An event that waits for the next change. */
export interface QueuedEvent {
  readonly event: Event;
  readonly reply?: Reply<Outcome>;
  /** Monotonic time at which the event was queued. */
  readonly queuedMs: number;
  /** Monotonic time after which the event is not proposed any more, if any. */
  readonly expiresAtMs?: number;
}

/** The content of one change, with the replies that wait for its commit. */
export interface Batch {
  readonly queued: readonly QueuedEvent[];
  readonly starts: readonly StartRow[];
  /** Runs that the change records as displaced. */
  readonly displaced: readonly StartRow[];
  /** Whether some tasks that were due found no free capacity. */
  readonly hasUnplacedTasks: boolean;
}

/** Replicating this much takes about 20 ms on a link of 200 Mbit/s. */
const MAX_CHANGE_BYTES = 512 * 1024;
/** Upper bound of an event's encoded size without its lists and texts. */
const EVENT_BYTES = 600;
/** Encoded size of a step. */
const STEP_BYTES = 300;
/** Encoded size of a row that names a task and a worker. */
const ROW_BYTES = 80;
/** Encoded size of the statistics of a queue. */
const STATISTICS_ROW_BYTES = 250;

/**
 * Takes events from the front of the queue up to the size limit; the first
 * event is taken whatever its size. A worker's record and the ends that are
 * queued with it are taken together: without the ends, tasks that the worker
 * has completed would be started again.
 */
export function takeBatch(queue: readonly QueuedEvent[]): {
  taken: readonly QueuedEvent[];
  rest: QueuedEvent[];
} {
  let bytes = 0;
  let count = 0;
  for (const [at, {event}] of queue.entries()) {
    bytes += estimateBytes(event);
    if (count > 0 && bytes > MAX_CHANGE_BYTES) break;
    const next = queue[at + 1]?.event;
    if (next && mustStayTogether(event, next)) continue;
    count = at + 1;
  }
  return {taken: queue.slice(0, count), rest: queue.slice(count)};
}

/** Whether `event` records a worker and `next` holds ends of its runs. */
function mustStayTogether(event: Event, next: Event): boolean {
  return (
    event.type === 'worker' &&
    next.type === 'ends' &&
    next.worker === workerKey(event.worker)
  );
}

/**
 * Removes the expired events and rejects them with `NotLeader`, since they were
 * never proposed. Returns the other events.
 */
export function rejectExpired(
  queue: readonly QueuedEvent[],
  nowMs: number,
): QueuedEvent[] {
  return queue.filter(({reply, expiresAtMs = Infinity}) => {
    if (nowMs <= expiresAtMs) return true;
    reply?.reject(new NotLeader(undefined));
    return false;
  });
}

/** Estimates the encoded size of an event. */
function estimateBytes(event: Event): number {
  switch (event.type) {
    case 'tables':
      return EVENT_BYTES + 2 * event.tables.document.length;
    case 'tables-difference':
      return EVENT_BYTES + JSON.stringify(event.difference).length;
    case 'submit': {
      const {payload, steps} = event.job;
      return EVENT_BYTES + payload.length + steps.length * STEP_BYTES;
    }
    case 'start':
    case 'lost':
    case 'displace':
      return EVENT_BYTES + event.runs.length * ROW_BYTES;
    case 'leases-suspended':
    case 'leases-resumed':
      return ROW_BYTES + event.workers.length * ROW_BYTES;
    case 'late-starts':
      return event.rows.reduce(
        (sum, [, lateOn]) => sum + ROW_BYTES * (1 + lateOn.length),
        EVENT_BYTES,
      );
    case 'ends':
      return event.ends.reduce(
        // Quotes and line breaks take two characters in JSON.
        (sum, [, , , checkpoint]) => sum + ROW_BYTES + 2 * checkpoint.length,
        EVENT_BYTES,
      );
    case 'worker':
      return EVENT_BYTES + (event.carriedRuns?.length ?? 0) * ROW_BYTES;
    case 'statistics':
      return EVENT_BYTES + event.rows.length * STATISTICS_ROW_BYTES;
    case 'forget':
      return EVENT_BYTES + event.jobs.length * ROW_BYTES;
    case 'wave':
      return EVENT_BYTES + Object.keys(event.wave.hosts).length * ROW_BYTES;
    default:
      return EVENT_BYTES;
  }
}
