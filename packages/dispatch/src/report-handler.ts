/**
 * Handles what the sessions with workers bring: answers to orders, and reports,
 * which pass `filter → reconcile → record`.
 */
import type {Log} from '@lentildrift/observe';
import {taskName, workerKey, type Event, type Worker} from '@lentildrift/queue';
import {runId, type LiveRun} from '@lentildrift/scheduling';
import type {AdviceCache} from './advice.js';
import type {AnnouncementAges} from './announcement-age.js';
import type {Availability} from './availability.js';
import type {Displacements} from './displacements.js';
import type {Dispatcher} from './dispatcher.js';
import type {EventQueue} from './event-queue.js';
import type {LeaderInstruments} from './instruments.js';
import {createPacing, type Pacing} from './pacing.js';
import type {Readiness} from './readiness.js';
import type {ColdWorkers} from './cold-workers.js';
import type {CrashDetector} from './crash-detector.js';
import {reconcile} from './reconcile.js';
import {createReportFilter} from './report-filter.js';
import type {LateStarts} from './late-starts.js';
import type {LeaseSuspensions} from './lease-suspensions.js';
import {logRunsLost} from './lost-runs.js';
import type {RunEstimates} from './run-estimates.js';
import type {SessionEvent} from './session.js';
import type {StateViews} from './state-views.js';
import type {RunTracker} from './tracker.js';

export interface ReportHandlerOptions {
  readonly dispatcher: Dispatcher;
  readonly runs: RunTracker;
  readonly lateStarts: Pick<
    LateStarts,
    'markUnanswered' | 'markSettled' | 'recordAttempts' | 'observe'
  >;
  readonly crashes: CrashDetector;
  readonly leases: Pick<LeaseSuspensions, 'observeAnswer'>;
  readonly views: StateViews;
  readonly events: EventQueue;
  readonly availability: Availability;
  readonly announcements: Omit<AnnouncementAges, 'markAnnounced'>;
  readonly cold: Pick<ColdWorkers, 'forget'>;
  readonly estimates: RunEstimates;
  readonly readiness: Readiness;
  readonly advice: AdviceCache;
  readonly displacements: Pick<Displacements, 'observe' | 'forget'>;
  readonly instruments: LeaderInstruments;
  readonly log: Log;
  /**
   * Whether the next stop of a long-running task on a host may wait until one is
   * ready that runs on the worker, or is going to. `isIdle`: nothing runs on it.
   */
  awaitsReadiness(worker: Worker, isIdle: boolean): boolean;
  /** Called when the next round may act on what a session has brought. */
  onChange(): void;
}

export interface ReportHandler {
  /** Handles what a session brings; ignores sessions that were closed. */
  handle(event: SessionEvent): void;
  /**
   * Has the ends of a worker queued again when its next report lists them,
   * since some of them were not recorded.
   */
  forgetEnds(worker: string): void;
  /** Drops what is known of a worker's incarnation. */
  forget(worker: Worker): void;
}

