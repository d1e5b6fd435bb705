/** Parameters of the job traffic and the fleet of a trial. */
import {z} from 'zod';

/** Lognormal distribution of a positive quantity, truncated at `max`. */
const Lognormal = z.object({
  mean: z.number().positive(),
  /** Standard deviation of the logarithm. */
  spread: z.number().nonnegative(),
  max: z.number().positive(),
});
export type Lognormal = z.infer<typeof Lognormal>;

export const QueueShape = z.object({
  name: z.string(),
  /** Mean number of jobs per second over a whole cycle of turns. */
  perSecond: z.number().positive(),
  steps: Lognormal,
  /** Number of tasks of a step. */
  width: Lognormal,
  coresPerTask: Lognormal,
  memoryMbPerTask: Lognormal,
  durationMs: Lognormal,
  /** Standard deviation of the logarithm of task durations within one step. */
  uneven: z.number().nonnegative(),
  /** Whether the steps allow copies; not if it is absent. */
  speculative: z.boolean().optional(),
  /**
   * Standard deviation of the logarithm of the error of submitted estimates.
   */
  estimateError: z.number().nonnegative(),
  /** Earned by a job of mean size that ends in time. */
  worth: z.number().positive(),
  /** See `Queue.priority`. */
  priority: z.number().default(0),
  /** Queue whose pool the jobs share; their own pool if it is absent. */
  pool: z.string().optional(),
  /** Number and size of the tasks of the one long-running job of the queue. */
  lasting: z.object({count: z.int(), cores: z.number(), memoryMb: z.number()}),
});
export type QueueShape = z.input<typeof QueueShape>;

const Interval = {
  fromMs: z.number().nonnegative(),
  untilMs: z.number().positive(),
};

export const TeamsShape = z.object({
  count: z.int().positive(),
  /** Team k, from 1 on, sends as much as the first one divided by k^skew. */
  skew: z.number().nonnegative(),
  /** A team's weight is this multiple of its mean number of jobs a second. */
  weightFactor: z.number().positive(),
  minWeight: z.number().nonnegative(),
  /**
   * Times in which some of the largest third of the teams, drawn by the seed,
   * send more than usual.
   */
  bursts: z.array(
    z.object({...Interval, teams: z.int(), factor: z.number().min(1)}),
  ),
});
export type TeamsShape = z.infer<typeof TeamsShape>;

export const TrafficShape = z.object({
  name: z.string(),
  queues: z.array(QueueShape),
  /** Initial number of hosts of each pool. */
  hostsPerPool: z.int().positive(),
  standbyHosts: z.int().nonnegative(),
  hostCores: z.number().positive(),
  hostMemoryMb: z.number().positive(),
  /** Duration of the traffic. */
  lengthMs: z.number().positive(),
  /** Duration of the turn of one queue, in which its traffic bursts. */
  turnMs: z.number().positive(),
  /** A job's objective is `stretch` times its critical path plus `targetMs`. */
  stretch: z.number().positive(),
  targetMs: z.number().nonnegative(),
  /** Price of one host in a pool for one second, in the unit of `worth`. */
  hostSecondPrice: z.number().nonnegative(),
  /** Price of one move, in the unit of `worth`. */
  movePrice: z.number().nonnegative(),
  /** All jobs are without a team if it is absent. */
  teams: TeamsShape.optional(),
  /** Times in which a queue sends a multiple of its usual. */
  queueBursts: z
    .array(z.object({...Interval, queue: z.string(), factor: z.number()}))
    .default([]),
  /** Times in which a part of the hosts of each pool is down. */
  crashes: z
    .array(z.object({...Interval, share: z.number().min(0).max(1)}))
    .default([]),
  /** Number of times that a refused caller returns. */
  retries: z.int().nonnegative().default(0),
});
export type TrafficShape = z.input<typeof TrafficShape>;

const SMALL_JOBS = {
  steps: {mean: 1.6, spread: 0.4, max: 4},
  width: {mean: 6, spread: 0.6, max: 24},
  coresPerTask: {mean: 3.5, spread: 0.45, max: 11},
  memoryMbPerTask: {mean: 7200, spread: 0.6, max: 22_000},
  durationMs: {mean: 1000, spread: 0.5, max: 2500},
  uneven: 0.3,
  estimateError: 0.9,
  worth: 0.5,
};
const LARGE_JOBS = {
  steps: {mean: 2, spread: 0.4, max: 5},
  width: {mean: 8, spread: 0.6, max: 32},
  coresPerTask: {mean: 7.7, spread: 0.45, max: 23},
  memoryMbPerTask: {mean: 22_000, spread: 0.6, max: 66_000},
  durationMs: {mean: 1300, spread: 0.5, max: 3300},
  uneven: 0.3,
  estimateError: 0.5,
  worth: 2.4,
};
const LONG_RUNNING_TASKS = {count: 4, cores: 6, memoryMb: 35_000};

