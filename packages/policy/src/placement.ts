/** Policies for placing queued jobs on workers. */
import {
  failureDomain,
  type Host,
  type Job,
  type Size,
} from '@lentildrift/model';
import type {Estimator} from './estimate.js';
import {fits, subtractSizes} from './size.js';

/** A worker that can start jobs, with its free resources. */
export interface Worker {
  readonly host: Host;
  /** Failure domain of the worker. */
  readonly domain: string;
  free: Size;
  /** Number of each team's jobs on the worker. */
  readonly teams: Map<string, number>;
  /** Number of jobs that the worker may still start in this round. */
  startsLeft: number;
}

export interface PlacementInput {
  /** Queued jobs in the order in which they should start. */
  readonly order: readonly Job[];
  readonly workers: readonly Worker[];
  /** All hosts of the pool, including those that cannot start jobs now. */
  readonly poolHosts: readonly Host[];
  readonly estimator: Estimator;
  readonly nowMs: number;
}

export interface PlacementResult {
  readonly placements: {job: string; host: string}[];
  readonly parked: {job: string; reason: string}[];
  /** Jobs that no worker has room for at present. */
  readonly waiting: Job[];
}

/** Places jobs on workers. */
export abstract class PlacementPolicy {
  abstract place(input: PlacementInput): PlacementResult;
}

/**
 * Maximum number of jobs started on one worker in one round, which bounds how
 * many jobs a faulty worker can fail.
 */
export const STARTS_PER_ROUND = 8;

/** How long a job waits before a worker may be reserved for it. */
const STARVATION_MS = 120_000;

/**
 * Places jobs by their estimated sizes and spreads each team over workers and
 * failure domains. One worker is reserved for a job that has waited too long,
 * so that large jobs do not starve.
 */
export class SpreadPlacement extends PlacementPolicy {
  override place(input: PlacementInput): PlacementResult {
    const {order, workers, estimator, nowMs} = input;
    const result: PlacementResult = {placements: [], parked: [], waiting: []};
    const reserved = new Set<Worker>();
    const domains = new Map<string, number>();
    for (const job of order) {
      const reason = findUnplaceableReason(job, input.poolHosts);
      if (reason) {
        result.parked.push({job: job.id, reason});
        continue;
      }
      const size = estimator.estimateSize(job);
      const worker = findBestWorker(job, size, workers, reserved, domains);
      if (worker) {
        assignJob(worker, job, size);
        const key = `${job.team} ${worker.domain}`;
        domains.set(key, (domains.get(key) ?? 0) + 1);
        result.placements.push({job: job.id, host: worker.host.id});
        continue;
      }
      result.waiting.push(job);
      if (reserved.size === 0 && nowMs - job.submittedAtMs > STARVATION_MS) {
        const reservedWorker = findWorkerToReserve(job, workers);
        if (reservedWorker) reserved.add(reservedWorker);
      }
    }
    return result;
  }
}

/** Returns why no worker can ever run the job, or undefined if one can. */
export function findUnplaceableReason(
  job: Job,
  poolHosts: readonly Host[],
): string | undefined {
  const known = poolHosts.filter(host => host.cores > 0);
  if (known.length === 0) return undefined;
  const able = known.filter(host => fits(job.declared, host));
  if (able.length === 0) return 'larger than any worker of its pool';
  if (able.every(host => job.failedOn.includes(host.id))) {
    return `failed on every worker that can hold it: ${job.reason ?? 'no reason given'}`;
  }
  return undefined;
}

/**
 * Whether the worker may start the job. On an idle worker, it is enough that
 * the declared size fits, even if the estimated size does not.
 */
export function canStart(worker: Worker, job: Job, size: Size): boolean {
  if (worker.startsLeft <= 0 || job.failedOn.includes(worker.host.id)) {
    return false;
  }
  if (fits(size, worker.free)) return true;
  return worker.teams.size === 0 && fits(job.declared, worker.free);
}

/** Deducts the job from the worker's free resources and remaining starts. */
export function assignJob(worker: Worker, job: Job, size: Size): void {
  worker.free = subtractSizes(worker.free, size);
  worker.startsLeft--;
  worker.teams.set(job.team, (worker.teams.get(job.team) ?? 0) + 1);
}

/** Returns the accepting worker with the highest score. */
function findBestWorker(
  job: Job,
  size: Size,
  workers: readonly Worker[],
  reserved: ReadonlySet<Worker>,
  domains: ReadonlyMap<string, number>,
): Worker | undefined {
  let best: Worker | undefined;
  let bestScore = -Infinity;
  for (const worker of workers) {
    if (reserved.has(worker) || !canStart(worker, job, size)) continue;
    const score = scoreWorker(worker, job, domains);
    if (score <= bestScore) continue;
    best = worker;
    bestScore = score;
  }
  return best;
}

/**
 * Scores workers: higher with more free resources and fewer jobs of the team
 * nearby.
 */
function scoreWorker(
  worker: Worker,
  job: Job,
  domains: ReadonlyMap<string, number>,
): number {
  const {free, host, teams, domain} = worker;
  const freeFraction = Math.min(
    free.cores / host.cores,
    free.memoryMiB / host.memoryMiB,
  );
  const sameWorker = teams.get(job.team) ?? 0;
  const sameDomain = domains.get(`${job.team} ${domain}`) ?? 0;
  return freeFraction - 0.05 * sameWorker - 0.02 * sameDomain;
}

/**
 * Returns the worker with the most free cores that could run the job when idle.
 */
function findWorkerToReserve(
  job: Job,
  workers: readonly Worker[],
): Worker | undefined {
  const able = workers.filter(
    ({host}) => fits(job.declared, host) && !job.failedOn.includes(host.id),
  );
  return able.sort((a, b) => b.free.cores - a.free.cores)[0];
}

/** Creates a worker with all its resources free. */
export function createIdleWorker(host: Host, startsLeft: number): Worker {
  const {cores, memoryMiB, accelerators} = host;
  return {
    host,
    domain: failureDomain(host),
    free: {cores, memoryMiB, accelerators},
    teams: new Map(),
    startsLeft,
  };
}
