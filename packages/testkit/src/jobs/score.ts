/** What a trial earned, and what it cost. */
import type {TrafficShape} from './shape.js';
import type {JobArrival} from './workload.js';

export interface TrialScore {
  /** Part of the worth owed that was earned. */
  readonly served: number;
  /** The same over the two worst windows, and for the worst queue. */
  readonly worstWindows: number;
  readonly worstQueue: number;
  readonly hostSeconds: number;
  readonly moves: number;
  /** Weighted parts less prices. */
  readonly worth: number;
  readonly jobs: number;
  readonly late: number;
}

/** A job that ends within this multiple of its objective earns a little. */
const LATE_FACTOR = 3;
const LATE_WORTH = 0.07;
const WINDOW_MS = 2000;
/** Weights of the whole day, the worst windows and the worst queue. */
const WEIGHTS = {whole: 0.64, windows: 0.21, queue: 0.15};

export function computeScore(
  shape: TrafficShape,
  arrivals: readonly JobArrival[],
  endedMs: ReadonlyMap<string, number>,
  {moves, hostSeconds}: {moves: number; hostSeconds: number},
): TrialScore {
  const jobs = arrivals.filter(({worth}) => worth > 0);
  const rows = jobs.map(job => {
    const {atMs, criticalPathMs: pathMs, worth, spec} = job;
    const objectiveMs = shape.stretch * pathMs + shape.targetMs;
    const tookMs = (endedMs.get(spec.id) ?? Infinity) - atMs;
    const inTime = tookMs <= objectiveMs;
    const late = tookMs <= LATE_FACTOR * objectiveMs ? LATE_WORTH : 0;
    return {job, owed: worth, earned: worth * (inTime ? 1 : late), inTime};
  });
  const ratio = (of: typeof rows) =>
    sum(of.map(({earned}) => earned)) /
    Math.max(1e-9, sum(of.map(r => r.owed)));
  const windows = groups(rows, ({job}) => Math.floor(job.atMs / WINDOW_MS));
  const queues = groups(rows, ({job}) => job.queue);
  const served = ratio(rows);
  const [worst = 1, second = 1] = windows.map(ratio).sort((a, b) => a - b);
  const worstWindows = (worst + second) / 2;
  const worstQueue = Math.min(...queues.map(ratio));
  const owed = sum(rows.map(row => row.owed));
  const prices =
    (hostSeconds * shape.hostSecondPrice + moves * shape.movePrice) / owed;
  const {whole, windows: windowWeight, queue} = WEIGHTS;
  return {
    served,
    worstWindows,
    worstQueue,
    hostSeconds,
    moves,
    worth:
      whole * served +
      windowWeight * worstWindows +
      queue * worstQueue -
      prices,
    jobs: jobs.length,
    late: rows.filter(({inTime}) => !inTime).length,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function groups<T, K>(rows: readonly T[], keyOf: (row: T) => K): T[][] {
  const byKey = new Map<K, T[]>();
  for (const row of rows) {
    const key = keyOf(row);
    byKey.set(key, [...(byKey.get(key) ?? []), row]);
  }
  return [...byKey.values()];
}
