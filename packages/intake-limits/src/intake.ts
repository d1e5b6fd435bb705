/** What all listeners of a process share: the budget and the connections. */
import type {Log, Metrics} from '@lentildrift/observe';
import type {Socket} from 'node:net';
import {createBudget, type Budget} from './budget.js';
import {
  createConnectionTable,
  type ConnectionTable,
} from './connection-table.js';
import type {IntakeLimits} from './limits.js';
import {createRefusals, type RefusalReason} from './refusals.js';

/** Interval of checks for clients that keep the process waiting too long. */
const CHECK_INTERVAL_MS = 1000;
/** Series of a gauge, with one for the label values past the limit. */
const MAX_LISTENERS = 4;

export interface IntakeOptions {
  /** Who the listeners serve, as the label of log lines and metrics. */
  readonly listeners: string;
  readonly limits: IntakeLimits;
  readonly log: Log;
  readonly metrics?: Metrics;
}

/** A listener's check for clients that exceed a limit in time. */
export type TimeCheck = (nowMs: number) => void;

export interface Intake {
  readonly budget: Budget;
  readonly connections: ConnectionTable<Socket>;
  /** Counts a refusal, for the metrics and one log line a second. */
  refused(reason: RefusalReason): void;
  /** Calls `check` every second; returns a function that ends this. */
  addCheck(check: TimeCheck): () => void;
}

export function createIntake(options: IntakeOptions): Intake {
  const {listeners, limits, log, metrics} = options;
  const refusals = createRefusals(listeners, log, metrics);
  const checks = new Set<TimeCheck>();
  const budget = createBudget(limits.budgetBytes);
  const connections = createConnectionTable<Socket>(limits.maxConnections, () =>
    refusals.add('connections'),
  );
  const heldBytes = metrics?.gauge(
    'lentildrift_intake_held_bytes',
    'Bytes that requests in flight hold of the budget',
    MAX_LISTENERS,
  );
  const openConnections = metrics?.gauge(
    'lentildrift_intake_connections',
    'Open connections of clients',
    MAX_LISTENERS,
  );
  setInterval(() => {
    const nowMs = performance.now();
    for (const check of checks) check(nowMs);
    heldBytes?.set({listeners}, budget.usedBytes());
    openConnections?.set({listeners}, connections.size());
    refusals.writeLines();
  }, CHECK_INTERVAL_MS).unref();
  return {
    budget,
    connections,
    refused: refusals.add,
    addCheck(check) {
      checks.add(check);
      return () => void checks.delete(check);
    },
  };
}
