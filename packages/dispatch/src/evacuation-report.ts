/**
 * Reports at intervals what is left in evacuated data centres, and which jobs
 * wait because they could run only there.
 */
import type {Gauge, Log, Metrics} from '@lentildrift/observe';
import {workerKey, type State} from '@lentildrift/queue';
import {createEvacuationCheck, type StateView} from '@lentildrift/scheduling';
import {z} from 'zod';
import {countDataCentresInUse} from './data-centres.js';

export interface EvacuationReportOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  state(): State;
  /** The views of that state. */
  view(): StateView;
}

export interface EvacuationReport {
  /** Writes the log lines if they are due. */
  tick(): void;
  /** Notes that this process no longer knows. */
  stop(): void;
}

/** What is left in one evacuated data centre. */
export const EvacuationProgress = z.object({
  name: z.string(),
  /** Workers in the directory that have not left. */
  workers: z.int().nonnegative(),
  /** Recorded runs there. */
  runs: z.int().nonnegative(),
});
export type EvacuationProgress = z.infer<typeof EvacuationProgress>;

const REPORT_INTERVAL_MS = 2000;

/** Lists the evacuated data centres with what is left in them. */
export function listEvacuations(state: State): EvacuationProgress[] {
  const counts = new Map<string, {workers: number; runs: number}>();
  for (const name of [...state.evacuated].sort()) {
    counts.set(name, {workers: 0, runs: 0});
  }
  if (counts.size === 0) return [];
  for (const worker of state.workers.unorderedValues()) {
    const count = counts.get(worker.dataCentre);
    if (!count) continue;
    if (worker.phase !== 'gone') count.workers++;
    count.runs += state.runsByWorker.get(workerKey(worker))?.length ?? 0;
  }
  return [...counts].map(([name, count]) => ({name, ...count}));
}

export function createEvacuationReport(
  options: EvacuationReportOptions,
): EvacuationReport {
  const {log, metrics} = options;
  const evacuatedCount: Gauge = metrics.gauge(
    'lentildrift_evacuated_data_centres',
    'Data centres out of use; 0 at a process that does not lead.',
    1,
  );
  const heldCount: Gauge = metrics.gauge(
    'lentildrift_jobs_held_by_evacuation',
    'Jobs that could run only in evacuated data centres.',
    1,
  );
  let reportedMs = -Infinity;

  function tick(): void {
    const state = options.state();
    evacuatedCount.set({}, state.evacuated.size);
    if (state.evacuated.size === 0) {
      heldCount.set({}, 0);
      reportedMs = -Infinity;
      return;
    }
    const nowMs = performance.now();
    if (nowMs - reportedMs < REPORT_INTERVAL_MS) return;
    reportedMs = nowMs;
    for (const {name, workers, runs} of listEvacuations(state)) {
      log.info('data-centre-out-of-use', {dataCentre: name, workers, runs});
    }
    reportHeldJobs(state);
  }

  function reportHeldJobs(state: State): void {
    const isHeld = createEvacuationCheck(state);
    const nowMs = Date.now();
    const jobs = options
      .view()
      .backlog.waitingJobs.filter(job => isHeld(job, nowMs));
    heldCount.set({}, jobs.length);
    if (jobs.length === 0) return;
    log.warn('jobs-held-by-evacuation', {
      jobs: jobs.length,
      firstJob: jobs[0]!.spec.id,
      queue: jobs[0]!.spec.queue,
      dataCentresInUse: countDataCentresInUse(state),
    });
  }

  return {
    tick,
    stop() {
      evacuatedCount.set({}, 0);
      heldCount.set({}, 0);
    },
  };
}
