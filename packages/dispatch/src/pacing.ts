/** Paces the fillers on each worker by what its serving tasks report. */
import type {Log} from '@lentildrift/observe';
import {taskName} from '@lentildrift/queue';
import {
  nextPace,
  type LiveRun,
  type ServingTask,
} from '@lentildrift/scheduling';
import type {WorkerSession} from './session.js';
import type {Report} from './driver.js';
import {runId} from './reconcile.js';
import {HOLD_WAIT_MS} from './timing.js';

export interface Pacing {
  observe(
    contact: WorkerSession,
    report: Report,
    recorded: readonly LiveRun[],
  ): void;
  forget(worker: string): void;
}

/** Workers report the tail of the last half second. */
const INTERVAL_MS = 500;
const FULL_PERCENT = 100;

interface Pace {
  readonly percent: number;
  readonly atMs: number;
  /** Fillers that have been told. */
  readonly told: ReadonlySet<string>;
}

export function createPacing(log: Log): Pacing {
  const paces = new Map<string, Pace>();

  function observe(
    contact: WorkerSession,
    {running}: Report,
    recorded: readonly LiveRun[],
  ): void {
    const rows = new Map(running.map(row => [runId(row.task, row.run), row]));
    const serving: ServingTask[] = [];
    const fillers: {id: string; task: string; run: number}[] = [];
    for (const {job, key, step, run} of recorded) {
      const task = taskName(job.spec.id, key);
      const id = runId(task, run.number);
      const row = rows.get(id);
      if (!row) continue;
      if (step.filler) fillers.push({id, task, run: run.number});
      else if (step.tailTargetMs > 0) {
        serving.push({targetMs: step.tailTargetMs, tailMs: row.measure});
      }
    }
    const both = fillers.length > 0 && serving.length > 0;
    contact.setHoldWaitMs(both ? INTERVAL_MS : HOLD_WAIT_MS);
    if (fillers.length > 0) adjust(contact, serving, fillers);
  }

  function adjust(
    contact: WorkerSession,
    serving: readonly ServingTask[],
    fillers: readonly {id: string; task: string; run: number}[],
  ): void {
    const {id: worker} = contact.worker;
    const nowMs = performance.now();
    const last = paces.get(worker) ?? {
      percent: FULL_PERCENT,
      atMs: -Infinity,
      told: new Set<string>(),
    };
    const due = nowMs - last.atMs >= INTERVAL_MS;
    const percent = due ? nextPace(last.percent, serving) : last.percent;
    const changed = percent !== last.percent;
    if (changed) {
      log.info('pace', {worker, percent, fillers: fillers.length});
    }
    const told = new Set<string>();
    for (const {id, task, run} of fillers) {
      told.add(id);
      // A run begins at full pace.
      const known = last.told.has(id) || percent === FULL_PERCENT;
      if (changed || !known) contact.pace(task, run, percent);
    }
    paces.set(worker, {percent, atMs: due ? nowMs : last.atMs, told});
  }

  return {observe, forget: worker => void paces.delete(worker)};
}
