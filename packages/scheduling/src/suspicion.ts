/** Decides which tasks the crash of a worker may be due to. */
import {isSuspect, taskName, type Crash} from '@lentildrift/queue';
import type {LiveRun} from './load.js';

/** A run on a worker that has crashed, with what the leader knew of it. */
export interface CrashedRun {
  readonly live: LiveRun;
  /** An earlier leader ordered the run. */
  readonly isInherited: boolean;
  /** The crashed incarnation may have run it; the next one may have instead. */
  readonly mayHaveRun: boolean;
  /** The crashed incarnation had confirmed the start, or reported the run. */
  readonly isConfirmed: boolean;
  /** The worker had reported the run some time after its start. */
  readonly isProven: boolean;
  /** Time from the start to the crash; undefined if it is not known. */
  readonly ranMs: number | undefined;
}

export interface CrashReport {
  readonly runs: readonly CrashedRun[];
  /** Whether other workers failed at the same time. */
  readonly isShared: boolean;
}

/** The tasks that a crash may be due to. */
export interface Accusation extends Pick<Crash, 'isPrompt' | 'isAlone'> {
  readonly tasks: string[];
}

/** A run that lasted longer did not crash its worker. */
const MAX_LATE_CRASH_MS = 5000;

/**
 * Names the tasks whose runs had just been started; if there are none, those
 * that had not run for long, unless other workers failed as well. Undefined if
 * the crash may be due to no task.
 */
export function accuse(report: CrashReport): Accusation | undefined {
  const {isShared} = report;
  const runs = report.runs.filter(({mayHaveRun}) => mayHaveRun);
  const prompt = runs.filter(
    ({live, isInherited, isProven}) =>
      !isProven && (!isInherited || isSuspect(live.task)),
  );
  if (prompt.length > 0) return toAccusation(prompt, true, isShared);
  if (isShared) return undefined;
  const late = runs.filter(({ranMs = 0}) => ranMs < MAX_LATE_CRASH_MS);
  return late.length > 0 ? toAccusation(late, false, false) : undefined;
}

function toAccusation(
  runs: readonly CrashedRun[],
  isPrompt: boolean,
  isShared: boolean,
): Accusation {
  const tasks = runs.map(({live}) => taskName(live.job.spec.id, live.key));
  // An order without an answer may have met a worker that had ended before.
  const isAlone =
    tasks.length === 1 && !isShared && runs.every(each => each.isConfirmed);
  return {tasks, isPrompt, isAlone};
}
