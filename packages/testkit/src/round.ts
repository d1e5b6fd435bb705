/** Measures the time of one decision round at several fleet sizes. */
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

/** From the current fleet to the target size of the design. */
export const ROUND_SIZES: readonly FleetSize[] = [
  createFleetSize(35, 5, 6, 3),
  createFleetSize(300, 18, 40, 5),
  createFleetSize(1000, 58, 130, 8),
  createFleetSize(2200, 127, 280, 11),
];

/** Running jobs per worker. */
const RUNNING_PER_WORKER = 5;
/** Queued jobs per worker. */
const QUEUED_PER_WORKER = 2;
/** One in this many running jobs is reported as running for the first time. */
const NEWLY_STARTED_INTERVAL = 20;
const ROUNDS = 8;

export interface RoundTime {
  readonly workers: number;
  readonly medianMs: number;
  readonly maxMs: number;
}

/** Least-squares line through the median times, and its residual. */
export interface RoundSlope {
  readonly times: readonly RoundTime[];
  readonly msPerWorker: number;
  readonly interceptMs: number;
  /** Largest absolute residual of a median. */
  readonly residualMs: number;
  /** Slope of log time over log workers; 1 is linear. */
  readonly exponent: number;
}

/**
 * Measures the deterministic part of a round, including the application of its
 * changes.
 */
export function measureRounds(): RoundSlope {
  // The first run only warms up the JIT compiler.
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

function createFleetSize(
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
    const {state, observation} = createBusyFleet(size, i);
    // The first round fills the caches, as a leader's previous round does.
    const nextState = runDecisionRound(state, observation, EMPTY_SOFT_STATE);
    const startMs = performance.now();
    runDecisionRound(nextState, observation, EMPTY_SOFT_STATE);
    times.push(performance.now() - startMs);
  }
  times.sort((a, b) => a - b);
  return {
    workers: size.workers,
    medianMs: times[Math.floor(times.length / 2)]!,
    maxMs: times.at(-1)!,
  };
}

/** Runs a round from the observation to the applied changes. */
function runDecisionRound(
  initial: State,
  observation: PlatformObservation,
  previousSoftState: SoftState,
): State {
  let state = initial;
  const run = (bodies: readonly ChangeBody[]) => {
    for (const body of bodies) {
      ({state} = apply(state, {atMs: state.nowMs, body}));
    }
  };
  const softState = learnFromObservation(previousSoftState, state, observation);
  run(reconcileObservation(state, observation));
  run(nextHostSteps(state, observation, state.nowMs));
  const weights = weightsSchema.parse({});
  const {nowMs} = state;
  const round = {
    state,
    observation,
    softState,
    nowMs,
    weights,
    callDemand: {},
  };
  const proposal = propose(createDefaultPolicies(), estimateDemand(round));
  run(toChanges(checkProposal(state, proposal)));
  return state;
}

/** Creates a fleet under load, with an open wave and a few unhealthy hosts. */
function createBusyFleet(
  size: FleetSize,
  seed: number,
): {state: State; observation: PlatformObservation} {
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
    i % NEWLY_STARTED_INTERVAL === 0
      ? []
      : [{job: id, token: token!, to: 'running'} as const],
  );
  run({type: 'step-jobs', steps});
  const deadlineMs = 50 * 24 * 3600_000;
  const command = {type: 'open-wave' as const, wave: 'wave', deadlineMs};
  run({type: 'command', requestId: 'wave', command});
  return {
    state,
    observation: createObservation(state, fleet.hosts, random.intBelow(5)),
  };
}

function createObservation(
  state: State,
  hosts: ReturnType<typeof buildFleet>['hosts'],
  unhealthyIndex: number,
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
    hosts: hosts.map((host, i) => ({
      ...host,
      healthy: i % 500 !== unhealthyIndex,
    })),
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
  let covariance = 0;
  let variance = 0;
  for (let i = 0; i < n; i++) {
    covariance += (xs[i]! - meanX) * (ys[i]! - meanY);
    variance += (xs[i]! - meanX) ** 2;
  }
  const slope = covariance / variance;
  return {slope, intercept: meanY - slope * meanX};
}
