/** What all listeners of a process share: the budget and the connections. */
import type {Log, Metrics} from '@lentildrift/observe';
import {afterInput} from '@lentildrift/task';
import type {Socket} from 'node:net';
import {createBudget, type Budget} from './budget.js';
import {createIntakeClock} from './clock.js';
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
  /** The clock of all limits in time; it stands still while the process does. */
  nowMs(): number;
  /** Counts a refusal, for the metrics and one log line a second. */
  refused(reason: RefusalReason): void;
  /**
   * Calls `check` every second, once the input that has arrived by then is
   * handled; returns a function that ends this.
   */
  addCheck(check: TimeCheck): () => void;
}

export function createIntake(options: IntakeOptions): Intake {
  const {listeners, limits, log, metrics} = options;
  const refusals = createRefusals(listeners, log, metrics);
  const checks = new Set<TimeCheck>();
  const {nowMs, tick} = createIntakeClock(CHECK_INTERVAL_MS);
  const budget = createBudget(limits.budgetBytes, nowMs);
  const connections = createConnectionTable<Socket>(
    limits.maxConnections,
    () => refusals.add('connections'),
    nowMs,
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
    tick();
    const tickMs = nowMs();
    // After a freeze, this timer runs before waiting input is read.
    afterInput(() => {
      for (const check of checks) check(tickMs);
    });
    heldBytes?.set({listeners}, budget.usedBytes());
    openConnections?.set({listeners}, connections.size());
    refusals.writeLines();
  }, CHECK_INTERVAL_MS).unref();
  return {
    budget,
    connections,
    nowMs,
    refused: refusals.add,
    addCheck(check) {
      checks.add(check);
      return () => void checks.delete(check);
    },
  };
}
