/**
 * The task that stores the call counts that entry processes record, from which
 * it builds the error budget burn report.
 */
import type {BurnSeries, State} from '@lentildrift/model';
import {
  burnReport,
  LONG_BURN_WINDOW_MS,
  mergeSeries,
  updateSeries,
  type Report,
} from '@lentildrift/observe';
import type {SyncRequest} from '@lentildrift/protocol';
import type {Reply, TaskSystem} from '@lentildrift/task';

const ASK_TIMEOUT_MS = 1000;

type Burn = NonNullable<SyncRequest['burn']>;

interface SourceRecord {
  /** Time of the monotonic clock when the last sync arrived, in ms. */
  readonly receivedAtMs: number;
  /** Number of the last sync recorded; a late sync with a lower one is ignored. */
  readonly sequence: number;
  readonly series: readonly BurnSeries[];
}

type BurnMessage =
  | {type: 'record'; burn: Burn; sequence: number}
  | {type: 'report'; state: State; reply: Reply<Report>};

export interface BurnRecorder {
  /** Stores the counts of one sync; `sequence` is the number of that sync. */
  record(burn: Burn, sequence: number): void;
  /**
   * Builds the report over the entry processes that have synced with this
   * control process. Rejects with `TaskTimeout` after 1,000 ms.
   */
  report(state: State): Promise<Report>;
  stop(): Promise<void>;
}

export function createBurnRecorder(tasks: TaskSystem): BurnRecorder {
  const task = tasks.spawn<ReadonlyMap<string, SourceRecord>, BurnMessage>({
    name: 'burn-recorder',
    initial: new Map(),
    handle(sources, message) {
      if (message.type === 'record') return recordBurn(sources, message);
      const all = [...sources.values()].map(({series}) => series);
      const {teams} = message.state.tables;
      const objectiveOf = (team: string) =>
        Object.hasOwn(teams, team) ? teams[team]!.objective : undefined;
      const burn = burnReport(mergeSeries(all), objectiveOf, Date.now());
      message.reply.resolve({burn});
      return sources;
    },
  });
  return {
    record: (burn, sequence) =>
      void task.post({type: 'record', burn, sequence}),
    report: state =>
      task.ask<Report>(
        reply => ({type: 'report', state, reply}),
        ASK_TIMEOUT_MS,
      ),
    stop: () => task.stop(),
  };
}

/**
 * Stores the counts of one entry process, and drops those of processes that
 * have been silent for the long burn window.
 */
function recordBurn(
  sources: ReadonlyMap<string, SourceRecord>,
  {burn: {source, series}, sequence}: {burn: Burn; sequence: number},
): ReadonlyMap<string, SourceRecord> {
  const receivedAtMs = performance.now();
  const old = sources.get(source);
  if (old && sequence <= old.sequence) return sources;
  const previous = old?.series ?? [];
  const recent = [...sources].filter(
    ([, {receivedAtMs: lastMs}]) => receivedAtMs - lastMs < LONG_BURN_WINDOW_MS,
  );
  const updated = updateSeries(previous, series, Date.now());
  return new Map(recent).set(source, {receivedAtMs, sequence, series: updated});
}
