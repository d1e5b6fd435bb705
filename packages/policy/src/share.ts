/** Shares of a pool: which job is next, and what is reclaimed. */
import type {Job, Size, State} from '@lentildrift/model';
import type {Estimator} from './estimate.js';
import type {PoolSnapshot} from './decision-input.js';
import {addSizes, dominantShare, ZERO_SIZE} from './size.js';

export interface ShareInput {
  readonly state: State;
  readonly pool: PoolSnapshot;
  /** What the pool's workers hold together. */
  readonly capacity: Size;
  readonly estimator: Estimator;
  /** Running jobs of each team across the fleet, kept up to date. */
  readonly running: ReadonlyMap<string, number>;
}

export interface ShareResult {
  /** Queued jobs in the order in which they should start. */
  readonly order: readonly Job[];
  /** Running jobs on lent share, the first to be reclaimed first. */
  readonly lent: readonly Job[];
  /** Queued jobs for which lent share is reclaimed. */
  readonly preemptors: readonly Job[];
}

/** Shares a pool out between teams. */
export abstract class SharePolicy {
  abstract share(input: ShareInput): ShareResult;
}

/** Jobs ordered in one round beyond those that fill the pool. */
const LOOK_AHEAD_JOBS = 64;

/**
 * Weighted dominant share: the next start goes to the team whose dominant
 * share, divided by its weight, is the smallest. Share that others leave idle
 * is lent; it is reclaimed for urgent work and for teams below their share.
 */
export class DominantShares extends SharePolicy {
  override share(input: ShareInput): ShareResult {
    const teams = collectTeamUsage(input);
    if (teams.length === 0) return {order: [], lent: [], preemptors: []};
    const fair = computeFairShares(teams);
    const preemptors = findPreemptors(teams, fair);
    const lent = findLentJobs(teams, fair, input);
    return {
      order: orderStarts(teams, input.capacity),
      lent,
      preemptors,
    };
  }
}

/** A team's usage in one pool; shares are dominant and between 0 and 1. */
export interface TeamUsage {
  readonly team: string;
  readonly weight: number;
  readonly queued: {job: Job; share: number}[];
  readonly running: {job: Job; share: number}[];
  held: number;
  wanted: number;
  /** Starts that the team's upper limit still allows. */
  startsLeft: number;
}

export function collectTeamUsage(input: ShareInput): TeamUsage[] {
  const {pool, capacity, estimator, state} = input;
  const usages = new Map<string, TeamUsage>();
  const usageOf = (team: string) => {
    let usage = usages.get(team);
    if (!usage) usages.set(team, (usage = createTeamUsage(input, team)));
    return usage;
  };
  for (const job of pool.running) {
    const share = dominantShare(estimator.estimateRunningSize(job), capacity);
    const usage = usageOf(job.team);
    usage.running.push({job, share});
    usage.held += share;
    usage.wanted += share;
  }
  for (const job of pool.queued) {
    if (!state.tables.teams[job.team]) continue;
    const share = dominantShare(estimator.estimateSize(job), capacity);
    const usage = usageOf(job.team);
    usage.queued.push({job, share});
    if (Number.isFinite(share)) usage.wanted += share;
  }
  for (const usage of usages.values()) usage.queued.sort(compareUrgencyAndAge);
  return [...usages.values()];
}

function createTeamUsage(
  {state, running}: ShareInput,
  team: string,
): TeamUsage {
  const row = state.tables.teams[team];
  const limit = row?.jobLimit ?? row?.limit ?? 0;
  return {
    team,
    weight: row?.share ?? 1,
    queued: [],
    running: [],
    held: 0,
    wanted: 0,
    startsLeft: Math.max(0, limit - (running.get(team) ?? 0)),
  };
}

function compareUrgencyAndAge(a: {job: Job}, b: {job: Job}): number {
  if (a.job.urgent !== b.job.urgent) return a.job.urgent ? -1 : 1;
  return a.job.submittedAtMs - b.job.submittedAtMs;
}

