/** Counts what was refused to clients, by reason. */
import type {Log, Metrics} from '@lentildrift/observe';
import {z} from 'zod';

export const RefusalReason = z.enum([
  /** The body is larger than the listener takes. */
  'body-too-large',
  /** The body stopped, or came at less than the least rate. */
  'body-slow',
  /** The headers of a request did not arrive in time. */
  'headers-slow',
  /** The requests in flight hold all that they may. */
  'budget',
  /** The client did not read its answer. */
  'answer-unread',
  /** The process has as many connections as it may. */
  'connections',
]);
export type RefusalReason = z.infer<typeof RefusalReason>;

/** Series of the counter: each reason for a few listeners. */
const MAX_SERIES = 24;

export interface Refusals {
  add(reason: RefusalReason): void;
  /** Writes one log line for each reason that occurred since the last call. */
  writeLines(): void;
}

/** `listeners` is the label of log lines and metrics. */
export function createRefusals(
  listeners: string,
  log: Log,
  metrics?: Metrics,
): Refusals {
  const counter = metrics?.counter(
    'lentildrift_intake_refusals_total',
    'Requests and connections of clients that were refused or closed',
    MAX_SERIES,
  );
  const unreported = new Map<RefusalReason, number>();
  return {
    add(reason) {
      counter?.add({listeners, reason});
      unreported.set(reason, (unreported.get(reason) ?? 0) + 1);
    },
    writeLines() {
      for (const [reason, count] of unreported) {
        log.warn('intake-refused', {listeners, reason, count});
      }
      unreported.clear();
    },
  };
}
