/** Generates seeded jobs with their actual durations. */
import {JobSpec} from '@lentildrift/queue';
import {createRandom, type Random} from '../workload.js';
import type {QueueShape, TrafficShape, Lognormal} from './shape.js';

export interface JobArrival {
  readonly atMs: number;
  readonly queue: string;
  readonly spec: JobSpec;
  /** Actual durations by step and task; empty for a long-running job. */
  readonly durationsMs: readonly (readonly number[])[];
  /** Sum of the longest task duration of each step. */
  readonly criticalPathMs: number;
  readonly worth: number;
  /** Expected work relative to that of the mean job of the queue. */
  readonly sizeFactor: number;
}

/** Rate of a queue outside its turn, as a fraction of its mean rate. */
const QUIET_FACTOR = 0.05;
/** Bounds on the worth of a job, relative to a job of mean size. */
const MIN_WORTH_FACTOR = 0.3;
const MAX_WORTH_FACTOR = 4;

export function createArrivals(
  shape: TrafficShape,
  seed: number,
): JobArrival[] {
  const random = createRandom(seed);
  const teams = createTeams(shape, seed);
  const arrivals: JobArrival[] = [];
  shape.queues.forEach((queue, queueIndex) => {
    arrivals.push(createLongRunningJob(queue));
    const turns = 4;
    const burst = turns - (turns - 1) * QUIET_FACTOR;
    let atMs = 0;
    for (;;) {
      const turn = Math.floor(atMs / shape.turnMs) % turns;
      const turnFactor = turn === queueIndex % turns ? burst : QUIET_FACTOR;
      const factor =
        turnFactor * queueBurstFactor(shape, queue, atMs) * teams.factor(atMs);
      const gapMs =
        (-Math.log(1 - random.uniform()) * 1000) / (queue.perSecond * factor);
      const turnEndMs = Math.min(
        (Math.floor(atMs / shape.turnMs) + 1) * shape.turnMs,
        nextChangeMs(shape, atMs),
      );
      if (atMs + gapMs >= turnEndMs) {
        // The rate changes here. Arrivals are memoryless, so the gap is drawn
        // again at the new rate.
        atMs = turnEndMs;
        if (atMs >= shape.lengthMs) break;
        continue;
      }
      atMs += gapMs;
      const team = teams.draw(atMs);
      arrivals.push(createJob(random, queue, atMs, arrivals.length, team));
    }
  });
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

/** A team of a trial, with its share of the jobs of quiet times. */
export interface TrialTeam {
  readonly name: string;
  readonly share: number;
  readonly weight: number;
}

/** The teams of a shape, the largest first; none if it has no teams. */
export function listTeams({teams, queues}: TrafficShape): TrialTeam[] {
  if (!teams) return [];
  const {count, skew, weightFactor, minWeight} = teams;
  const sizes = Array.from({length: count}, (_, at) => (at + 1) ** -skew);
  const whole = sizes.reduce((sum, size) => sum + size, 0);
  const perSecond = queues.reduce((sum, queue) => sum + queue.perSecond, 0);
  return sizes.map((size, at) => {
    const share = size / whole;
    const weight = Math.max(minWeight, weightFactor * perSecond * share);
    return {name: `team-${at}`, share, weight};
  });
}

/** Draws the teams of jobs, some of which send more than usual for a time. */
function createTeams(shape: TrafficShape, seed: number) {
  // Its own generator, so that the jobs are the same with and without teams.
  const random = createRandom(seed + 1_000_000);
  const teams = listTeams(shape);
  const bursts = (shape.teams?.bursts ?? []).map(burst => {
    const names = new Set<string>();
    const largest = teams.slice(0, Math.ceil(teams.length / 3));
    while (names.size < Math.min(burst.teams, largest.length)) {
      names.add(largest[Math.floor(random.uniform() * largest.length)]!.name);
    }
    return {...burst, names};
  });
  const sharesAt = (atMs: number) =>
    teams.map(({name, share}) => {
      const burst = bursts.find(
        ({fromMs, untilMs, names}) =>
          atMs >= fromMs && atMs < untilMs && names.has(name),
      );
      return {name, share: share * (burst?.factor ?? 1)};
    });
  const sumOf = (shares: {share: number}[]) =>
    shares.reduce((sum, {share}) => sum + share, 0);
  return {
    /** Multiple of the usual number of jobs of all teams. */
    factor: (atMs: number) => (teams.length > 0 ? sumOf(sharesAt(atMs)) : 1),
    draw(atMs: number): string | undefined {
      const shares = sharesAt(atMs);
      let left = teams.length > 0 ? random.uniform() * sumOf(shares) : 0;
      return shares.find(({share}) => (left -= share) < 0)?.name;
    },
  };
}

function queueBurstFactor(
  {queueBursts = []}: TrafficShape,
  {name}: QueueShape,
  atMs: number,
): number {
  const burst = queueBursts.find(
    ({queue, fromMs, untilMs}) =>
      queue === name && atMs >= fromMs && atMs < untilMs,
  );
  return burst?.factor ?? 1;
}

/** The next time after `atMs` at which a burst begins or ends. */
function nextChangeMs(
  {queueBursts = [], teams}: TrafficShape,
  atMs: number,
): number {
  const bursts = [...queueBursts, ...(teams?.bursts ?? [])];
  const changesMs = bursts.flatMap(({fromMs, untilMs}) => [fromMs, untilMs]);
  return Math.min(...changesMs.filter(changeMs => changeMs > atMs));
}

function createLongRunningJob({name, lasting}: QueueShape): JobArrival {
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
    sizeFactor: 0,
  };
}