/** Weighted max-min shares of a pool of size 1, none above what is wanted. */
export function computeFairShares(
  teams: readonly {team: string; weight: number; wanted: number}[],
): Map<string, number> {
  const fair = new Map<string, number>();
  const byNeed = [...teams].sort(
    (a, b) => a.wanted / a.weight - b.wanted / b.weight,
  );
  let room = 1;
  let weights = byNeed.reduce((sum, team) => sum + team.weight, 0);
  for (const {team, weight, wanted} of byNeed) {
    const allotted = Math.min(wanted, (room * weight) / weights);
    fair.set(team, allotted);
    room -= allotted;
    weights -= weight;
  }
  return fair;
}

/** Starts in order of weighted share; urgent jobs go before all others. */
function orderStarts(teams: readonly TeamUsage[], capacity: Size): Job[] {
  const order: Job[] = [];
  const next = new Map(teams.map(usage => [usage, 0]));
  const held = new Map(teams.map(usage => [usage, usage.held]));
  const left = new Map(teams.map(usage => [usage, usage.startsLeft]));
  let filled = teams.reduce((sum, usage) => sum + usage.held, 0);
  let beyond = 0;
  const active = teams.filter(usage => usage.queued.length > 0);
  while (beyond < LOOK_AHEAD_JOBS) {
    const usage = findNeediestTeam(active, next, held, left);
    if (!usage) break;
    const item = usage.queued[next.get(usage)!]!;
    next.set(usage, next.get(usage)! + 1);
    order.push(item.job);
    left.set(usage, left.get(usage)! - 1);
    const share = Number.isFinite(item.share) ? item.share : 0;
    held.set(usage, held.get(usage)! + share);
    filled += share;
    if (filled > 1 || capacity.cores === 0) beyond++;
  }
  return order;
}

function findNeediestTeam(
  teams: readonly TeamUsage[],
  next: ReadonlyMap<TeamUsage, number>,
  held: ReadonlyMap<TeamUsage, number>,
  left: ReadonlyMap<TeamUsage, number>,
): TeamUsage | undefined {
  let best: TeamUsage | undefined;
  let bestUrgent = false;
  let bestShare = Infinity;
  for (const usage of teams) {
    const item = usage.queued[next.get(usage)!];
    if (!item || left.get(usage)! <= 0) continue;
    const {urgent} = item.job;
    const share = held.get(usage)! / usage.weight;
    const precedes = urgent === bestUrgent ? share < bestShare : urgent;
    if (best && !precedes) continue;
    best = usage;
    bestUrgent = urgent;
    bestShare = share;
  }
  return best;
}

/** Part of its fair share by which a team may fall short before a reclaim. */
const MAX_SHORTFALL_FRACTION = 0.1;

/** Jobs that are owed room: urgent ones, and those of teams far below. */
function findPreemptors(
  teams: readonly TeamUsage[],
  fair: ReadonlyMap<string, number>,
): Job[] {
  const preemptors: Job[] = [];
  for (const usage of teams) {
    let owed =
      fair.get(usage.team)! * (1 - MAX_SHORTFALL_FRACTION) - usage.held;
    let starts = usage.startsLeft;
    for (const {job, share} of usage.queued) {
      if (starts <= 0) break;
      if (!job.urgent && owed < share) break;
      owed -= share;
      starts--;
      preemptors.push(job);
    }
  }
  return preemptors;
}

/** Running jobs above their team's fair share, the newest starts first. */
function findLentJobs(
  teams: readonly TeamUsage[],
  fair: ReadonlyMap<string, number>,
  {pool}: ShareInput,
): Job[] {
  if (pool.queued.length === 0) return [];
  const lent: {job: Job; excess: number}[] = [];
  for (const usage of teams) {
    let excess = usage.held - fair.get(usage.team)!;
    const newest = [...usage.running].sort(
      (a, b) => (b.job.placedAtMs ?? 0) - (a.job.placedAtMs ?? 0),
    );
    for (const {job, share} of newest) {
      if (job.urgent) continue;
      if (excess < share * 0.5) break;
      lent.push({job, excess: excess / usage.weight});
      excess -= share;
    }
  }
  return lent.sort((a, b) => b.excess - a.excess).map(({job}) => job);
}

/** Sum of the sizes of workers. */
export function sumSizes(workers: readonly Size[]): Size {
  return workers.reduce(addSizes, ZERO_SIZE);
}