/**
 * The current fleet of the archers: four queues that burst in turn on 35 hosts.
 */
export const ARCHERS_JOBS: TrafficShape = {
  name: 'archers',
  queues: [
    {
      name: 'booking',
      perSecond: 4.1,
      ...SMALL_JOBS,
      lasting: LONG_RUNNING_TASKS,
    },
    {name: 'scoring', perSecond: 1, ...LARGE_JOBS, lasting: LONG_RUNNING_TASKS},
    {
      name: 'armoury',
      perSecond: 5.2,
      ...SMALL_JOBS,
      lasting: LONG_RUNNING_TASKS,
    },
    {
      name: 'leagues',
      perSecond: 1.2,
      ...LARGE_JOBS,
      lasting: LONG_RUNNING_TASKS,
    },
  ],
  hostsPerPool: 7,
  standbyHosts: 7,
  hostCores: 64,
  hostMemoryMb: 262_144,
  lengthMs: 34_000,
  turnMs: 8500,
  stretch: 1.6,
  targetMs: 600,
  hostSecondPrice: 0.065,
  movePrice: 0.074,
};

const SMALL_JOBS_OF_HUNDREDS = {
  ...SMALL_JOBS,
  width: {mean: 8, spread: 0.6, max: 32},
  coresPerTask: {mean: 9, spread: 0.45, max: 28},
  memoryMbPerTask: {mean: 13_000, spread: 0.6, max: 39_000},
  durationMs: {mean: 800, spread: 0.5, max: 2000},
  worth: 0.39,
};
const LARGE_JOBS_OF_HUNDREDS = {
  ...LARGE_JOBS,
  coresPerTask: {mean: 20, spread: 0.45, max: 60},
  memoryMbPerTask: {mean: 33_000, spread: 0.6, max: 99_000},
  durationMs: {mean: 1700, spread: 0.5, max: 4300},
  worth: 2.33,
};
const LONG_RUNNING_TASKS_OF_HUNDREDS = {count: 24, cores: 6, memoryMb: 12_000};

/** Hundreds of hosts, whose four queues burst in turn for a few seconds. */
export const HUNDREDS_JOBS: TrafficShape = {
  ...ARCHERS_JOBS,
  name: 'hundreds',
  queues: [
    {
      name: 'booking',
      perSecond: 17,
      ...SMALL_JOBS_OF_HUNDREDS,
      lasting: LONG_RUNNING_TASKS_OF_HUNDREDS,
    },
    {
      name: 'scoring',
      perSecond: 3.2,
      ...LARGE_JOBS_OF_HUNDREDS,
      lasting: LONG_RUNNING_TASKS_OF_HUNDREDS,
    },
    {
      name: 'armoury',
      perSecond: 21,
      ...SMALL_JOBS_OF_HUNDREDS,
      lasting: LONG_RUNNING_TASKS_OF_HUNDREDS,
    },
    {
      name: 'leagues',
      perSecond: 4,
      ...LARGE_JOBS_OF_HUNDREDS,
      lasting: LONG_RUNNING_TASKS_OF_HUNDREDS,
    },
  ],
  hostsPerPool: 79,
  standbyHosts: 62,
  hostMemoryMb: 131_072,
  turnMs: 4000,
  hostSecondPrice: 0.02,
  movePrice: 0.022,
};

/**
 * Less than a fifth of those hosts, with nearly half of the large jobs: more than
 * all hosts can do while one of the queues with large jobs bursts.
 */
export const OVERLOAD_JOBS: TrafficShape = {
  ...HUNDREDS_JOBS,
  name: 'overload',
  queues: HUNDREDS_JOBS.queues.map((queue, at) => ({
    ...queue,
    perSecond: [4, 3, 3.2, 3.3][at]!,
    lasting: {...LONG_RUNNING_TASKS_OF_HUNDREDS, count: 4},
  })),
  hostsPerPool: 12,
  standbyHosts: 18,
};

/**
 * The same hosts, nearly all of them on standby when the first queue bursts for
 * twice as long.
 */
