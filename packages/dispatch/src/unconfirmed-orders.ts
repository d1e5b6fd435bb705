/**
 * The orders of a session to start runs that may have reached another
 * incarnation of the worker.
 */
import {runId} from '@lentildrift/scheduling';
import type {Report} from './driver.js';
import {
  CLOCK_DRIFT,
  LEASE_MARGIN_MS,
  MAX_DELAY_MS,
  MAX_LEASE_MS,
} from './timing.js';

/** Time from an attempt until a run that it has started late is over. */
const LATE_ATTEMPT_MS =
  MAX_DELAY_MS + MAX_LEASE_MS / (1 - CLOCK_DRIFT) + LEASE_MARGIN_MS;

/**
 * Orders to start runs that nothing shows to have reached this incarnation of
 * the worker, by `runId`. A report that was requested after the end of an
 * attempt shows it, since the incarnation was still there.
 */
export interface UnconfirmedOrders {
  recordSent(id: string): void;
  /** Notes any answer, also a refusal. */
  recordAnswered(id: string): void;
  recordUnanswered(id: string): void;
  /** Handles a report of this incarnation that was requested at `sentMs`. */
  confirm(report: Report, sentMs: number): void;
  /**
   * An attempt that got no answer counts as confirmed as well, although the
   * network may still deliver it: see `hadLateAttempt`.
   */
  isUnconfirmed(id: string): boolean;
  /** Whether an attempt since the last report has no answer, or none yet. */
  hasUnanswered(): boolean;
  /**
   * Whether an attempt without an answer may have arrived long after it was sent,
   * and the run that it started may not be over.
   */
  hadLateAttempt(id: string): boolean;
}

export function createUnconfirmedOrders(): UnconfirmedOrders {
  /** Monotonic time of the end of the last attempt; infinite before it. */
  const endedMs = new Map<string, number>();
  const unanswered = new Set<string>();
  /** Monotonic time of the last attempt without an answer. */
  const unansweredMs = new Map<string, number>();

  return {
    recordSent(id) {
      endedMs.set(id, Infinity);
      unanswered.add(id);
    },
    recordAnswered(id) {
      endedMs.set(id, performance.now());
      unanswered.delete(id);
    },
    recordUnanswered(id) {
      const nowMs = performance.now();
      endedMs.set(id, nowMs);
      for (const [known, atMs] of unansweredMs) {
        if (nowMs - atMs < LATE_ATTEMPT_MS) break;
        unansweredMs.delete(known);
      }
      // The earliest stay in front.
      unansweredMs.delete(id);
      unansweredMs.set(id, nowMs);
    },
    hadLateAttempt: id =>
      performance.now() - (unansweredMs.get(id) ?? -Infinity) < LATE_ATTEMPT_MS,
    confirm({running, ended}, sentMs) {
      if (endedMs.size === 0) return;
      const listed = new Set(
        [...running, ...ended].map(({task, run}) => runId(task, run)),
      );
      for (const [id, atMs] of endedMs) {
        if (atMs >= sentMs && !listed.has(id)) continue;
        endedMs.delete(id);
        unanswered.delete(id);
      }
    },
    isUnconfirmed: id => endedMs.has(id),
    hasUnanswered: () => unanswered.size > 0,
  };
}