function sizeOf(cores: number, memoryMb: number) {
  const cpuMillis = Math.round(cores * 1000);
  return {cpuMillis, memoryMb: Math.round(memoryMb), gpus: 0};
}

function createJob(
  random: Random,
  queue: QueueShape,
  atMs: number,
  number: number,
  team: string | undefined,
): JobArrival {
  const count = Math.max(1, Math.round(drawBounded(random, queue.steps)));
  const durationsMs: number[][] = [];
  let work = 0;
  const steps = Array.from({length: count}, (_, stepIndex) => {
    const width = Math.max(1, Math.round(drawBounded(random, queue.width)));
    const cores = drawBounded(random, queue.coresPerTask);
    const meanMs = drawBounded(random, queue.durationMs);
    const tasks = Array.from({length: width}, () =>
      drawLognormal(random, meanMs, queue.uneven),
    );
    durationsMs.push(tasks);
    work += (cores * tasks.reduce((sum, ms) => sum + ms, 0)) / 1000;
    return {
      count: width,
      size: sizeOf(cores, drawBounded(random, queue.memoryMbPerTask)),
      estimateMs: drawLognormal(random, meanMs, queue.estimateError),
      after: stepIndex === 0 ? [] : [stepIndex - 1],
      speculative: queue.speculative ?? false,
    };
  });
  const criticalPathMs = durationsMs.reduce(
    (sum, taskMs) => sum + Math.max(...taskMs),
    0,
  );
  const meanWork =
    (queue.steps.mean *
      queue.width.mean *
      queue.coresPerTask.mean *
      queue.durationMs.mean) /
    1000;
  const worthFactor =
    MIN_WORTH_FACTOR + (1 - MIN_WORTH_FACTOR) * (work / meanWork);
  return {
    atMs,
    queue: queue.name,
    spec: JobSpec.parse({
      id: `${queue.name}-${number}`,
      queue: queue.name,
      payload: '',
      ...(team !== undefined && {team}),
      steps,
    }),
    durationsMs,
    criticalPathMs,
    worth: queue.worth * Math.min(MAX_WORTH_FACTOR, worthFactor),
    sizeFactor: work / meanWork,
  };
}

function drawLognormal(random: Random, mean: number, spread: number): number {
  return mean * Math.exp(spread * drawNormal(random) - (spread * spread) / 2);
}

function drawBounded(random: Random, {mean, spread, max}: Lognormal): number {
  return Math.min(max, drawLognormal(random, mean, spread));
}

function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.uniform()));
  return radius * Math.cos(2 * Math.PI * random.uniform());
}