export const IDLE_START_JOBS: TrafficShape = {
  ...HUNDREDS_JOBS,
  name: 'idle-start',
  hostsPerPool: 13,
  standbyHosts: 326,
  turnMs: 8000,
  lengthMs: 24_000,
};

const QUICK_JOBS_OF_TEAMS = {
  ...SMALL_JOBS,
  width: {mean: 8, spread: 0.6, max: 32},
  coresPerTask: {mean: 3.1, spread: 0.45, max: 9.3},
  memoryMbPerTask: {mean: 4400, spread: 0.6, max: 13_000},
  estimateError: 0.5,
  worth: 0.4,
};
const RECONCILIATIONS_OF_TEAMS = {
  ...LARGE_JOBS,
  coresPerTask: {mean: 6.7, spread: 0.45, max: 20},
  memoryMbPerTask: {mean: 9600, spread: 0.6, max: 29_000},
  durationMs: {mean: 1700, spread: 0.5, max: 4200},
  estimateError: 0.2,
  worth: 1.84,
  priority: 1,
};
const LONG_RUNNING_TASKS_OF_TEAMS = {count: 24, cores: 4.4, memoryMb: 8400};

/**
 * Twenty teams of uneven size; three of them send five times their usual in the
 * turn of a queue, another queue bursts, and a sixth of the hosts is lost for
 * some seconds.
 */
export const TEAMS_JOBS: TrafficShape = {
  ...HUNDREDS_JOBS,
  name: 'teams',
  queues: [
    {
      name: 'vat',
      perSecond: 10.2,
      ...QUICK_JOBS_OF_TEAMS,
      lasting: LONG_RUNNING_TASKS_OF_TEAMS,
    },
    {
      name: 'payroll',
      perSecond: 2.5,
      ...RECONCILIATIONS_OF_TEAMS,
      lasting: LONG_RUNNING_TASKS_OF_TEAMS,
    },
    {
      name: 'withholding',
      perSecond: 12.8,
      ...QUICK_JOBS_OF_TEAMS,
      lasting: LONG_RUNNING_TASKS_OF_TEAMS,
    },
    {
      name: 'dividends',
      perSecond: 3.1,
      ...RECONCILIATIONS_OF_TEAMS,
      lasting: LONG_RUNNING_TASKS_OF_TEAMS,
    },
  ],
  hostsPerPool: 20,
  standbyHosts: 39,
  hostCores: 32,
  hostMemoryMb: 65_536,
  teams: {
    count: 20,
    skew: 1.2,
    weightFactor: 1.9,
    minWeight: 1,
    bursts: [{fromMs: 4500, untilMs: 10_500, teams: 3, factor: 5}],
  },
  queueBursts: [
    {fromMs: 20_000, untilMs: 24_000, queue: 'payroll', factor: 2.2},
  ],
  crashes: [{fromMs: 13_000, untilMs: 17_500, share: 0.16}],
  retries: 4,
};

/** One pool for urgent small jobs and large ones that may wait. */
export const PRIORITIES_JOBS: TrafficShape = {
  ...TEAMS_JOBS,
  name: 'priorities',
  queues: TEAMS_JOBS.queues.map((queue, at) => ({
    ...queue,
    pool: TEAMS_JOBS.queues[at % 2]!.name,
    priority: at < 2 ? 0 : 2,
  })),
  teams: undefined,
  queueBursts: [
    {fromMs: 3000, untilMs: 9000, queue: 'vat', factor: 2.5},
    {fromMs: 16_000, untilMs: 22_000, queue: 'payroll', factor: 2},
  ],
};

/** Repeats the queues, pools and hosts of `shape` `factor` times. */
export function scaleShape(shape: TrafficShape, factor: number): TrafficShape {
  const queues = Array.from({length: factor}, (_, part) =>
    shape.queues.map(queue => ({...queue, name: `${queue.name}-${part}`})),
  ).flat();
  const standbyHosts = shape.standbyHosts * factor;
  return {...shape, name: `${shape.name} x ${factor}`, queues, standbyHosts};
}

/** The current fleet with half of its traffic, and steps that allow copies. */
export const SPECULATIVE_JOBS: TrafficShape = {
  ...ARCHERS_JOBS,
  name: 'speculative',
  queues: ARCHERS_JOBS.queues.map(queue => ({
    ...queue,
    perSecond: queue.perSecond / 2,
    speculative: true,
  })),
};
