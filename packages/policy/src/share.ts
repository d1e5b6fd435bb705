/** Policies for sharing a pool between teams: start order and reclaims. */
import type {Job, Size, State} from '@lentildrift/model';
import type {Estimator} from './estimate.js';
import type {PoolSnapshot} from './decision-input.js';
import {addSizes, dominantShare, ZERO_SIZE} from './size.js';

export interface ShareInput {
  readonly state: State;
  readonly pool: PoolSnapshot;
  /** Total size of the pool's workers. */
  readonly capacity: Size;
  readonly estimator: Estimator;
  /**
   * Number of each team's running jobs across the fleet, updated during the
   * round.
   */
  readonly runningByTeam: ReadonlyMap<string, number>;
}

export interface ShareResult {
  /** Queued jobs in the order in which they should start. */
  readonly order: readonly Job[];
  /** Running jobs on lent share, the first to be reclaimed first. */
  readonly lent: readonly Job[];
  /** Queued jobs for which lent share is reclaimed. */
  readonly preemptors: readonly Job[];
}

/** Shares a pool between teams. */
export abstract class SharePolicy {
  abstract share(input: ShareInput): ShareResult;
}

/** Number of jobs ordered in one round beyond those that fill the pool. */
const LOOK_AHEAD_JOBS = 64;

/**
 * Weighted dominant resource fairness: the next start goes to the team with the
 * smallest dominant share divided by its weight. Share that teams leave idle is
 * lent to others, and is reclaimed for urgent jobs and for teams that are below
 * their fair share.
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

/** A team's usage of one pool. Shares are dominant shares, between 0 and 1. */
export interface TeamUsage {
  readonly team: string;
  readonly weight: number;
  readonly queued: {job: Job; share: number}[];
  readonly running: {job: Job; share: number}[];
  /** Share that the team's running jobs use. */
  used: number;
  /** Share that the team's running and queued jobs would use. */
  wanted: number;
  /** Number of starts that the team's upper limit still allows. */
  startsLeft: number;
}

/** Collects the usage of each team that has jobs in the pool. */
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
    usage.used += share;
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
  {state, runningByTeam}: ShareInput,
  team: string,
): TeamUsage {
  const row = state.tables.teams[team];
  const limit = row?.jobLimit ?? row?.limit ?? 0;
  return {
    team,
    weight: row?.share ?? 1,
    queued: [],
    running: [],
    used: 0,
    wanted: 0,
    startsLeft: Math.max(0, limit - (runningByTeam.get(team) ?? 0)),
  };
}

function compareUrgencyAndAge(a: {job: Job}, b: {job: Job}): number {
  if (a.job.urgent !== b.job.urgent) return a.job.urgent ? -1 : 1;
  return a.job.submittedAtMs - b.job.submittedAtMs;
}

/**
 * Computes the weighted max-min fair shares of a pool of size 1. No share
 * exceeds what the team wants.
 */
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

/**
 * Orders queued jobs by their team's weighted share; urgent jobs come first.
 */
function orderStarts(teams: readonly TeamUsage[], capacity: Size): Job[] {
  const order: Job[] = [];
  const next = new Map(teams.map(usage => [usage, 0]));
  const used = new Map(teams.map(usage => [usage, usage.used]));
  const startsLeft = new Map(teams.map(usage => [usage, usage.startsLeft]));
  let filled = teams.reduce((sum, usage) => sum + usage.used, 0);
  let beyond = 0;
  const active = teams.filter(usage => usage.queued.length > 0);
  while (beyond < LOOK_AHEAD_JOBS) {
    const usage = findNeediestTeam(active, next, used, startsLeft);
    if (!usage) break;
    const item = usage.queued[next.get(usage)!]!;
    next.set(usage, next.get(usage)! + 1);
    order.push(item.job);
    startsLeft.set(usage, startsLeft.get(usage)! - 1);
    const share = Number.isFinite(item.share) ? item.share : 0;
    used.set(usage, used.get(usage)! + share);
    filled += share;
    if (filled > 1 || capacity.cores === 0) beyond++;
  }
  return order;
}

/**
 * Returns the team whose next job should start next, if any team may start one.
 */
function findNeediestTeam(
  teams: readonly TeamUsage[],
  next: ReadonlyMap<TeamUsage, number>,
  used: ReadonlyMap<TeamUsage, number>,
  startsLeft: ReadonlyMap<TeamUsage, number>,
): TeamUsage | undefined {
  let best: TeamUsage | undefined;
  let bestUrgent = false;
  let bestShare = Infinity;
  for (const usage of teams) {
    const item = usage.queued[next.get(usage)!];
    if (!item || startsLeft.get(usage)! <= 0) continue;
    const {urgent} = item.job;
    const share = used.get(usage)! / usage.weight;
    const precedes = urgent === bestUrgent ? share < bestShare : urgent;
    if (best && !precedes) continue;
    best = usage;
    bestUrgent = urgent;
    bestShare = share;
  }
  return best;
}

/**
 * Fraction of its fair share that a team may lack before share is reclaimed.
 */
const MAX_SHORTFALL_FRACTION = 0.1;

/**
 * Returns the queued jobs for which share is reclaimed: urgent jobs, and jobs
 * of teams that lack more than `MAX_SHORTFALL_FRACTION` of their fair share.
 */
function findPreemptors(
  teams: readonly TeamUsage[],
  fair: ReadonlyMap<string, number>,
): Job[] {
  const preemptors: Job[] = [];
  for (const usage of teams) {
    let owed =
      fair.get(usage.team)! * (1 - MAX_SHORTFALL_FRACTION) - usage.used;
    let startsLeft = usage.startsLeft;
    for (const {job, share} of usage.queued) {
      if (startsLeft <= 0) break;
      if (!job.urgent && owed < share) break;
      owed -= share;
      startsLeft--;
      preemptors.push(job);
    }
  }
  return preemptors;
}

/**
 * Returns running jobs above their team's fair share, those placed last first.
 */
function findLentJobs(
  teams: readonly TeamUsage[],
  fair: ReadonlyMap<string, number>,
  {pool}: ShareInput,
): Job[] {
  if (pool.queued.length === 0) return [];
  const lent: {job: Job; excess: number}[] = [];
  for (const usage of teams) {
    let excess = usage.used - fair.get(usage.team)!;
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

/** Returns the sum of sizes. */
export function sumSizes(sizes: readonly Size[]): Size {
  return sizes.reduce(addSizes, ZERO_SIZE);
}
