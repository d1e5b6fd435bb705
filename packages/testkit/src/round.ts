/** Times one decision round at growing sizes of the fleet. */
import {
  apply,
  listOccupyingJobs,
  type ChangeBody,
  type State,
} from '@lentildrift/model';
import {
  reconcileObservation,
  toChanges,
  checkProposal,
  createDefaultPolicies,
  EMPTY_SOFT_STATE,
  estimateDemand,
  nextHostSteps,
  learnFromObservation,
  propose,
  weightsSchema,
  type SoftState,
  type PlatformObservation,
} from '@lentildrift/policy';
import {performance} from 'node:perf_hooks';
import {buildFleet, type FleetSize} from './fleet.js';
import {createRandom} from './workload.js';

/** From the fleet of today to the target of the design. */
export const ROUND_SIZES: readonly FleetSize[] = [
  sizeOf(35, 5, 6, 3),
  sizeOf(300, 18, 40, 5),
  sizeOf(1000, 58, 130, 8),
  sizeOf(2200, 127, 280, 11),
];

/** Jobs that run, and that wait, for each worker. */
const RUNNING_PER_WORKER = 5;
const QUEUED_PER_WORKER = 2;
/** One running job in so many is seen to run for the first time. */
const STARTS_SEEN = 20;
const ROUNDS = 8;

export interface RoundTime {
  readonly workers: number;
  readonly medianMs: number;
  readonly maxMs: number;
}

/** Least-squares line through the medians, and how far they are from it. */
export interface RoundSlope {
  readonly times: readonly RoundTime[];
  readonly msPerWorker: number;
  readonly interceptMs: number;
  /** Largest distance of a median from the line. */
  readonly residualMs: number;
  /** Slope of log time over log workers; 1 is linear. */
  readonly exponent: number;
}

/** Measures the pure part of a round, with its changes applied. */
export function measureRounds(): RoundSlope {
  // The first run only warms the compiler up.
  timeRounds(ROUND_SIZES[0]!);
  const times = ROUND_SIZES.map(timeRounds);
  const xs = times.map(({workers}) => workers);
  const ys = times.map(({medianMs}) => medianMs);
  const {slope, intercept} = fitLine(xs, ys);
  const residuals = xs.map((x, i) => Math.abs(ys[i]! - slope * x - intercept));
  return {
    times,
    msPerWorker: slope,
    interceptMs: intercept,
    residualMs: Math.max(...residuals),
    exponent: fitLine(xs.map(Math.log), ys.map(Math.log)).slope,
  };
}

function sizeOf(
  workers: number,
  pools: number,
  teams: number,
  dataCentres: number,
): FleetSize {
  const spares = Math.max(3, Math.round(workers / 50));
  const memoryMiB = 256 * 1024;
  return {workers, pools, teams, dataCentres, spares, memoryMiB};
}

function timeRounds(size: FleetSize): RoundTime {
  const times: number[] = [];
  for (let i = 0; i < ROUNDS; i++) {
    const {state, sight} = busyFleet(size, i);
    // A leader's caches are warm from the round before.
    const next = oneRound(state, sight, EMPTY_SOFT_STATE);
    const started = performance.now();
    oneRound(next, sight, EMPTY_SOFT_STATE);
    times.push(performance.now() - started);
  }
  times.sort((a, b) => a - b);
  return {
    workers: size.workers,
    medianMs: times[Math.floor(times.length / 2)]!,
    maxMs: times.at(-1)!,
  };
}

/** A round from the observation to the applied changes. */
function oneRound(
  start: State,
  sight: PlatformObservation,
  before: SoftState,
): State {
  let state = start;
  const run = (bodies: readonly ChangeBody[]) => {
    for (const body of bodies) {
      ({state} = apply(state, {atMs: state.nowMs, body}));
    }
  };
  const memory = learnFromObservation(before, state, sight);
  run(reconcileObservation(state, sight));
  run(nextHostSteps(state, sight, state.nowMs));
  const weights = weightsSchema.parse({});
  const {nowMs} = state;
  const round = {
    state,
    observation: sight,
    softState: memory,
    nowMs,
    weights,
    callDemand: {},
  };
  const proposal = propose(createDefaultPolicies(), estimateDemand(round));
  run(toChanges(checkProposal(state, proposal)));
  return state;
}

/** A fleet under load, with a wave open and a few hosts lost. */
function busyFleet(
  size: FleetSize,
  seed: number,
): {state: State; sight: PlatformObservation} {
  const fleet = buildFleet(size);
  const random = createRandom(seed + 1);
  let {state} = fleet;
  const run = (body: ChangeBody) => {
    ({state} = apply(state, {atMs: state.nowMs + 1, body}));
  };
  const running = size.workers * RUNNING_PER_WORKER;
  const total = running + size.workers * QUEUED_PER_WORKER;
  const placements: {job: string; host: string}[] = [];
  for (let team = 0; team < size.teams; team++) {
    const jobs = [];
    for (let i = team; i < total; i += size.teams) {
      const pool = random.intBelow(size.pools);
      const {hosts} = state.tables.pools[`pool-${pool}`]!;
      const id = `job-${i}`;
      if (i < running) {
        placements.push({job: id, host: hosts[random.intBelow(hosts.length)]!});
      }
      const cores = 4 + random.intBelow(16);
      jobs.push({
        id,
        queue: `queue-${pool}`,
        declared: {cores, memoryMiB: 4096, accelerators: 0},
        runTimeMs: 60_000,
        urgent: random.uniform() < 0.03,
        command: '',
      });
    }
    run({type: 'submit-jobs', team: `team-${team}`, jobs});
  }
  run({type: 'place-jobs', placements});
  const steps = listOccupyingJobs(state.jobs).flatMap(({id, token}, i) =>
    i % STARTS_SEEN === 0
      ? []
      : [{job: id, token: token!, to: 'running'} as const],
  );
  run({type: 'step-jobs', steps});
  const deadlineMs = 50 * 24 * 3600_000;
  const command = {type: 'open-wave' as const, wave: 'wave', deadlineMs};
  run({type: 'command', requestId: 'wave', command});
  return {state, sight: observed(state, fleet.hosts, random.intBelow(5))};
}

function observed(
  state: State,
  hosts: ReturnType<typeof buildFleet>['hosts'],
  lost: number,
): PlatformObservation {
  const tasks = Object.values(state.jobs.buckets).flatMap(bucket =>
    Object.values(bucket).flatMap(job =>
      job.token === undefined
        ? []
        : [
            {
              job: job.id,
              host: job.host!,
              token: job.token,
              phase: 'running' as const,
              usage: job.declared,
              throttled: false,
            },
          ],
    ),
  );
  return {
    hosts: hosts.map((host, i) => ({...host, healthy: i % 500 !== lost})),
    tasks,
    drained: [],
    rebooted: [],
  };
}

function fitLine(
  xs: readonly number[],
  ys: readonly number[],
): {slope: number; intercept: number} {
  const n = xs.length;
  const meanX = xs.reduce((a, b) => a + b, 0) / n;
  const meanY = ys.reduce((a, b) => a + b, 0) / n;
  let over = 0;
  let under = 0;
  for (let i = 0; i < n; i++) {
    over += (xs[i]! - meanX) * (ys[i]! - meanY);
    under += (xs[i]! - meanX) ** 2;
  }
  const slope = over / under;
  return {slope, intercept: meanY - slope * meanX};
}
