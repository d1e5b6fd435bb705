/**
 * Copies of runs that last long: has a policy choose them in the room that a
 * round leaves, and learns from which run of the task ends first.
 */
import type {Counter, Log, Metrics} from '@lentildrift/observe';
import {
  splitTaskName,
  taskName,
  type EndRow,
  type Job,
  type StartRow,
  type State,
  type Task,
} from '@lentildrift/queue';
import {
  runId,
  type Copy,
  type CopyPolicy,
  type LiveRun,
  type Placement,
  type Plan,
  type StateView,
} from '@lentildrift/scheduling';
import type {AdviceCache} from './advice.js';
import type {LateStarts} from './late-starts.js';
import type {RunEstimates} from './run-estimates.js';
import type {RunTracker} from './tracker.js';
import type {WorkerSpeeds} from './worker-speeds.js';

export interface CopiesOptions {
  readonly policy: CopyPolicy;
  readonly placement: Placement;
  readonly runs: Pick<RunTracker, 'isStopping'>;
  /** Absent if no attempt to start a run is ever late. */
  readonly lateStarts?: Pick<LateStarts, 'allowedWorkers'>;
  readonly estimates: Pick<RunEstimates, 'recordOutlasted'>;
  readonly speeds: Pick<WorkerSpeeds, 'assess'>;
  readonly advice: Pick<AdviceCache, 'advisedWorkers'>;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Runs of steps that allow copies that earlier leaders started. */
  readonly inherited: Iterable<LiveRun>;
  /** The recorded state. */
  state(): State;
  /** Monotonic time. */
  nowMs(): number;
}

export interface Copies {
  /**
   * Chooses copies to start with what the plan starts; none if they were chosen
   * a moment ago. A choice that is not recorded has no effect.
   */
  choose(state: State, view: StateView, plan: Plan): readonly StartRow[];
  /** Notes that a change with these starts is on record. */
  recordStarts(rows: readonly StartRow[]): void;
  /** Notes ends that are on record, in their order. */
  recordEnds(ends: readonly EndRow[]): void;
}

/** Copies need not be exact to the moment, and rounds may follow each other closely. */
const CHOICE_INTERVAL_MS = 100;

/** Which run of the task ended first, or why neither did. */
type Outcome = 'copy-first' | 'run-first' | 'lost' | 'job-ended';
/** Number of copies that are assumed to have ended sooner in each queue. */
const ASSUMED_SOONER = 2;
/** Outcomes, and the starts. */
const MAX_SERIES = 8;

/** A task of which a copy was started. */
interface CopiedTask {
  readonly queue: string;
  readonly reason: Copy['reason'] | 'inherited';
  readonly firstRun: number;
  readonly firstWorker: string;
  readonly copyRun: number;
  /** Monotonic time at which the copy was recorded. */
  readonly recordedMs: number;
  readonly expectedMs: number;
  /** Whether the first run ended without success. */
  hasFirstEnded: boolean;
  /** Whether the outcome of the copy is known. */
  isSettled: boolean;
}

/** How often second runs of tasks have ended sooner, in one queue. */
interface Evidence {
  sooner: number;
  later: number;
}

