/**
 * Selects the events of one change of the replicated state. The size of a
 * change is limited so that its replication takes little time.
 */
import {NotLeader} from '@lentildrift/consensus';
import type {Event, Outcome, StartRow} from '@lentildrift/queue';
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

/**
 * Takes events from the front of the queue up to the size limit; the first
 * event is taken whatever its size.
 */
export function takeBatch(queue: readonly QueuedEvent[]): {
  taken: readonly QueuedEvent[];
  rest: QueuedEvent[];
} {
  let bytes = 0;
  let count = 0;
  for (const {event} of queue) {
    bytes += estimateBytes(event);
    if (count > 0 && bytes > MAX_CHANGE_BYTES) break;
    count++;
  }
  return {taken: queue.slice(0, count), rest: queue.slice(count)};
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
      return EVENT_BYTES + event.runs.length * ROW_BYTES;
    case 'ends':
      return EVENT_BYTES + event.ends.length * ROW_BYTES;
    case 'forget':
      return EVENT_BYTES + event.jobs.length * ROW_BYTES;
    case 'wave':
      return EVENT_BYTES + Object.keys(event.wave.hosts).length * ROW_BYTES;
    default:
      return EVENT_BYTES;
  }
}
