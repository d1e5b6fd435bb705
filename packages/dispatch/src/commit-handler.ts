/**
 * Handles the outcomes of changes: answers the requests that wait for them, and
 * follows up what a change has recorded.
 */
import type {Log, LogFields} from '@lentildrift/observe';
import {
  dueAtMs,
  occurrenceCount,
  queuesOf,
  splitTaskName,
  workerKey,
  type Event,
  type EventOf,
  type Outcome,
  type State,
} from '@lentildrift/queue';
import {objectiveMs, runId} from '@lentildrift/scheduling';
import type {Batch} from './batch.js';
import type {Copies} from './copies.js';
import type {Displacements} from './displacements.js';
import type {Dispatcher} from './dispatcher.js';
import type {JobStagesRecorder} from './job-stages.js';
import type {ReportHandler} from './report-handler.js';
import type {Retention} from './retention.js';
import type {RunEstimates} from './run-estimates.js';
import type {RunTracker} from './tracker.js';

export interface CommitHandlerOptions {
  readonly dispatcher: Dispatcher;
  readonly runs: RunTracker;
  readonly stages: JobStagesRecorder;
  readonly reports: ReportHandler;
  readonly retention: Retention;
  readonly estimates: RunEstimates;
  readonly copies: Omit<Copies, 'choose'>;
  readonly displacements: Pick<Displacements, 'recordDisplaced'>;
  readonly log: Log;
  state(): State;
}

export interface CommitHandler {
  /** Handles the outcomes of a batch's events, in the order of the events. */
  handleCommitted(batch: Batch, outcomes: readonly Outcome[]): void;
  /**
   * A rejected change is not applied as long as this process remains the
   * leader. The ends in the change were not acknowledged, so the worker's next
   * report lists them again; their cursor is dropped so that they are recorded
   * then. Later ends that are queued already are refused, since ends before
   * them are missing.
   */
  handleRejected(batch: Batch, error: Error): void;
}

export function createCommitHandler(
  options: CommitHandlerOptions,
): CommitHandler {
  const {dispatcher, runs, stages, reports, retention} = options;
  const {copies, estimates, log, state} = options;

  function handleCommitted(
    {queued, starts, displaced}: Batch,
    outcomes: readonly Outcome[],
  ): void {
    const startOutcome = outcomes[queued.length];
    if (starts.length > 0 && startOutcome !== 'applied') {
      log.warn('starts-unrecorded', {
        starts: starts.length,
        outcome: startOutcome,
      });
    }
    copies.recordStarts(starts);
    options.displacements.recordDisplaced(displaced);
    queued.forEach(({event, reply}, at) => {
      reply?.resolve(outcomes[at]!);
      followUp(event, outcomes[at]!);
    });
  }

  function handleRejected({queued}: Batch, error: Error): void {
    log.warn('change-rejected', {reason: error.message, events: queued.length});
    for (const {event, reply} of queued) {
      reply?.reject(error);
      if (event.type === 'ends') reports.forgetEnds(event.worker);
    }
  }

  function followUp(event: Event, outcome: Outcome): void {
    if (event.type === 'ends') {
      if (outcome === 'unknown' || outcome === 'outdated') {
        // The ends were not recorded, so the worker must not discard them. Its
        // next report lists them again, with those that are missing before them.
        const {worker, after, upTo} = event;
        log.warn('ends-unrecorded', {worker, after, upTo, outcome});
        reports.forgetEnds(worker);
        return;
      }
      dispatcher.sessionOf(event.worker)?.acknowledge(event.upTo);
      stages.recordEnds(event.ends);
      copies.recordEnds(event.ends);
      for (const [name, run] of event.ends) {
        runs.forget(runId(name, run));
        logJobEnd(splitTaskName(name).job);
      }
    } else if (event.type === 'submit') {
      if (outcome === 'conflict') stages.take(event.job.id);
      else stages.recordAccepted(event.job.id);
    } else if (event.type === 'cancel') {
      stages.take(event.job);
    } else if (event.type === 'crash') {
      logCrash(event);
    } else if (event.type === 'lost') {
      for (const [name, run] of event.runs) runs.forget(runId(name, run));
    } else if (event.type === 'worker' && outcome === 'applied') {
      const {worker} = event;
      log.info('worker-changed', {
        worker: workerKey(worker),
        pool: worker.pool,
        phase: worker.phase,
        host: worker.host,
        sequence: worker.sequence,
      });
    }
  }

  /** Logs a crash, with the tasks that it may be due to and those given up. */
  function logCrash(event: EventOf<'crash'>): void {
    const {worker, tasks, isCertain, isPrompt, isAlone} = event;
    log.warn(isCertain ? 'worker-crashed' : 'worker-crash-suspected', {
      worker,
      suspects: tasks.length,
      firstSuspect: tasks[0],
      prompt: isPrompt,
      alone: isAlone,
    });
    for (const task of tasks) {
      const {job} = splitTaskName(task);
      if (state().jobs.get(job)?.phase !== 'failed') continue;
      logJobEnd(job, {reason: 'crashes-workers', task});
    }
  }

  /** Logs how a job ended, with the time since it was due and its objective. */
  function logJobEnd(id: string, cause: LogFields = {}): void {
    const job = state().jobs.get(id);
    if (!job || job.phase === 'active' || !retention.recordEnd(id)) return;
    const queue = queuesOf(state()).get(job.spec.queue);
    const nowMs = Date.now();
    const durations = estimates.durations();
    const parts = Object.entries(stages.take(id) ?? {});
    log.info('job-ended', {
      job: id,
      queue: job.spec.queue,
      phase: job.phase,
      ...cause,
      tookMs: nowMs - dueAtMs(job, occurrenceCount(job.spec) - 1),
      ...(queue && {
        objectiveMs: Math.round(
          objectiveMs({job, queue, occurrence: 0, nowMs, durations}),
        ),
      }),
      ...Object.fromEntries(parts.map(([key, ms]) => [key, Math.round(ms)])),
    });
  }

  return {handleCommitted, handleRejected};
}
