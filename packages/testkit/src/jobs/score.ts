/** Scores a trial: the worth of jobs that ended in time, less the costs. */
import type {TrafficShape} from './shape.js';
import type {JobArrival} from './workload.js';

export interface TrialScore {
  /** Fraction of the total worth of the jobs that was earned. */
  readonly served: number;
  /** Mean of that fraction over the two worst windows. */
  readonly worstWindows: number;
  /** That fraction for the worst queue. */
  readonly worstQueue: number;
  readonly hostSeconds: number;
  readonly moves: number;
  /** Weighted sum of the three fractions, less the price of hosts and moves. */
  readonly worth: number;
  readonly jobs: number;
  /** Jobs that missed their objective. */
  readonly late: number;
}

/**
 * A late job that ends within this multiple of its objective earns
 * `LATE_WORTH` of its worth.
 */
const LATE_FACTOR = 3;
const LATE_WORTH = 0.07;
const WINDOW_MS = 2000;
/** Weights of the whole trial, the worst windows and the worst queue. */
const WEIGHTS = {whole: 0.64, windows: 0.21, queue: 0.15};

export function computeScore(
  shape: TrafficShape,
  arrivals: readonly JobArrival[],
  endedMs: ReadonlyMap<string, number>,
  {moves, hostSeconds}: {moves: number; hostSeconds: number},
): TrialScore {
  const jobs = arrivals.filter(({worth}) => worth > 0);
  const rows = jobs.map(job => {
    const {atMs, criticalPathMs, worth, spec} = job;
    const objectiveMs = shape.stretch * criticalPathMs + shape.targetMs;
    const durationMs = (endedMs.get(spec.id) ?? Infinity) - atMs;
    const inTime = durationMs <= objectiveMs;
    const lateFraction =
      durationMs <= LATE_FACTOR * objectiveMs ? LATE_WORTH : 0;
    return {
      job,
      owed: worth,
      earned: worth * (inTime ? 1 : lateFraction),
      inTime,
    };
  });
  const earnedFraction = (subset: typeof rows) =>
    sum(subset.map(({earned}) => earned)) /
    Math.max(1e-9, sum(subset.map(r => r.owed)));
  const windows = groupBy(rows, ({job}) => Math.floor(job.atMs / WINDOW_MS));
  const queues = groupBy(rows, ({job}) => job.queue);
  const served = earnedFraction(rows);
  const [worst = 1, second = 1] = windows
    .map(earnedFraction)
    .sort((a, b) => a - b);
  const worstWindows = (worst + second) / 2;
  const worstQueue = Math.min(...queues.map(earnedFraction));
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

function groupBy<T, K>(rows: readonly T[], keyOf: (row: T) => K): T[][] {
  const byKey = new Map<K, T[]>();
  for (const row of rows) {
    const key = keyOf(row);
    byKey.set(key, [...(byKey.get(key) ?? []), row]);
  }
  return [...byKey.values()];
}
