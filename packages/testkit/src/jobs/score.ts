/** Scores a trial: the worth of jobs that ended in time, less the costs. */
import type {TrafficShape} from './shape.js';
import {listTeams, type JobArrival} from './workload.js';

export interface TrialScore {
  /** Fraction of the total worth of the jobs that was earned. */
  readonly served: number;
  /** Mean of that fraction over the two worst windows. */
  readonly worstWindows: number;
  /** That fraction for the worst queue. */
  readonly worstQueue: number;
  /** That fraction for the worst tenth of the teams; 1 without teams. */
  readonly worstTeams: number;
  /** That fraction for the worst of the size classes of all queues. */
  readonly worstSize: number;
  /** That fraction by queue, team and size class. */
  readonly classes: Readonly<Record<string, number>>;
  /** The same as `worth`, with the worst teams as a further part. */
  readonly worthWithTeams: number;
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
/** Weight of the worst tenth of the teams, beside those. */
const TEAMS_WEIGHT = 0.2;

/** Least sizes, relative to the mean, of the largest tenth and the next fifth. */
const LARGEST_TENTH = 2.2;
const NEXT_FIFTH = 1.05;

/** The size class of a job that is large for its queue. */
function sizeClass({queue, sizeFactor}: JobArrival): string | undefined {
  if (sizeFactor >= LARGEST_TENTH) return `${queue} largest`;
  return sizeFactor >= NEXT_FIFTH ? `${queue} large` : undefined;
}

/**
 * The jobs that are owed: without what a team sends beyond its weight in jobs a
 * second.
 */
export function listOwedJobs(
  shape: TrafficShape,
  arrivals: readonly JobArrival[],
): JobArrival[] {
  const weights = new Map(
    listTeams(shape).map(({name, weight}) => [name, weight]),
  );
  const sentMs = new Map<string, number[]>();
  return arrivals.filter(({worth, atMs, spec: {team}}) => {
    if (worth <= 0) return false;
    if (team === undefined) return true;
    const last = sentMs.get(team) ?? [];
    const recent = last.filter(sent => sent > atMs - 1000);
    const isOwed = recent.length < Math.max(1, weights.get(team)!);
    if (isOwed) recent.push(atMs);
    sentMs.set(team, recent);
    return isOwed;
  });
}

export function computeScore(
  shape: TrafficShape,
  arrivals: readonly JobArrival[],
  endedMs: ReadonlyMap<string, number>,
  {moves, hostSeconds}: {moves: number; hostSeconds: number},
): TrialScore {
  const jobs = listOwedJobs(shape, arrivals);
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
  const teams = groupBy(rows, ({job}) => job.spec.team);
  const sizes = groupBy(rows, ({job}) => sizeClass(job)).filter(
    ([{job}]) => sizeClass(job) !== undefined,
  );
  const served = earnedFraction(rows);
  const [worst = 1, second = 1] = windows
    .map(earnedFraction)
    .sort((a, b) => a - b);
  const worstWindows = (worst + second) / 2;
  const worstQueue = Math.min(...queues.map(earnedFraction));
  const teamFractions = teams.map(earnedFraction).sort((a, b) => a - b);
  const worstTeams = mean(
    teamFractions.slice(0, Math.ceil(teamFractions.length / 10)),
  );
  const classes = Object.fromEntries(
    [
      ...queues.map(group => [group[0].job.queue, group] as const),
      ...teams.map(group => [group[0].job.spec.team ?? '', group] as const),
      ...sizes.map(group => [sizeClass(group[0].job)!, group] as const),
    ].map(([name, group]) => [name, earnedFraction(group)]),
  );
  const owed = sum(rows.map(row => row.owed));
  const prices =
    (hostSeconds * shape.hostSecondPrice + moves * shape.movePrice) / owed;
  const {whole, windows: windowWeight, queue} = WEIGHTS;
  const parts =
    whole * served + windowWeight * worstWindows + queue * worstQueue;
  return {
    served,
    worstTeams,
    worstSize: Math.min(...sizes.map(earnedFraction)),
    classes,
    worthWithTeams:
      (parts + TEAMS_WEIGHT * worstTeams) / (1 + TEAMS_WEIGHT) - prices,
    worstWindows,
    worstQueue,
    hostSeconds,
    moves,
    worth: parts - prices,
    jobs: jobs.length,
    late: rows.filter(({inTime}) => !inTime).length,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return values.length > 0 ? sum(values) / values.length : 1;
}

function groupBy<T, K>(
  rows: readonly T[],
  keyOf: (row: T) => K,
): [T, ...T[]][] {
  const byKey = new Map<K, [T, ...T[]]>();
  for (const row of rows) {
    const key = keyOf(row);
    const group = byKey.get(key);
    if (group) group.push(row);
    else byKey.set(key, [row]);
  }
  return [...byKey.values()];
}
