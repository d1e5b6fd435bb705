/** How many cores the pools need: what is reserved and what waits. */
import {
  add,
  dueAtMs,
  isStepReady,
  NO_SIZE,
  stepKey,
  taskKey,
  timesOf,
  type Job,
  type Size,
  type State,
} from '@lentildrift/queue';
import {reservation, type Load} from './load.js';

export interface Demand {
  readonly reserved: Size;
  /** Of tasks whose turn has come and that do not run. */
  readonly waiting: Size;
  /** Hosts over which the limits of tasks on one worker spread a step. */
  readonly spread: number;
}

export const NO_DEMAND: Demand = {
  reserved: NO_SIZE,
  waiting: NO_SIZE,
  spread: 0,
};

/** Demand by pool. */
export function measureDemand(
  state: State,
  load: Load,
  nowMs: number,
): ReadonlyMap<string, Demand> {
  const pools = new Map(state.tables.queues.map(row => [row.name, row.pool]));
  const demands = new Map<string, Demand>();
  const put = (queue: string, part: 'reserved' | 'waiting', size: Size) => {
    const pool = pools.get(queue);
    if (pool === undefined) return;
    const known = demands.get(pool) ?? NO_DEMAND;
    demands.set(pool, {...known, [part]: add(known[part], size)});
  };
  for (const {job, step} of load.runs) {
    put(job.spec.queue, 'reserved', reservation(step));
  }
  for (const job of state.jobs.values()) {
    if (job.phase !== 'active') continue;
    const size = waitingSize(job, nowMs);
    if (size !== NO_SIZE) put(job.spec.queue, 'waiting', size);
    const pool = pools.get(job.spec.queue);
    const known = pool === undefined ? undefined : demands.get(pool);
    const spread = spreadOf(job);
    if (pool === undefined || !known || known.spread >= spread) continue;
    demands.set(pool, {...known, spread});
  }
  return demands;
}

function spreadOf({spec}: Job): number {
  const hosts = spec.steps.map(({count, maxPerWorker}) =>
    maxPerWorker > 0 ? Math.ceil(count / maxPerWorker) : 1,
  );
  return Math.max(...hosts);
}

function waitingSize(job: Job, nowMs: number): Size {
  let total = NO_SIZE;
  for (let occurrence = 0; occurrence < timesOf(job.spec); occurrence++) {
    if (dueAtMs(job, occurrence) > nowMs) break;
    job.spec.steps.forEach((step, at) => {
      const done = job.done[stepKey(occurrence, at)] ?? 0;
      if (done >= step.count || !isStepReady(job, occurrence, at)) return;
      for (let index = 0; index < step.count; index++) {
        const task = job.tasks[taskKey({occurrence, step: at, index})];
        if (task && (task.done || task.runs.length > 0)) continue;
        total = add(total, reservation(step));
      }
    });
  }
  return total;
}
