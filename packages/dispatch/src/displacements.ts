/**
 * Displacement of running work by urgent jobs: has a policy choose the runs after
 * the plan of a round, and records them before they are stopped. A run that is
 * on record as displaced is surplus, so it is stopped by whoever leads.
 */
import type {Counter, Log, Metrics} from '@lentildrift/observe';
import {
  splitTaskName,
  taskName,
  type StartRow,
  type State,
} from '@lentildrift/queue';
import {
  runId,
  type Displacement,
  type DisplacementPolicy,
  type LiveRun,
  type Plan,
  type RunProgress,
  type StateView,
} from '@lentildrift/scheduling';
import type {AdviceCache} from './advice.js';
import type {Report} from './driver.js';
import type {RunEstimates} from './run-estimates.js';
import type {RunTracker} from './tracker.js';

export interface DisplacementsOptions {
  readonly policy: DisplacementPolicy;
  readonly runs: Pick<RunTracker, 'runningSinceMs' | 'isStopping'>;
  readonly estimates: Pick<RunEstimates, 'durations'>;
  readonly advice: Pick<AdviceCache, 'advisedWorkers'>;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The recorded state. */
  state(): State;
}

export interface Displacements {
  /**
   * Chooses runs to displace after the plan; none if some were chosen a moment
   * ago. A choice that is not recorded has no effect.
   */
  choose(state: State, view: StateView, plan: Plan): readonly StartRow[];
  /** Notes that a change with these displacements is on record. */
  recordDisplaced(rows: readonly StartRow[]): void;
  /** Notes the checkpoints that a worker reports. */
  observe(worker: string, report: Report): void;
  /** Drops what is known of a worker's runs. */
  forget(worker: string): void;
}

/**
 * Time from one choice to the next: longer than a change takes, so that the next
 * choice sees the room that the last one frees.
 */
const CHOICE_INTERVAL_MS = 250;
const MAX_SERIES = 2;

/** The latest checkpoint of a run, by `runId`. */
interface Checkpoint {
  readonly checkpoint: string;
  /** Monotonic time at which it was first reported. */
  readonly reportedMs: number;
}

export function createDisplacements(
  options: DisplacementsOptions,
): Displacements {
  const {policy, runs, estimates, advice, log, state} = options;
  const count: Counter = options.metrics.counter(
    'lentildrift_displaced_runs_total',
    'Runs that were stopped for urgent jobs.',
    MAX_SERIES,
  );
  /** By worker key. */
  const checkpoints = new Map<string, ReadonlyMap<string, Checkpoint>>();
  /** Choices that are not on record yet, by `runId`. */
  let pending = new Map<string, Displacement>();
  let chosenMs = -Infinity;

  function progressOf({id, run, task}: LiveRun): RunProgress | undefined {
    const sinceMs = runs.runningSinceMs(id);
    if (sinceMs === undefined) return undefined;
    const nowMs = performance.now();
    const known = checkpoints.get(run.worker)?.get(id);
    // The run may report the checkpoint that it has resumed from.
    const isNew = known !== undefined && known.checkpoint !== task.checkpoint;
    return {
      elapsedMs: nowMs - sinceMs,
      sinceCheckpointMs: isNew ? nowMs - known.reportedMs : undefined,
    };
  }

  function choose(
    projected: State,
    view: StateView,
    plan: Plan,
  ): readonly StartRow[] {
    const nowMs = performance.now();
    if (nowMs - chosenMs < CHOICE_INTERVAL_MS) return [];
    const choices = policy.choose({
      state: projected,
      load: view.load,
      backlog: view.backlog,
      plan,
      nowMs: Date.now(),
      durations: estimates.durations(),
      advisedWorkers: advice.advisedWorkers(),
      progressOf,
      isStopping: runs.isStopping,
    });
    if (choices.length === 0) return [];
    chosenMs = nowMs;
    pending = new Map(
      choices.flatMap(choice => choice.runs.map(({id}) => [id, choice])),
    );
    return choices.flatMap(each => each.runs.map(toRow));
  }

  function recordDisplaced(rows: readonly StartRow[]): void {
    for (const [task, run, worker] of rows) {
      const choice = pending.get(runId(task, run));
      const {job, key} = splitTaskName(task);
      const record = state().jobs.get(job)?.tasks[key];
      if (!choice || record?.displacedRun !== run) continue;
      count.add({});
      log.info('run-displaced', {
        task,
        run,
        worker,
        for: choice.step,
        runs: choice.runs.length,
        gainMs: Math.round(choice.gainMs),
        lossMs: Math.round(choice.lossMs),
      });
    }
    pending = new Map();
  }

  function observe(worker: string, {running}: Report): void {
    if (running.every(({checkpoint}) => checkpoint === '')) {
      checkpoints.delete(worker);
      return;
    }
    const known = checkpoints.get(worker);
    const next = new Map<string, Checkpoint>();
    for (const {task, run, checkpoint} of running) {
      if (checkpoint === '') continue;
      const id = runId(task, run);
      const last = known?.get(id);
      const isKnown = last?.checkpoint === checkpoint;
      const reportedMs = isKnown ? last.reportedMs : performance.now();
      next.set(id, {checkpoint, reportedMs});
    }
    checkpoints.set(worker, next);
  }

  return {
    choose,
    recordDisplaced,
    observe,
    forget: worker => void checkpoints.delete(worker),
  };
}

function toRow({job, key, run}: LiveRun): StartRow {
  return [taskName(job.spec.id, key), run.number, run.worker];
}