export function createReportHandler(
  options: ReportHandlerOptions,
): ReportHandler {
  const {dispatcher, runs, views, events, availability, readiness} = options;
  const {lateStarts} = options;
  const {estimates, advice, announcements, instruments, log} = options;
  /** Number of the last end recorded or queued to be, by `workerKey`. */
  const recordedEndCursors = new Map<string, number>();
  const reportFilter = createReportFilter();
  const pacing: Pacing = createPacing(log);

  function handle(event: SessionEvent): void {
    const session = dispatcher.sessionOf(event.key);
    if (!session) return;
    switch (event.type) {
      case 'report':
        options.crashes.recordAnswer(session.worker);
        options.leases.observeAnswer(session.worker);
        handleReport(event);
        return;
      case 'silent':
        announcements.markSilent(event.key);
        options.crashes.recordSilence(session.worker);
        reportFilter.forget(event.key);
        options.onChange();
        return;
      case 'start':
        handleStartResult(event);
        return;
      case 'start-unanswered':
        runs.markUnanswered(runId(event.task, event.run));
        lateStarts.markUnanswered(event.task, event.run);
        return;
      case 'stop':
        runs.markSettled(runId(event.task, event.run));
    }
  }

  function handleStartResult(
    event: Extract<SessionEvent, {type: 'start'}>,
  ): void {
    const {key, task: name, run, answer} = event;
    const id = runId(name, run);
    runs.markSettled(id);
    lateStarts.markSettled(name, run);
    instruments.recordStartAnswer();
    if (answer.ok) {
      runs.markStarted(id);
      return;
    }
    log.info('start-refused', {
      worker: key,
      task: name,
      run,
      reason: answer.reason,
    });
    advice.handleRefusal(name, answer.reason);
    // After these answers the task may have run. Its run is not reported lost
    // here: a later report shows its end, or that it is lost.
    if (answer.reason === 'withdrawn' || answer.reason === 'superseded') return;
    events.enqueueDerived({type: 'lost', runs: [[name, run, key]]});
  }

  function handleReport(event: Extract<SessionEvent, {type: 'report'}>): void {
    const {key, report} = event;
    const session = dispatcher.sessionOf(key)!;
    const current = views.state().workers.get(session.worker.id);
    if (!current || workerKey(current) !== key) return;
    announcements.markAnswered(key);
    const recorded = views.recordedRuns(key);
    const cursor = Math.max(recordedEndCursors.get(key) ?? 0, current.cursor);
    if (reportFilter.isUnchanged(key, report, recorded, cursor)) {
      instruments.recordReport('none', 0);
      const {sentMs} = event;
      lateStarts.observe({worker: key, report, sentMs, unexpected: []});
    } else {
      reconcileReport(event, current, recorded, cursor);
    }
    readiness.observe(key, report);
    options.displacements.observe(key, report);
    const isIdle = recorded.length === 0;
    const isReadinessAwaited = options.awaitsReadiness(current, isIdle);
    pacing.observe(session, report, recorded, isReadinessAwaited);
  }

  /** Handles a report that may differ from the last or from the record. */
  function reconcileReport(
    {key, report, sentMs}: Extract<SessionEvent, {type: 'report'}>,
    worker: Worker,
    recorded: readonly LiveRun[],
    cursor: number,
  ): void {
    const {
      events: differences,
      unexpected,
      confirmed,
    } = reconcile({
      worker,
      report,
      recorded,
      cursor,
      isSettled: id => runs.isSettled(id, sentMs),
    });
    lateStarts.observe({worker: key, report, sentMs, unexpected});
    if (availability.markReconciled(key)) {
      instruments.recordReconciled();
      log.info('worker-reconciled', {
        worker: key,
        running: report.running.length,
        recorded: recorded.length,
      });
    }
    const ends = differences.reduce(
      (count, event) => count + (event.type === 'ends' ? event.ends.length : 0),
      0,
    );
    instruments.recordReport(ends > 0 ? 'ends' : 'other', ends);
    for (const id of confirmed) runs.markReported(id);
    if (report.isComplete) logUnsettledRuns(key, recorded, confirmed);
    for (const event of differences) recordDifference(key, event);
    for (const {task: name, run} of unexpected) {
      log.warn('unexpected-run', {worker: key, task: name, run});
      dispatcher.sessionOf(key)?.stop(name, run);
    }
    reportFilter.note(key, report, recorded, confirmed.size);
    options.onChange();
  }

  /** Logs the runs that reports of the worker have lacked for long. */
  function logUnsettledRuns(
    worker: string,
    recorded: readonly LiveRun[],
    confirmed: ReadonlySet<string>,
  ): void {
    for (const {id, job, key, run} of recorded) {
      if (confirmed.has(id) || !runs.markMissing(id)) continue;
      const task = taskName(job.spec.id, key);
      log.warn('run-unsettled', {worker, task, run: run.number});
    }
  }

  function recordDifference(key: string, event: Event): void {
    if (event.type === 'ends') {
      recordedEndCursors.set(key, event.upTo);
      availability.recordEnds(key, event.ends);
      for (const [name, run, how] of event.ends)
        observeEnd(key, name, run, how);
      lateStarts.recordAttempts(
        event.ends.filter(([, , how]) => how !== 'done').map(([name]) => name),
      );
    } else if (event.type === 'lost') {
      log.info('runs-lost', {worker: key, count: event.runs.length});
      logRunsLost(log, event.runs, 'absent');
      lateStarts.recordAttempts(event.runs.map(([name]) => name));
      events.enqueueDerived(event);
      return;
    }
    events.enqueue(event);
  }

  function observeEnd(
    key: string,
    name: string,
    run: number,
    how: string,
  ): void {
    runs.markTime(runId(name, run), 'reportedEndMs');
    if (how === 'done') estimates.recordCompletion(name, run, key);
    else log.info('run-ended', {worker: key, task: name, run, how});
  }

  return {
    handle,
    forgetEnds: worker => void recordedEndCursors.delete(worker),
    forget(worker) {
      const key = workerKey(worker);
      availability.forget(key);
      announcements.forget(key);
      options.cold.forget(key);
      recordedEndCursors.delete(key);
      reportFilter.forget(key);
      readiness.forget(key);
      options.displacements.forget(key);
      pacing.forget(worker.id);
    },
  };
}
