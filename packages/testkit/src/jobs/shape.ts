/** Shapes of job traffic and fleets for the trials. */
import {z} from 'zod';

/** A positive figure that varies from job to job, as a lognormal value. */
const Lognormal = z.object({
  mean: z.number().positive(),
  /** Standard deviation of the logarithm. */
  spread: z.number().nonnegative(),
  max: z.number().positive(),
});
export type Lognormal = z.infer<typeof Lognormal>;

export const QueueShape = z.object({
  name: z.string(),
  /** Jobs a second over a whole cycle of turns. */
  perSecond: z.number().positive(),
  steps: Lognormal,
  /** Tasks of a step. */
  width: Lognormal,
  coresPerTask: Lognormal,
  memoryMbPerTask: Lognormal,
  durationMs: Lognormal,
  /** Standard deviation of the logarithm between tasks of one step. */
  uneven: z.number().nonnegative(),
  /** Standard deviation of the logarithm of the submitters' errors. */
  estimateError: z.number().nonnegative(),
  /** What a job of mean size earns when it is in time. */
  worth: z.number().positive(),
  /** Tasks of one job that lasts, and their cores. */
  lasting: z.object({count: z.int(), cores: z.number(), memoryMb: z.number()}),
});
export type QueueShape = z.infer<typeof QueueShape>;

export const TrafficShape = z.object({
  name: z.string(),
  queues: z.array(QueueShape),
  /** Hosts of each pool at the start. */
  hostsPerPool: z.int().positive(),
  standbyHosts: z.int().nonnegative(),
  hostCores: z.number().positive(),
  hostMemoryMb: z.number().positive(),
  /** How long the traffic lasts, and how long one queue's turn. */
  lengthMs: z.number().positive(),
  turnMs: z.number().positive(),
  stretch: z.number().positive(),
  targetMs: z.number().nonnegative(),
  /** In the unit of worth: a second of a host in a pool, and a move. */
  hostSecondPrice: z.number().nonnegative(),
  movePrice: z.number().nonnegative(),
});
export type TrafficShape = z.infer<typeof TrafficShape>;

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
const LASTING = {count: 4, cores: 6, memoryMb: 35_000};

/** Today's archers: four queues that take turns on 35 hosts. */
export const ARCHERS_JOBS: TrafficShape = {
  name: 'archers',
  queues: [
    {name: 'booking', perSecond: 4.1, ...SMALL_JOBS, lasting: LASTING},
    {name: 'scoring', perSecond: 1, ...LARGE_JOBS, lasting: LASTING},
    {name: 'armoury', perSecond: 5.2, ...SMALL_JOBS, lasting: LASTING},
    {name: 'leagues', perSecond: 1.2, ...LARGE_JOBS, lasting: LASTING},
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

/** The same traffic on `factor` times as many pools and hosts. */
export function scaleShape(shape: TrafficShape, factor: number): TrafficShape {
  const queues = Array.from({length: factor}, (_, part) =>
    shape.queues.map(queue => ({...queue, name: `${queue.name}-${part}`})),
  ).flat();
  const standbyHosts = shape.standbyHosts * factor;
  return {...shape, name: `${shape.name} x ${factor}`, queues, standbyHosts};
}
