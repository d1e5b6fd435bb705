/**
 * Learns how long tasks take, and estimates from that how long the runs in
 * progress still need.
 */
import {
  parseTaskKey,
  splitTaskName,
  stepKey,
  taskName,
  type EventOf,
  type State,
} from '@lentildrift/queue';
import {
  createDurations,
  expectedDurationMs,
  recordDuration,
  runId,
  type Durations,
  type DurationSample,
  type LiveRun,
  type Load,
} from '@lentildrift/scheduling';
import {STATISTICS_INTERVAL_MS} from './timing.js';
import type {RunTracker} from './tracker.js';
import type {WorkerSpeeds} from './worker-speeds.js';

export interface RunEstimatesOptions {
  readonly runs: RunTracker;
  readonly speeds: Pick<WorkerSpeeds, 'recordEnd' | 'recordOutlasted'>;
  state(): State;
}

export interface RunEstimates {
  /** The durations of tasks learnt so far. */
  durations(): Durations;
  /**
   * Learns from the duration of a run that its worker reports as done. Only a
   * task's first run counts, and only if this leader saw its start confirmed.
   */
  recordCompletion(task: string, run: number, worker: string): void;
  /**
   * Learns from a first run that goes on although a copy of it has ended, and
   * that is about to be stopped.
   */
  recordOutlasted(task: string, run: number, worker: string): void;
  /**
   * Expected time until all runs on the worker have ended; infinite if it is
   * longer than `limitMs`, which then costs less.
   */
  emptyInMs(worker: string, load: Load, limitMs?: number): number;
  /**
   * Returns an event that records the learnt durations, so that the next leader
   * begins with them; undefined if none has changed, or if too little time has
   * passed since the last one.
   */
  takeStatistics(): EventOf<'statistics'> | undefined;
}

/**
 * Share of a run's expected duration that is assumed to remain at least, also
 * once the run has exceeded that duration.
 */
const MIN_REMAINING_SHARE = 0.25;

const NO_RUNS: readonly LiveRun[] = [];

export function createRunEstimates(options: RunEstimatesOptions): RunEstimates {
  const {runs, speeds, state} = options;
  let durations: Durations = createDurations(state().statistics.values());
  let statisticsRecordedMs = performance.now();

  /** The duration so far of a run that counts. */
  function findSample(task: string, run: number): DurationSample | undefined {
    const startedMs = runs.startedMs(runId(task, run));
    const {job: id, key} = splitTaskName(task);
    const job = state().jobs.get(id);
    if (startedMs === undefined || !job || run !== 1) return undefined;
    const {occurrence, step} = parseTaskKey(key);
    return {
      queue: job.spec.queue,
      stepName: taskName(id, stepKey(occurrence, step)),
      step: job.spec.steps[step]!,
      durationMs: performance.now() - startedMs,
    };
  }

  function recordCompletion(task: string, run: number, worker: string): void {
    const sample = findSample(task, run);
    if (!sample) return;
    speeds.recordEnd(sample, worker);
    durations = recordDuration(durations, sample);
  }

  function recordOutlasted(task: string, run: number, worker: string): void {
    const sample = findSample(task, run);
    if (!sample) return;
    speeds.recordOutlasted(sample, worker);
    durations = recordDuration(durations, sample);
  }

  function emptyInMs(worker: string, load: Load, limitMs = Infinity): number {
    let longestMs = 0;
    for (const live of load.runsByWorker.get(worker) ?? NO_RUNS) {
      longestMs = Math.max(longestMs, remainingMs(live));
      if (longestMs > limitMs) return Infinity;
    }
    return longestMs;
  }

  /**
   * Expected time until a run ends, counted from its confirmed start; the whole
   * expected duration if no start is confirmed, infinite for a long-running
   * task.
   */
  function remainingMs(live: LiveRun): number {
    const {job, step} = live;
    if (step.lasting) return Infinity;
    const durationMs = expectedDurationMs(durations, job.spec.queue, step);
    const startedMs = runs.startedMs(live.id);
    if (startedMs === undefined) return durationMs;
    const remainingTimeMs = startedMs + durationMs - performance.now();
    // A run that exceeds its expected duration is likely to need more time.
    return Math.max(remainingTimeMs, MIN_REMAINING_SHARE * durationMs);
  }

  function takeStatistics(): EventOf<'statistics'> | undefined {
    const nowMs = performance.now();
    if (nowMs - statisticsRecordedMs < STATISTICS_INTERVAL_MS) return undefined;
    statisticsRecordedMs = nowMs;
    const recorded = state().statistics;
    const rows = durations.byQueue
      .values()
      .filter(row => recorded.get(row.queue)?.mean !== row.mean);
    return rows.length > 0 ? {type: 'statistics', rows} : undefined;
  }

  return {
    durations: () => durations,
    recordCompletion,
    recordOutlasted,
    emptyInMs,
    takeStatistics,
  };
}
