/** The task that keeps what entry processes recorded, for the burn report. */
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

interface Recorded {
  readonly heardMs: number;
  /** Number of the last sync taken; an older one that comes late is left out. */
  readonly sequence: number;
  readonly series: readonly BurnSeries[];
}

type BurnMessage =
  | {type: 'take'; burn: Burn; sequence: number}
  | {type: 'report'; state: State; reply: Reply<Report>};

export interface BurnRecorder {
  record(burn: Burn, sequence: number): void;
  /** The report over the entry processes that this process heard. */
  report(state: State): Promise<Report>;
  stop(): Promise<void>;
}

export function createBurnRecorder(tasks: TaskSystem): BurnRecorder {
  const task = tasks.spawn<ReadonlyMap<string, Recorded>, BurnMessage>({
    name: 'burn',
    initial: new Map(),
    handle(sources, message) {
      if (message.type === 'take') return take(sources, message);
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
    record: (burn, sequence) => void task.post({type: 'take', burn, sequence}),
    report: state =>
      task.ask<Report>(
        reply => ({type: 'report', state, reply}),
        ASK_TIMEOUT_MS,
      ),
    stop: () => task.stop(),
  };
}

function take(
  sources: ReadonlyMap<string, Recorded>,
  {burn: {source, series}, sequence}: {burn: Burn; sequence: number},
): ReadonlyMap<string, Recorded> {
  const heardMs = performance.now();
  const old = sources.get(source);
  if (old && sequence <= old.sequence) return sources;
  const held = old?.series ?? [];
  const kept = [...sources].filter(
    ([, {heardMs: lastMs}]) => heardMs - lastMs < LONG_BURN_WINDOW_MS,
  );
  const updated = updateSeries(held, series, Date.now());
  return new Map(kept).set(source, {heardMs, sequence, series: updated});
}
