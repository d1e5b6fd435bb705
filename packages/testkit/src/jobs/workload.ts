/** Seeded jobs of a shape, with what they do in truth. */
import {JobSpec} from '@lentildrift/queue';
import {createRandom, type Random} from '../workload.js';
import type {QueueShape, TrafficShape, Lognormal} from './shape.js';

export interface JobArrival {
  readonly atMs: number;
  readonly queue: string;
  readonly spec: JobSpec;
  /** Durations by step and task; empty for a job that lasts. */
  readonly durationsMs: readonly (readonly number[])[];
  /** Longest chain of its work. */
  readonly criticalPathMs: number;
  readonly worth: number;
}

/** A queue out of its turn asks for this part of its mean. */
const QUIET = 0.05;
/** Least part of a job's worth, and the most, against the mean job. */
const FIXED_WORTH = 0.3;
const MAX_WORTH = 4;

export function createArrivals(
  shape: TrafficShape,
  seed: number,
): JobArrival[] {
  const random = createRandom(seed);
  const arrivals: JobArrival[] = [];
  shape.queues.forEach((queue, at) => {
    arrivals.push(lastingJob(queue));
    const turns = 4;
    const burst = turns - (turns - 1) * QUIET;
    let atMs = 0;
    for (;;) {
      const turn = Math.floor(atMs / shape.turnMs) % turns;
      const factor = turn === at % turns ? burst : QUIET;
      const gapMs =
        (-Math.log(1 - random.uniform()) * 1000) / (queue.perSecond * factor);
      const turnEndMs = (Math.floor(atMs / shape.turnMs) + 1) * shape.turnMs;
      if (atMs + gapMs >= turnEndMs) {
        // The rate changes with the turn; arrivals have no memory.
        atMs = turnEndMs;
        if (atMs >= shape.lengthMs) break;
        continue;
      }
      atMs += gapMs;
      arrivals.push(job(random, queue, atMs, arrivals.length));
    }
  });
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function lastingJob({name, lasting}: QueueShape): JobArrival {
  const spec = JobSpec.parse({
    id: `lasting-${name}`,
    queue: name,
    payload: '',
    steps: [
      {
        count: lasting.count,
        size: sizeOf(lasting.cores, lasting.memoryMb),
        lasting: true,
        mayMiss: 1,
        maxPerWorker: 2,
      },
    ],
  });
  return {
    atMs: 0,
    queue: name,
    spec,
    durationsMs: [],
    criticalPathMs: 0,
    worth: 0,
  };
}

function sizeOf(cores: number, memoryMb: number) {
  const cpuMillis = Math.round(cores * 1000);
  return {cpuMillis, memoryMb: Math.round(memoryMb), gpus: 0};
}

function job(
  random: Random,
  queue: QueueShape,
  atMs: number,
  number: number,
): JobArrival {
  const count = Math.max(1, Math.round(draw(random, queue.steps)));
  const durationsMs: number[][] = [];
  let work = 0;
  const steps = Array.from({length: count}, (_, at) => {
    const width = Math.max(1, Math.round(draw(random, queue.width)));
    const cores = draw(random, queue.coresPerTask);
    const meanMs = draw(random, queue.durationMs);
    const tasks = Array.from({length: width}, () =>
      vary(random, meanMs, queue.uneven),
    );
    durationsMs.push(tasks);
    work += (cores * tasks.reduce((sum, ms) => sum + ms, 0)) / 1000;
    return {
      count: width,
      size: sizeOf(cores, draw(random, queue.memoryMbPerTask)),
      estimateMs: vary(random, meanMs, queue.estimateError),
      after: at === 0 ? [] : [at - 1],
    };
  });
  const pathMs = durationsMs.reduce((sum, own) => sum + Math.max(...own), 0);
  const mean =
    (queue.steps.mean *
      queue.width.mean *
      queue.coresPerTask.mean *
      queue.durationMs.mean) /
    1000;
  const share = FIXED_WORTH + (1 - FIXED_WORTH) * (work / mean);
  return {
    atMs,
    queue: queue.name,
    spec: JobSpec.parse({
      id: `${queue.name}-${number}`,
      queue: queue.name,
      payload: '',
      steps,
    }),
    durationsMs,
    criticalPathMs: pathMs,
    worth: queue.worth * Math.min(MAX_WORTH, share),
  };
}

function vary(random: Random, mean: number, spread: number): number {
  return mean * Math.exp(spread * normal(random) - (spread * spread) / 2);
}

function draw(random: Random, {mean, spread, max}: Lognormal): number {
  return Math.min(max, vary(random, mean, spread));
}

function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.uniform()));
  return radius * Math.cos(2 * Math.PI * random.uniform());
}
