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
const LOOK_AHEAD = 64;

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
    const claimants = claimsOf(teams, fair);
    const lent = lentJobs(teams, fair, input);
    return {order: fill(teams, input.capacity), lent, preemptors: claimants};
  }
}

/** A team's part in one pool; shares are dominant and between 0 and 1. */
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
  const parts = new Map<string, TeamUsage>();
  const partOf = (team: string) => {
    let part = parts.get(team);
    if (!part) parts.set(team, (part = emptyPart(input, team)));
    return part;
  };
  for (const job of pool.running) {
    const share = dominantShare(estimator.estimateRunningSize(job), capacity);
    const part = partOf(job.team);
    part.running.push({job, share});
    part.held += share;
    part.wanted += share;
  }
  for (const job of pool.queued) {
    if (!state.tables.teams[job.team]) continue;
    const share = dominantShare(estimator.estimateSize(job), capacity);
    const part = partOf(job.team);
    part.queued.push({job, share});
    if (Number.isFinite(share)) part.wanted += share;
  }
  for (const part of parts.values()) part.queued.sort(byUrgencyAndAge);
  return [...parts.values()];
}

function emptyPart({state, running}: ShareInput, team: string): TeamUsage {
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

function byUrgencyAndAge(a: {job: Job}, b: {job: Job}): number {
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
    const got = Math.min(wanted, (room * weight) / weights);
    fair.set(team, got);
    room -= got;
    weights -= weight;
  }
  return fair;
}

/** Starts in order of weighted share; urgent jobs go before all others. */
function fill(teams: readonly TeamUsage[], capacity: Size): Job[] {
  const order: Job[] = [];
  const next = new Map(teams.map(part => [part, 0]));
  const held = new Map(teams.map(part => [part, part.held]));
  const left = new Map(teams.map(part => [part, part.startsLeft]));
  let filled = teams.reduce((sum, part) => sum + part.held, 0);
  let beyond = 0;
  const active = teams.filter(part => part.queued.length > 0);
  while (beyond < LOOK_AHEAD) {
    const part = neediest(active, next, held, left);
    if (!part) break;
    const item = part.queued[next.get(part)!]!;
    next.set(part, next.get(part)! + 1);
    order.push(item.job);
    left.set(part, left.get(part)! - 1);
    const share = Number.isFinite(item.share) ? item.share : 0;
    held.set(part, held.get(part)! + share);
    filled += share;
    if (filled > 1 || capacity.cores === 0) beyond++;
  }
  return order;
}

function neediest(
  teams: readonly TeamUsage[],
  next: ReadonlyMap<TeamUsage, number>,
  held: ReadonlyMap<TeamUsage, number>,
  left: ReadonlyMap<TeamUsage, number>,
): TeamUsage | undefined {
  let best: TeamUsage | undefined;
  let bestUrgent = false;
  let bestShare = Infinity;
  for (const part of teams) {
    const item = part.queued[next.get(part)!];
    if (!item || left.get(part)! <= 0) continue;
    const {urgent} = item.job;
    const share = held.get(part)! / part.weight;
    const wins = urgent === bestUrgent ? share < bestShare : urgent;
    if (best && !wins) continue;
    best = part;
    bestUrgent = urgent;
    bestShare = share;
  }
  return best;
}

/** Part of its fair share by which a team may fall short before a reclaim. */
const SHORTFALL = 0.1;

/** Jobs that are owed room: urgent ones, and those of teams far below. */
function claimsOf(
  teams: readonly TeamUsage[],
  fair: ReadonlyMap<string, number>,
): Job[] {
  const claimants: Job[] = [];
  for (const part of teams) {
    let owed = fair.get(part.team)! * (1 - SHORTFALL) - part.held;
    let starts = part.startsLeft;
    for (const {job, share} of part.queued) {
      if (starts <= 0) break;
      if (!job.urgent && owed < share) break;
      owed -= share;
      starts--;
      claimants.push(job);
    }
  }
  return claimants;
}

/** Running jobs above their team's fair share, the newest starts first. */
function lentJobs(
  teams: readonly TeamUsage[],
  fair: ReadonlyMap<string, number>,
  {pool}: ShareInput,
): Job[] {
  if (pool.queued.length === 0) return [];
  const lent: {job: Job; excess: number}[] = [];
  for (const part of teams) {
    let excess = part.held - fair.get(part.team)!;
    const newest = [...part.running].sort(
      (a, b) => (b.job.placedAtMs ?? 0) - (a.job.placedAtMs ?? 0),
    );
    for (const {job, share} of newest) {
      if (job.urgent) continue;
      if (excess < share * 0.5) break;
      lent.push({job, excess: excess / part.weight});
      excess -= share;
    }
  }
  return lent.sort((a, b) => b.excess - a.excess).map(({job}) => job);
}

/** Sum of the sizes of workers. */
export function sumSizes(workers: readonly Size[]): Size {
  return workers.reduce(addSizes, ZERO_SIZE);
}