export function createCopies(options: CopiesOptions): Copies {
  const {policy, placement, runs, estimates, speeds, advice} = options;
  const {log, state, nowMs: clockMs} = options;
  const copyCount: Counter = options.metrics.counter(
    'lentildrift_copies_total',
    'Second runs of tasks that last long, by outcome.',
    MAX_SERIES,
  );
  /** By task name, until the task has ended. */
  const copied = new Map<string, CopiedTask>();
  /** Choices that are not on record yet, by `runId`. */
  let pending = new Map<string, Copy>();
  const evidence = new Map<string, Evidence>();
  let chosenMs = -Infinity;

  for (const {job, key, task} of options.inherited) {
    const numbers = task.runs.map(({number}) => number);
    if (numbers.length < 2) continue;
    copied.set(taskName(job.spec.id, key), {
      queue: job.spec.queue,
      reason: 'inherited',
      firstRun: Math.min(...numbers),
      firstWorker: '',
      copyRun: Math.max(...numbers),
      recordedMs: clockMs(),
      expectedMs: 0,
      hasFirstEnded: false,
      isSettled: false,
    });
  }

  function choose(
    projected: State,
    view: StateView,
    plan: Plan,
  ): readonly StartRow[] {
    const nowMs = clockMs();
    if (nowMs - chosenMs < CHOICE_INTERVAL_MS) return [];
    chosenMs = nowMs;
    dropEndedTasks();
    const choices = policy.choose({
      state: projected,
      load: view.load,
      plan,
      advisedWorkers: advice.advisedWorkers(),
      placement,
      assess: live => speeds.assess(live, view.load),
      wasCopied: task =>
        copied.has(task) ||
        options.lateStarts?.allowedWorkers(task) !== undefined,
      isStopping: runs.isStopping,
      independence,
    });
    pending = new Map(
      choices.map(copy => [runId(copy.row[0], copy.row[1]), copy]),
    );
    return choices.map(({row}) => row);
  }

  /**
   * Nothing is known at first. To start from a low value would leave it at that:
   * only copies show whether they end sooner.
   */
  function independence(queue: string): number {
    const {sooner, later} = evidence.get(queue) ?? {sooner: 0, later: 0};
    return (sooner + ASSUMED_SOONER) / (sooner + later + ASSUMED_SOONER);
  }

  function recordStarts(rows: readonly StartRow[]): void {
    for (const [name, run] of rows) {
      const copy = pending.get(runId(name, run));
      if (!copy || !isRecorded(name, run)) continue;
      const {copied: first, reason, expectedMs} = copy;
      copied.set(name, {
        queue: first.job.spec.queue,
        reason,
        firstRun: first.run.number,
        firstWorker: first.run.worker,
        copyRun: run,
        recordedMs: clockMs(),
        expectedMs,
        hasFirstEnded: false,
        isSettled: false,
      });
      logStart(copy);
    }
    pending = new Map();
  }

  function isRecorded(name: string, run: number): boolean {
    const found = findTask(state(), name);
    return found?.task?.runs.some(({number}) => number === run) ?? false;
  }

  function logStart({row, copied: first, reason, ...inputs}: Copy): void {
    const [task, run, worker] = row;
    copyCount.add({outcome: 'started'});
    log.info('copy-started', {
      task,
      run,
      worker,
      reason,
      firstRun: first.run.number,
      firstWorker: first.run.worker,
      elapsedMs: Math.round(inputs.elapsedMs),
      expectedMs: Math.round(inputs.expectedMs),
      remainingMs: Math.round(inputs.remainingMs),
      copyMs: Math.round(inputs.copyMs),
    });
  }

  function recordEnds(ends: readonly EndRow[]): void {
    if (copied.size === 0) return;
    for (const [name, run, how] of ends) {
      const entry = copied.get(name);
      if (!entry || entry.isSettled) continue;
      if (how === 'done') {
        settle(name, entry, run === entry.copyRun ? 'copy-first' : 'run-first');
      } else if (run === entry.copyRun) {
        settle(name, entry, 'lost', how);
      } else {
        entry.hasFirstEnded = true;
      }
    }
  }

  function settle(
    name: string,
    entry: CopiedTask,
    outcome: Outcome,
    how?: string,
  ): void {
    entry.isSettled = true;
    const copyRanMs = clockMs() - entry.recordedMs;
    copyCount.add({outcome});
    log.info('copy-ended', {
      task: name,
      run: entry.copyRun,
      outcome,
      how,
      reason: entry.reason,
      copyRanMs: Math.round(copyRanMs),
    });
    if (entry.hasFirstEnded) return;
    if (outcome === 'copy-first') {
      estimates.recordOutlasted(name, entry.firstRun, entry.firstWorker);
    }
    learn(entry, outcome, copyRanMs);
  }

  /**
   * Counts what the outcome says about runs on workers of usual speed. A copy
   * that the first run has left little time says little.
   */
  function learn(
    {queue, reason, expectedMs}: CopiedTask,
    outcome: Outcome,
    copyRanMs: number,
  ): void {
    if (reason !== 'long-run') return;
    const known = evidence.get(queue) ?? {sooner: 0, later: 0};
    if (outcome === 'copy-first') known.sooner++;
    if (outcome === 'run-first') {
      known.later += Math.min(1, copyRanMs / expectedMs);
    }
    evidence.set(queue, known);
  }

  /** Drops the tasks that have ended, and settles copies that are lost. */
  function dropEndedTasks(): void {
    for (const [name, entry] of copied) {
      const found = findTask(state(), name);
      if (!found?.task || found.job.phase !== 'active' || found.task.done) {
        copied.delete(name);
        if (!entry.isSettled) settle(name, entry, 'job-ended');
        continue;
      }
      const {runs: recorded} = found.task;
      const isLive = recorded.some(({number}) => number === entry.copyRun);
      if (!entry.isSettled && !isLive) settle(name, entry, 'lost');
    }
  }

  return {choose, recordStarts, recordEnds};
}

function findTask(
  {jobs}: State,
  name: string,
): {job: Job; task: Task | undefined} | undefined {
  const {job: id, key} = splitTaskName(name);
  const job = jobs.get(id);
  return job && {job, task: job.tasks[key]};
}
