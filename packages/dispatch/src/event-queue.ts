/**
 * Gathers the events that wait for the next change of the replicated state: the
 * first filter of a decision round.
 */
import {NotLeader} from '@lentildrift/consensus';
import type {Event, Outcome} from '@lentildrift/queue';
import type {Reply} from '@lentildrift/task';
import {rejectExpired, takeBatch, type QueuedEvent} from './batch.js';
import {createDerivedEventQueue, type DerivedEvent} from './undecided.js';

export interface EventQueue {
  /** Queues an event, with the reply and the expiry that belong to it. */
  add(event: Omit<QueuedEvent, 'queuedMs'>): void;
  enqueue(event: Event, reply?: Reply<Outcome>): void;
  /** Queues the event unless it already waits for its commit. */
  enqueueDerived(event: DerivedEvent): void;
  /** Queues the event; resolves once it is durable and applied. */
  commit(event: Event): Promise<Outcome>;
  /** Removes the events of the next change from the front of the queue. */
  take(): readonly QueuedEvent[];
  size(): number;
  /** Monotonic time at which the oldest event was queued, if there is one. */
  oldestMs(): number | undefined;
  /** Rejects the requests that were not proposed in time. */
  rejectExpired(): void;
  /** Rejects all requests that were not proposed, since the leader stops. */
  rejectAll(): void;
}

/** `onQueued` is called after each event that was queued. */
export function createEventQueue(onQueued: () => void): EventQueue {
  let queuedEvents: QueuedEvent[] = [];
  const enqueueDerived = createDerivedEventQueue(enqueue);

  function add(event: Omit<QueuedEvent, 'queuedMs'>): void {
    queuedEvents.push({...event, queuedMs: performance.now()});
    onQueued();
  }

  function enqueue(event: Event, reply?: Reply<Outcome>): void {
    add({event, ...(reply && {reply})});
  }

  return {
    add,
    enqueue,
    enqueueDerived,
    commit: event =>
      new Promise((resolve, reject) => enqueue(event, {resolve, reject})),
    take() {
      const {taken, rest} = takeBatch(queuedEvents);
      queuedEvents = rest;
      return taken;
    },
    size: () => queuedEvents.length,
    oldestMs: () => queuedEvents[0]?.queuedMs,
    rejectExpired() {
      queuedEvents = rejectExpired(queuedEvents, performance.now());
    },
    rejectAll() {
      // None of these was proposed, so none of them has an effect.
      for (const {reply} of queuedEvents) {
        reply?.reject(new NotLeader(undefined));
      }
    },
  };
}
