/**
 * Prevents an event from being queued again while it waits for its commit. The
 * state does not show its effect yet, so checks that run on each tick or report
 * would repeat it.
 */
import type {Event, EventOf, Outcome} from '@lentildrift/queue';
import type {Reply} from '@lentildrift/task';

/** Events that such checks derive from the replicated state. */
export type DerivedEvent = EventOf<
  'lost' | 'worker-gone' | 'upkeep' | 'crash' | 'survived'
>;

/**
 * Returns a function that queues an event unless the same event is queued or
 * being committed; of `lost` events, only the rows that are not. An event may be
 * queued again once it is decided, since after a rejection the state still calls
 * for it.
 */
export function createDerivedEventQueue(
  enqueue: (event: Event, reply: Reply<Outcome>) => void,
): (event: DerivedEvent) => void {
  const undecided = new Set<string>();

  function enqueueParts(parts: readonly string[], event: DerivedEvent): void {
    for (const part of parts) undecided.add(part);
    const release = () => {
      for (const part of parts) undecided.delete(part);
    };
    enqueue(event, {resolve: release, reject: release});
  }

  return event => {
    if (event.type === 'lost') {
      const runs = event.runs.filter(row => !undecided.has(keyOf(row)));
      if (runs.length > 0) enqueueParts(runs.map(keyOf), {...event, runs});
      return;
    }
    const key = keyOf(Object.values(event));
    if (!undecided.has(key)) enqueueParts([key], event);
  };
}

/** Identifies an event, or a row of one, by its values. */
function keyOf(values: readonly unknown[]): string {
  return JSON.stringify(values);
}
