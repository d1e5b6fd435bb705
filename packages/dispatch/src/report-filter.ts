/**
 * Recognises reports without news: the worker runs exactly the runs that are
 * recorded for it, as in its last report, and lists no end that is not recorded.
 * Most reports of a fleet are of this kind, since workers report at least once
 * in each wait of a hold.
 */
import type {LiveRun} from '@lentildrift/scheduling';
import type {Report} from './driver.js';

/** Names a run in a report. */
export interface ReportedRun {
  readonly task: string;
  readonly run: number;
}

export interface ReportFilter {
  /**
   * Whether the report, reconciled with `recorded`, would yield neither events
   * nor runs to stop nor newly confirmed runs. Ends up to `cursor` are recorded,
   * or queued to be.
   */
  isUnchanged(
    worker: string,
    report: Report,
    recorded: readonly LiveRun[],
    cursor: number,
  ): boolean;
  /** Notes a reconciled report, `confirmed` of whose runs are recorded. */
  note(
    worker: string,
    report: Report,
    recorded: readonly LiveRun[],
    confirmed: number,
  ): void;
  /** Has the worker's next report reconciled whatever it contains. */
  forget(worker: string): void;
}

interface ConfirmedRuns {
  readonly runs: readonly ReportedRun[];
  /** The list that was recorded; it is replaced when a run of it changes. */
  readonly recorded: readonly LiveRun[];
}

export function createReportFilter(): ReportFilter {
  /** By worker key; absent if its last report differed from the record. */
  const confirmedRuns = new Map<string, ConfirmedRuns>();
  return {
    isUnchanged(worker, {running, ended}, recorded, cursor) {
      const last = confirmedRuns.get(worker);
      if (last?.recorded !== recorded) return false;
      if (ended.some(({number}) => number > cursor)) return false;
      return isSameRuns(last.runs, running);
    },
    note(worker, {running}, recorded, confirmed) {
      if (confirmed === recorded.length && confirmed === running.length) {
        const runs = running.map(({task, run}) => ({task, run}));
        confirmedRuns.set(worker, {runs, recorded});
      } else {
        confirmedRuns.delete(worker);
      }
    },
    forget: worker => void confirmedRuns.delete(worker),
  };
}

/** Whether two reports list the same runs, in the same order. */
export function isSameRuns(
  a: readonly ReportedRun[],
  b: readonly ReportedRun[],
): boolean {
  return (
    a.length === b.length &&
    a.every(({task, run}, at) => run === b[at]!.run && task === b[at]!.task)
  );
}
