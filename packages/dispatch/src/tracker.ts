/**
 * Tracks what this leader knows of runs beyond the replicated state, by
 * `runId`. Nothing here is stored: the next leader starts anew.
 */
import {MAX_DELAY_MS, STALE_LEADER_MS} from './timing.js';

/** Monotonic times of a run that this leader knows. */
export interface RunTimes {
  /** When a round decided on its start. */
  decidedMs?: number;
  /** When its order was sent. */
  orderedMs?: number;
  /** When a report with its end arrived. */
  reportedEndMs?: number;
}

export interface RunTracker {
  /** Notes the present time as one of the times of the run. */
  markTime(id: string, name: keyof RunTimes): void;
  timesOf(id: string): Readonly<RunTimes>;
  /** Notes that the order to start or stop the run has its final answer. */
  markSettled(id: string): void;
  /**
   * Whether the order was settled before `sinceMs` (monotonic). If a report
   * that was requested at that time lacks the run, the worker will never run
   * it.
   */
  isSettled(id: string, sinceMs: number): boolean;
  /** Notes that an attempt to start the run got no answer. */
  markUnanswered(id: string): void;
  /**
   * Whether an attempt to start the run may still be under way. Earlier leaders
   * may have sent inherited runs until `STALE_LEADER_MS` after this one began.
   */
  mayArriveLate(id: string): boolean;
  /** Notes that the worker has confirmed the start. */
  markStarted(id: string): void;
  /** Monotonic time at which the worker confirmed the start. */
  startedMs(id: string): number | undefined;
  /** Notes that the incarnation for which the run is recorded reported it. */
  markReported(id: string): void;
  wasReported(id: string): boolean;
  /**
   * Monotonic time since which the run is certainly running: its confirmed start
   * or the first report that lists it, whichever this leader saw first.
   */
  runningSinceMs(id: string): number | undefined;
  /** Whether an earlier leader ordered the run. */
  isInherited(id: string): boolean;
  /**
   * Whether the incarnation for which the run is recorded has confirmed the start
   * or reported the run, as far as this leader can know.
   */
  isConfirmed(id: string): boolean;
  /**
   * Whether that incarnation may have run it: it is confirmed, or an attempt got
   * no answer. Otherwise the order was not sent or another incarnation answered.
   */
  mayHaveRun(id: string): boolean;
  /**
   * Whether its worker had reported the run by `atMs` (monotonic) and had then
   * run it for so long that its start cannot crash the worker any more.
   */
  isProven(id: string, atMs: number): boolean;
  /**
   * Whether a run of a suspect is so recent that its worker, which answers, may
   * still crash under it; until the first report for inherited runs.
   */
  isOnTrial(id: string, atMs: number): boolean;
  /** Notes that the run is being stopped; false if it was already. */
  markStopping(id: string): boolean;
  isStopping(id: string): boolean;
  /**
   * Notes that a report lacks the run although it is recorded and its order is
   * not settled. True once: as soon as that has been so for `UNSETTLED_RUN_MS`.
   */
  markMissing(id: string): boolean;
  /** Drops everything about a run that is no longer recorded. */
  forget(id: string): void;
}

/**
 * An order is settled within about a second unless its worker does not answer,
 * so a run that reports lack for this long is held up.
 */
const UNSETTLED_RUN_MS = 3000;

/** A task that crashes its workers does so well within this time. */
const PROVEN_RUN_MS = 500;
/**
 * Time from the confirmed start of a suspect until its worker gets other runs.
 * Reports come up to a second apart, and to wait for one would hold up a pool
 * of few workers. A crash closes the connection to the worker at once.
 */
const TRIAL_MS = 300;

const NO_TIMES: RunTimes = {};

/**
 * `inherited` are the runs that earlier leaders ordered. They count as settled,
 * so the first report of their worker shows whether they are running.
 */
export function createRunTracker(inherited: Iterable<string>): RunTracker {
  const inheritedRuns = new Set(inherited);
  const beganMs = performance.now();
  const settledMs = new Map<string, number>();
  /** Monotonic time of the last attempt without an answer. */
  const unansweredMs = new Map<string, number>();
  const startedMs = new Map<string, number>();
  /** Monotonic time of the first report. */
  const reported = new Map<string, number>();
  const stopping = new Set<string>();
  const times = new Map<string, RunTimes>();
  const isConfirmed = (id: string) =>
    inheritedRuns.has(id) || startedMs.has(id) || reported.has(id);
  /** Monotonic time since which reports lack the run; infinite once logged. */
  const missingSinceMs = new Map<string, number>();
  return {
    markTime(id, name) {
      const known = times.get(id);
      if (known) known[name] = performance.now();
      else times.set(id, {[name]: performance.now()});
    },
    timesOf: id => times.get(id) ?? NO_TIMES,
    markSettled(id) {
      settledMs.set(id, performance.now());
      missingSinceMs.delete(id);
    },
    // A run without a known answer is not settled: the state may list the run
    // before the commit message arrives that makes this leader order it.
    isSettled: (id, sinceMs) =>
      inheritedRuns.has(id) || (settledMs.get(id) ?? Infinity) < sinceMs,
    markUnanswered: id => void unansweredMs.set(id, performance.now()),
    mayArriveLate(id) {
      const nowMs = performance.now();
      if (inheritedRuns.has(id)) {
        return nowMs - beganMs < STALE_LEADER_MS + MAX_DELAY_MS;
      }
      const sinceMs = nowMs - (unansweredMs.get(id) ?? -Infinity);
      return !settledMs.has(id) || sinceMs < MAX_DELAY_MS;
    },
    markStarted: id => void startedMs.set(id, performance.now()),
    startedMs: id => startedMs.get(id),
    markReported(id) {
      if (!reported.has(id)) reported.set(id, performance.now());
    },
    wasReported: id => reported.has(id),
    runningSinceMs(id) {
      const started = startedMs.get(id);
      const first = reported.get(id);
      if (started === undefined || first === undefined) return started ?? first;
      return Math.min(started, first);
    },
    isInherited: id => inheritedRuns.has(id),
    isConfirmed,
    mayHaveRun: id => isConfirmed(id) || unansweredMs.has(id),
    isProven: (id, atMs) =>
      reported.has(id) &&
      atMs - (startedMs.get(id) ?? -Infinity) >= PROVEN_RUN_MS,
    isOnTrial(id, atMs) {
      if (inheritedRuns.has(id)) return !reported.has(id);
      return atMs - (startedMs.get(id) ?? atMs) < TRIAL_MS;
    },
    markStopping(id) {
      if (stopping.has(id)) return false;
      stopping.add(id);
      return true;
    },
    isStopping: id => stopping.has(id),
    markMissing(id) {
      if (inheritedRuns.has(id) || settledMs.has(id)) return false;
      const nowMs = performance.now();
      const sinceMs = missingSinceMs.get(id) ?? nowMs;
      const isLong = nowMs - sinceMs >= UNSETTLED_RUN_MS;
      missingSinceMs.set(id, isLong ? Infinity : sinceMs);
      return isLong;
    },
    forget(id) {
      inheritedRuns.delete(id);
      settledMs.delete(id);
      unansweredMs.delete(id);
      startedMs.delete(id);
      reported.delete(id);
      stopping.delete(id);
      times.delete(id);
      missingSinceMs.delete(id);
    },
  };
}
