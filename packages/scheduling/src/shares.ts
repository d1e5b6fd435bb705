/**
 * The shares of teams in the room of a pool. What teams have handed in of late
 * comes from the replicated state, so that a new leader judges as its
 * predecessor did.
 */
import type {Job, JobSpec, Queue, Size, Team} from '@lentildrift/queue';
import {computeFairShares} from '@lentildrift/policy';
import type {Durations} from './estimate.js';
import {outlookOf} from './order.js';

/** Time over which the use of teams is measured. */
export const SHARE_WINDOW_MS = 3000;

/** What a team has handed in to a pool within the window. */
export interface TeamUse {
  readonly jobs: number;
  /** Expected work of these jobs, in core milliseconds. */
  readonly workMs: number;
}

const NO_USE: TeamUse = {jobs: 0, workMs: 0};

/** Name under which the jobs without a team are counted. */
const NO_TEAM = '';

export interface TeamUseInput {
  /** The accepted jobs of the window, and maybe others before it. */
  readonly recentJobs: Iterable<Job>;
  readonly queues: ReadonlyMap<string, Queue>;
  readonly durations: Durations;
  readonly nowMs: number;
}

/**
 * Expected work as of the first look at a job. It is summed up many times, and
 * the expectations of ended jobs are not kept.
 */
const workBySpec = new WeakMap<JobSpec, number>();

/** Sums up what the teams have handed in, by pool and team. */
export function measureTeamUse(
  input: TeamUseInput,
): Map<string, Map<string, TeamUse>> {
  const {recentJobs, queues, durations, nowMs} = input;
  const uses = new Map<string, Map<string, TeamUse>>();
  for (const job of recentJobs) {
    const {acceptedAtMs, phase, spec} = job;
    const queue = queues.get(spec.queue);
    if (!queue || phase === 'cancelled') continue;
    if (acceptedAtMs <= nowMs - SHARE_WINDOW_MS || acceptedAtMs > nowMs) {
      continue;
    }
    let workMs = workBySpec.get(spec);
    if (workMs === undefined) {
      const occasion = {job, queue, occurrence: 0, nowMs, durations};
      workMs = outlookOf(occasion).wholeWorkMs;
      workBySpec.set(spec, workMs);
    }
    const use = uses.get(queue.pool) ?? new Map<string, TeamUse>();
    uses.set(queue.pool, use);
    addUse(use, spec.team, workMs);
  }
  return uses;
}

function addUse(
  use: Map<string, TeamUse>,
  team: string | undefined,
  workMs: number,
): void {
  const {jobs, workMs: before} = use.get(team ?? NO_TEAM) ?? NO_USE;
  use.set(team ?? NO_TEAM, {jobs: jobs + 1, workMs: before + workMs});
}

/** How what a team hands in compares with its share, for a decision on a job. */
export interface Standing {
  readonly isBeyondShare: boolean;
  /** Work of the team within the window, with the job, in core milliseconds. */
  readonly usedMs: number;
  /** What the team gets if the pool lacks room, in the same unit. */
  readonly shareMs: number;
}

/** The shares in one pool. */
export interface PoolShares {
  /** The standing of a team if it hands in a further job of `workMs`. */
  standing(team: string | undefined, workMs: number): Standing;
  /** Counts a job that was accepted after the shares were computed. */
  add(team: string | undefined, workMs: number): void;
  /** Work within the window that is beyond the share of its team. */
  excessMs(team: string | undefined): number;
  /** Part of the work of the window that teams handed in within their shares. */
  withinSharesPart(): number;
}

export interface PoolSharesInput {
  readonly teams: readonly Team[];
  readonly use: ReadonlyMap<string, TeamUse>;
  /** Capacity for tasks that end, in thousandths of a core. */
  readonly cpuMillis: number;
}

export abstract class ShareRule {
  abstract createShares(input: PoolSharesInput): PoolShares;
}

/** Baseline: no team is ever beyond its share. */
export class UnlimitedShares extends ShareRule {
  override createShares(input: PoolSharesInput): PoolShares {
    const use = new Map(input.use);
    return {
      standing: (team, workMs) => ({
        isBeyondShare: false,
        usedMs: (use.get(team ?? NO_TEAM) ?? NO_USE).workMs + workMs,
        shareMs: Infinity,
      }),
      add: (team, workMs) => addUse(use, team, workMs),
      excessMs: () => 0,
      withinSharesPart: () => 1,
    };
  }
}

