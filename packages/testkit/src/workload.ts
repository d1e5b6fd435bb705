/**
 * A seeded workload of jobs with bursts in one queue after another, a sustained
 * surge in one queue, and host failures.
 */
import type {JobSpec, Size} from '@lentildrift/model';
import type {TaskBehaviour} from '@lentildrift/sample';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {FleetSize} from './fleet.js';

/** Mean demand for cores as a fraction of a pool's cores. */
const MEAN_UTILIZATION = 0.6;
const MEAN_RUN_TIME_MS = 120_000;
const MEAN_CORES = 14 / 3;
const MEMORY_MIB_PER_CORE = 2200;
const URGENT_FRACTION = 0.03;

/**
 * The queues burst in rotation, one per cycle. After its burst, a queue receives
 * few jobs until the cycle ends.
 */
const CYCLE_MS = 4 * 60_000;
const BURST_MS = 40_000;
const BURST_FACTOR = 5;
const QUIET_FACTOR = 1 / 20;

/** For this period, the demand in one queue exceeds the capacity of its pool. */
const SURGE = {
  queue: 1,
  fromMs: 15 * 60_000,
  toMs: 45 * 60_000,
  factor: 2,
};
const HOST_FAILURES = 5;

/** A submitted job, with its declared and its actual resource use. */
export interface Arrival {
  readonly team: string;
  readonly spec: JobSpec;
  /** Actual resource use and outcome, whatever the job declares. */
  readonly truth: TaskBehaviour;
}

export interface Workload {
  /** Generates the jobs that arrive in the step of `stepMs` ending at `nowMs`. */
  generateArrivals(nowMs: number, stepMs: number): Arrival[];
  /** Host failures; a failed host stays down until it is rebooted. */
  readonly failures: readonly {atMs: number; host: number}[];
}

/** A source of seeded random numbers. */
export interface Random {
  /** Returns a uniform random number from 0 (inclusive) to 1 (exclusive). */
  uniform(): number;
  /** Returns a uniform random integer from 0 to `n - 1`. */
  intBelow(n: number): number;
}

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const max = 2 ** 31 - 1;
  const uniform = () =>
    unsafeUniformIntDistribution(0, max - 1, generator) / max;
  return {uniform, intBelow: n => Math.floor(uniform() * n)};
}

export function createWorkload(
  seed: number,
  size: FleetSize,
  lengthMs: number,
): Workload {
  const random = createRandom(seed);
  const failures = [...Array(HOST_FAILURES).keys()].map(() => ({
    atMs: random.uniform() * lengthMs,
    host: random.intBelow(size.workers),
  }));
  const cores = (64 * (size.workers - size.spares)) / size.pools;
  const arrivalsPerMs =
    (MEAN_UTILIZATION * cores) / (MEAN_CORES * MEAN_RUN_TIME_MS);
  let jobCount = 0;

  function generateArrivals(nowMs: number, stepMs: number): Arrival[] {
    const jobs: Arrival[] = [];
    for (let queue = 0; queue < size.pools; queue++) {
      const rate = arrivalsPerMs * demandFactor(queue, nowMs, size.pools);
      let atMs = -Math.log(1 - random.uniform()) / rate;
      while (atMs < stepMs) {
        jobs.push(createArrival(queue, nowMs));
        atMs += -Math.log(1 - random.uniform()) / rate;
      }
    }
    return jobs;
  }

  function createArrival(queue: number, nowMs: number): Arrival {
    const cores = 2 ** (1 + random.intBelow(3)) * (0.5 + random.uniform());
    const runTimeMs = Math.ceil(
      -Math.log(1 - random.uniform()) * MEAN_RUN_TIME_MS,
    );
    const size = {
      cores,
      memoryMiB: Math.ceil(
        cores * MEMORY_MIB_PER_CORE * (0.5 + random.uniform()),
      ),
      accelerators: 0,
    };
    return {
      team: `team-${pickTeam(queue, nowMs)}`,
      spec: {
        id: `job-${jobCount++}`,
        queue: `queue-${queue}`,
        declared: declareSize(size),
        runTimeMs: Math.max(1000, runTimeMs),
        urgent: random.uniform() < URGENT_FRACTION,
        command: '',
      },
      truth: {size, runTimeMs: Math.max(1000, runTimeMs), fails: false},
    };
  }

  /**
   * Picks the team of a job. During a burst, most jobs come from one team, which
   * changes with each cycle.
   */
  function pickTeam(queue: number, nowMs: number): number {
    const burstingTeam = Math.floor(nowMs / CYCLE_MS) % size.teams;
    const isBurst = demandFactor(queue, nowMs, size.pools) > 1;
    if (isBurst && random.uniform() < 0.6) return burstingTeam;
    return random.intBelow(size.teams);
  }

  /** Returns a declared size that is mostly too large and sometimes too small. */
  function declareSize(size: Size): Size {
    const factor = 0.8 + 1.2 * random.uniform();
    return {
      cores: size.cores * factor,
      memoryMiB: Math.ceil(size.memoryMiB * factor),
      accelerators: 0,
    };
  }

  return {generateArrivals, failures};
}

/** Returns the demand of a queue relative to its mean. */
function demandFactor(queue: number, nowMs: number, queues: number): number {
  const {fromMs, toMs, factor} = SURGE;
  if (queue === SURGE.queue && nowMs >= fromMs && nowMs < toMs) return factor;
  const cycle = Math.floor(nowMs / CYCLE_MS);
  if (cycle % queues !== queue) return 1;
  return nowMs % CYCLE_MS < BURST_MS ? BURST_FACTOR : QUIET_FACTOR;
}
