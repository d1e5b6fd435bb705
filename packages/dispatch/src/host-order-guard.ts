/** Keeps orders of successive leaders to one host apart. */
import type {Change, Outcome, State} from '@lentildrift/queue';
import type {Replica} from '@lentildrift/consensus';
import {HOST_ORDER_PAUSE_MS} from './timing.js';

export interface HostOrderGuard {
  /** Whether an order of another process to the host may be under way. */
  hasForeignOrder(host: string): boolean;
  stop(): void;
}

export interface HostOrderGuardOptions {
  readonly replica: Replica<State, Change, readonly Outcome[]>;
  /** This process, as the records of its orders name it. */
  readonly processId: string;
  /** Whether a process that gave an order has certainly ended. */
  hasEnded(process: string): boolean;
}

/**
 * Orders of a process that has ended are not under way, and neither are those
 * of this process. Others are waited for, counted on the steady clock from
 * when their record was applied here.
 */
export function createHostOrderGuard(
  options: HostOrderGuardOptions,
): HostOrderGuard {
  const {replica, processId} = options;
  const appliedMs = new Map<string, number>();
  const openedMs = performance.now();

  const unwatch = replica.onApply(({change}) => {
    for (const event of change.events) {
      if (event.type !== 'duty' || event.duty.done) continue;
      appliedMs.set(event.duty.host, performance.now());
    }
  });

  return {
    hasForeignOrder(host) {
      const duty = replica.state().hostOrders.get(host);
      if (!duty || duty.by === processId) return false;
      // What came with a snapshot is from before this process.
      const sinceMs = appliedMs.get(host) ?? openedMs;
      if (performance.now() - sinceMs > HOST_ORDER_PAUSE_MS) return false;
      return !options.hasEnded(duty.by);
    },
    stop: unwatch,
  };
}