/**
 * Answers a team that sends a multiple of its usual: weighted max-min shares of
 * the work that the pool can do within the window. What other teams leave unused
 * is lent. A team is beyond its share only if it has also handed in more than
 * `weight` jobs a second.
 *
 * A weight of 0 promises nothing, so such a team gets only what is lent. Jobs
 * without a team count as one team of the mean weight; if there are no teams,
 * there is nobody to share with. A team never uses more than its upper limit, so
 * the rest of its share goes to others.
 */
export class WeightedShares extends ShareRule {
  override createShares(input: PoolSharesInput): PoolShares {
    const {teams, cpuMillis} = input;
    if (teams.length === 0) return new UnlimitedShares().createShares(input);
    const use = new Map(input.use);
    const roomMs = Math.max(1, (cpuMillis / 1000) * SHARE_WINDOW_MS);
    const weights = new Map(teams.map(({name, weight}) => [name, weight]));
    const meanWeight = sum([...weights.values()]) / teams.length;
    const weightOf = (name: string) => weights.get(name) ?? meanWeight;
    const limits = new Map(teams.map(team => [team.name, limitMs(team)]));

    /** The work that a team may hand in within the window, if all is asked for. */
    function shareMs(name: string): number {
      if (weightOf(name) <= 0) return 0;
      const wanted = [...use].map(([team, {workMs}]) => ({
        team,
        weight: weightOf(team),
        wanted: Math.min(workMs, limits.get(team) ?? Infinity) / roomMs,
      }));
      const others = wanted.filter(
        ({team, weight}) => team !== name && weight > 0,
      );
      const own = {team: name, weight: weightOf(name), wanted: Infinity};
      const fair = computeFairShares([...others, own]).get(name)!;
      return Math.min(fair * roomMs, limits.get(name) ?? Infinity);
    }

    /** Number of jobs that the team's weight allows within the window. */
    function allowedJobs(name: string): number {
      const weight = weightOf(name);
      if (weight <= 0) return 0;
      return Math.max(1, (weight * SHARE_WINDOW_MS) / 1000);
    }

    function excessMs(name: string): number {
      const {jobs, workMs} = use.get(name) ?? NO_USE;
      const beyondWeight = workMs * (1 - allowedJobs(name) / jobs);
      if (jobs === 0 || beyondWeight <= 0) return 0;
      return Math.max(0, Math.min(beyondWeight, workMs - shareMs(name)));
    }

    return {
      standing(team, workMs) {
        const name = team ?? NO_TEAM;
        const {jobs, workMs: before} = use.get(name) ?? NO_USE;
        const usedMs = before + workMs;
        const share = shareMs(name);
        const isBeyondShare = jobs + 1 > allowedJobs(name) && usedMs > share;
        return {isBeyondShare, usedMs, shareMs: share};
      },
      add: (team, workMs) => addUse(use, team, workMs),
      excessMs: team => excessMs(team ?? NO_TEAM),
      withinSharesPart() {
        const excess = sum([...use.keys()].map(name => excessMs(name)));
        return 1 - excess / Math.max(1, sumWork(use));
      },
    };
  }
}

/**
 * Finds the jobs that wait on room lent to their team: the newest ones, as far
 * as the team is beyond its share. `waitingJobs` are those of one pool, in the
 * order in which they were accepted.
 */
export function findJobsOnLentRoom(
  waitingJobs: readonly Job[],
  shares: PoolShares,
  workMsOf: (job: Job) => number,
): ReadonlySet<Job> {
  const lent = new Set<Job>();
  const excessLeftMs = new Map<string | undefined, number>();
  for (const job of [...waitingJobs].reverse()) {
    const {team} = job.spec;
    const leftMs = excessLeftMs.get(team) ?? shares.excessMs(team);
    const workMs = workMsOf(job);
    if (workMs <= leftMs && !job.started) lent.add(job);
    excessLeftMs.set(team, leftMs - workMs);
  }
  return lent;
}

/** Work that the team's upper limit allows within the window. */
function limitMs({cap}: {cap: Size}): number {
  if (cap.cpuMillis <= 0) return Infinity;
  return (cap.cpuMillis / 1000) * SHARE_WINDOW_MS;
}

function sumWork(use: ReadonlyMap<string, TeamUse>): number {
  return sum([...use.values()].map(({workMs}) => workMs));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
