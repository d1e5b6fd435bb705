/** Placement of queued jobs on workers. */
import {
  failureDomain,
  type Host,
  type Job,
  type Size,
} from '@lentildrift/model';
import type {Estimator} from './estimate.js';
import {fits, subtractSizes} from './size.js';

/** A worker that takes jobs, with the room that is left on it. */
export interface Worker {
  readonly host: Host;
  readonly domain: string;
  free: Size;
  /** Jobs of each team on the worker. */
  readonly teams: Map<string, number>;
  /** Starts that are allowed in this round. */
  startsLeft: number;
}

export interface PlacementInput {
  readonly order: readonly Job[];
  readonly workers: readonly Worker[];
  /** Whole sizes of all workers of the pool, also of those that are away. */
  readonly poolHosts: readonly Host[];
  readonly estimator: Estimator;
  readonly nowMs: number;
}

export interface PlacementResult {
  readonly placements: {job: string; host: string}[];
  readonly parked: {job: string; reason: string}[];
  readonly waiting: Job[];
}

export abstract class PlacementPolicy {
  abstract place(input: PlacementInput): PlacementResult;
}

/** Starts on one worker in one round; bounds what a bad worker can fail. */
export const STARTS_PER_ROUND = 8;

/** A job that waited this long may hold a worker free for itself. */
const STARVED_MS = 120_000;

/** Corrected sizes, spread over failure domains, with room for large jobs. */
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
      const worker = roomiest(job, size, workers, reserved, domains);
      if (worker) {
        assignJob(worker, job, size);
        const key = `${job.team} ${worker.domain}`;
        domains.set(key, (domains.get(key) ?? 0) + 1);
        result.placements.push({job: job.id, host: worker.host.id});
        continue;
      }
      result.waiting.push(job);
      if (reserved.size === 0 && nowMs - job.submittedAtMs > STARVED_MS) {
        const held = largest(job, workers);
        if (held) reserved.add(held);
      }
    }
    return result;
  }
}

/** Why no worker can ever run the job; undefined if one can. */
export function findUnplaceableReason(
  job: Job,
  sizes: readonly Host[],
): string | undefined {
  const known = sizes.filter(host => host.cores > 0);
  if (known.length === 0) return undefined;
  const able = known.filter(host => fits(job.declared, host));
  if (able.length === 0) return 'larger than any worker of its pool';
  if (able.every(host => job.failedOn.includes(host.id))) {
    return `failed on every worker that can hold it: ${job.reason ?? 'no reason given'}`;
  }
  return undefined;
}

/** Whether the worker may start the job; a lone job may exceed its estimate. */
export function canStart(worker: Worker, job: Job, size: Size): boolean {
  if (worker.startsLeft <= 0 || job.failedOn.includes(worker.host.id)) {
    return false;
  }
  if (fits(size, worker.free)) return true;
  return worker.teams.size === 0 && fits(job.declared, worker.free);
}

export function assignJob(worker: Worker, job: Job, size: Size): void {
  worker.free = subtractSizes(worker.free, size);
  worker.startsLeft--;
  worker.teams.set(job.team, (worker.teams.get(job.team) ?? 0) + 1);
}

function roomiest(
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
    const score = spread(worker, job, domains);
    if (score <= bestScore) continue;
    best = worker;
    bestScore = score;
  }
  return best;
}

/** Prefers free workers, and domains that hold few jobs of the team. */
function spread(
  worker: Worker,
  job: Job,
  domains: ReadonlyMap<string, number>,
): number {
  const {free, host, teams, domain} = worker;
  const room = Math.min(
    free.cores / host.cores,
    free.memoryMiB / host.memoryMiB,
  );
  const together = teams.get(job.team) ?? 0;
  const near = domains.get(`${job.team} ${domain}`) ?? 0;
  return room - 0.05 * together - 0.02 * near;
}

function largest(job: Job, workers: readonly Worker[]): Worker | undefined {
  const able = workers.filter(
    ({host}) => fits(job.declared, host) && !job.failedOn.includes(host.id),
  );
  return able.sort((a, b) => b.free.cores - a.free.cores)[0];
}

/** A worker with its whole size free. */
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
