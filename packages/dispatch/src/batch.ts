/** What becomes one change, bounded so that its replication stays short. */
import type {Event, Outcome, StartRow} from '@lentildrift/queue';
import type {Reply} from '@lentildrift/task';

/** An event that waits for the next change. */
export interface QueuedEvent {
  readonly event: Event;
  readonly reply?: Reply<Outcome>;
}

export interface Batch {
  readonly queued: readonly QueuedEvent[];
  readonly starts: readonly StartRow[];
  /** Whether tasks found no room. */
  readonly hasUnplacedTasks: boolean;
}

/** A change of this size takes a link of 200 Mbit/s about 20 ms. */
const MAX_BATCH_BYTES = 512 * 1024;
/** Encoded size of an event without its lists and texts, at most. */
const EVENT_BYTES = 600;
/** Encoded size of a step, or of a row that names a task and a worker. */
const STEP_BYTES = 300;
const ROW_BYTES = 80;

/** Takes events from the front of the queue; the first one always. */
export function takeBatch(queue: readonly QueuedEvent[]): {
  taken: readonly QueuedEvent[];
  rest: QueuedEvent[];
} {
  let bytes = 0;
  let count = 0;
  for (const {event} of queue) {
    bytes += weigh(event);
    if (count > 0 && bytes > MAX_BATCH_BYTES) break;
    count++;
  }
  return {taken: queue.slice(0, count), rest: queue.slice(count)};
}

/** Roughly the size of the encoded event. */
function weigh(event: Event): number {
  switch (event.type) {
    case 'tables':
      return EVENT_BYTES + 2 * event.tables.document.length;
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
