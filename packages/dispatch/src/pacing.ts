/**
 * Sets the pace of the filler tasks on each worker by the tail latency of the
 * tasks that serve users there.
 */
import type {Log} from '@lentildrift/observe';
import {taskName} from '@lentildrift/queue';
import {
  nextPace,
  runId,
  type LiveRun,
  type ServingTask,
} from '@lentildrift/scheduling';
import type {WorkerSession} from './session.js';
import type {Report} from './driver.js';
import {HOLD_WAIT_MS} from './timing.js';

export interface Pacing {
  /**
   * Adjusts the pace of a worker's fillers to its latest report, and sets when
   * the worker reports next; sooner if the readiness of its runs is awaited.
   */
  observe(
    session: WorkerSession,
    report: Report,
    recorded: readonly LiveRun[],
    isReadinessAwaited?: boolean,
  ): void;
  /** Drops the pace of the worker with this ID. */
  forget(worker: string): void;
}

/**
 * Interval of the adjustments. Workers report the tail latency of the last half
 * second.
 */
const PACE_INTERVAL_MS = 500;
const FULL_PERCENT = 100;

/** Pace of the fillers on one worker. */
interface Pace {
  readonly percent: number;
  /** Monotonic time of the last adjustment. */
  readonly atMs: number;
  /** By `runId`. */
  readonly fillers: ReadonlyMap<string, FillerPace>;
}

/** Pace of one run; changed when an order to the run has its answer. */
interface FillerPace {
  /** Undefined if an order may have changed it, or not. */
  percent: number | undefined;
  /** Two orders at once could arrive in the wrong order. */
  isOrderInFlight: boolean;
}

const FULL_PACE: Pace = {
  percent: FULL_PERCENT,
  atMs: -Infinity,
  fillers: new Map(),
};

/**
 * The pace of a worker with fillers in its first report to this leader. They
 * were started by an earlier leader, so their pace is unknown.
 */
function inheritedPace(fillers: readonly {readonly id: string}[]): Pace {
  const unknown = () => ({percent: undefined, isOrderInFlight: false});
  return {
    ...FULL_PACE,
    fillers: new Map(fillers.map(({id}) => [id, unknown()])),
  };
}

/** The runs of a worker that are paced, and those that they may slow down. */
interface PacedRuns {
  readonly fillers: readonly LiveRun[];
  readonly serving: readonly LiveRun[];
}

/** The paced runs by the list of a worker's runs, which does not change. */
const pacedRunsOf = new WeakMap<readonly LiveRun[], PacedRuns>();

function listPacedRuns(recorded: readonly LiveRun[]): PacedRuns {
  let paced = pacedRunsOf.get(recorded);
  if (!paced) {
    const fillers = recorded.filter(({step}) => step.filler);
    const serving = recorded.filter(
      ({step}) => !step.filler && step.tailTargetMs > 0,
    );
    pacedRunsOf.set(recorded, (paced = {fillers, serving}));
  }
  return paced;
}

/**
 * Interval of the reports of a worker while the readiness of its long-running
 * tasks decides on the next stop. At the usual interval a step with a budget of
 * one task lost half a second of each stop, and a wave ended late.
 */
const READINESS_INTERVAL_MS = 200;

export function createPacing(log: Log): Pacing {
  /** By worker ID; absent before the worker's first report to this leader. */
  const paces = new Map<string, Pace>();

  function observe(
    session: WorkerSession,
    {running}: Report,
    recorded: readonly LiveRun[],
    isReadinessAwaited = false,
  ): void {
    const idleWaitMs = isReadinessAwaited
      ? READINESS_INTERVAL_MS
      : HOLD_WAIT_MS;
    const paced = listPacedRuns(recorded);
    const {id: worker} = session.worker;
    const last = paces.get(worker);
    if (paced.fillers.length === 0) {
      session.setHoldWaitMs(idleWaitMs);
      if (!last) paces.set(worker, FULL_PACE);
      return;
    }
    const rows = new Map(running.map(row => [runId(row.task, row.run), row]));
    const serving: ServingTask[] = [];
    for (const {step, id} of paced.serving) {
      const row = rows.get(id);
      if (!row) continue;
      serving.push({targetMs: step.tailTargetMs, tailMs: row.measure});
    }
    const fillers: {id: string; task: string; run: number}[] = [];
    for (const {job, key, run, id} of paced.fillers) {
      if (!rows.has(id)) continue;
      const task = taskName(job.spec.id, key);
      fillers.push({id, task, run: run.number});
    }
    const needsPacing = fillers.length > 0 && serving.length > 0;
    session.setHoldWaitMs(
      needsPacing ? Math.min(PACE_INTERVAL_MS, idleWaitMs) : idleWaitMs,
    );
    if (!last) paces.set(worker, inheritedPace(fillers));
    if (fillers.length > 0) adjust(session, serving, fillers);
  }

  function adjust(
    session: WorkerSession,
    serving: readonly ServingTask[],
    fillers: readonly {id: string; task: string; run: number}[],
  ): void {
    const {id: worker} = session.worker;
    const nowMs = performance.now();
    const last = paces.get(worker)!;
    const isDue = nowMs - last.atMs >= PACE_INTERVAL_MS;
    const percent = isDue ? nextPace(last.percent, serving) : last.percent;
    if (percent !== last.percent) {
      log.info('pace', {worker, percent, fillers: fillers.length});
    }
    const paceOf = new Map<string, FillerPace>();
    for (const {id, task, run} of fillers) {
      // A run starts at full pace.
      const filler = last.fillers.get(id) ?? {
        percent: FULL_PERCENT,
        isOrderInFlight: false,
      };
      paceOf.set(id, filler);
      if (filler.isOrderInFlight || filler.percent === percent) continue;
      void order(session, {task, run, percent}, filler);
    }
    paces.set(worker, {
      percent,
      atMs: isDue ? nowMs : last.atMs,
      fillers: paceOf,
    });
  }

  /** An order that is not carried out is repeated after a later report. */
  async function order(
    session: WorkerSession,
    {task, run, percent}: {task: string; run: number; percent: number},
    filler: FillerPace,
  ): Promise<void> {
    filler.percent = undefined;
    filler.isOrderInFlight = true;
    const isDone = await session.pace(task, run, percent);
    filler.isOrderInFlight = false;
    if (isDone) filler.percent = percent;
  }

  return {observe, forget: worker => void paces.delete(worker)};
}
