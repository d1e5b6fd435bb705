/**
 * Prevents a leader from ordering a host to move or to be maintained while an
 * order of an earlier leader to the same host may still be in flight.
 */
import type {Change, Outcome, State} from '@lentildrift/queue';
import type {Replica} from '@lentildrift/consensus';
import {HOST_ORDER_PAUSE_MS} from './timing.js';

export interface HostOrderGuard {
  /** Whether an order of another process to the host may still be in flight. */
  hasForeignOrder(host: string): boolean;
  stop(): void;
}

export interface HostOrderGuardOptions {
  readonly replica: Replica<State, Change, readonly Outcome[]>;
  /**
   * Identifies this incarnation of the process in the records of its orders.
   */
  readonly processId: string;
  /** Whether the process that gave an order is known to have ended. */
  hasProcessEnded(processId: string): boolean;
}

/**
 * An order counts as in flight for `HOST_ORDER_PAUSE_MS` of monotonic time
 * after this replica applied its record, unless this process gave the order or
 * the process that gave it has ended.
 */
export function createHostOrderGuard(
  options: HostOrderGuardOptions,
): HostOrderGuard {
  const {replica, processId} = options;
  /** Monotonic time at which the last order was applied here, by host. */
  const appliedMs = new Map<string, number>();
  const createdMs = performance.now();

  const unsubscribe = replica.onApply(({change}) => {
    for (const event of change.events) {
      if (event.type !== 'duty' || event.duty.done) continue;
      appliedMs.set(event.duty.host, performance.now());
    }
  });

  return {
    hasForeignOrder(host) {
      const order = replica.state().hostOrders.get(host);
      if (!order || order.by === processId) return false;
      // An order that came with a snapshot dates from before this process, so
      // its wait is counted from the creation of the guard.
      const sinceMs = appliedMs.get(host) ?? createdMs;
      if (performance.now() - sinceMs > HOST_ORDER_PAUSE_MS) return false;
      return !options.hasProcessEnded(order.by);
    },
    stop: unsubscribe,
  };
}
