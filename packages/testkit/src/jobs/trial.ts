/** Runs the scheduling decisions of the job queues on a virtual clock. */
import {createCopies, createWorkerSpeeds} from '@lentildrift/dispatch';
import {createLog, createMetrics} from '@lentildrift/observe';
import {
  apply,
  EMPTY_STATE,
  EMPTY_TABLES,
  parseTaskKey,
  queuesByName,
  splitTaskName,
  stepKey,
  taskName,
  workerKey,
  ZERO_SIZE,
  type EndRow,
  type Event,
  type StartRow,
  type State,
} from '@lentildrift/queue';
import {
  AdmitAll,
  createCandidate,
  createStateIndex,
  createIntakeLedger,
  NoCopies,
  runId,
  SHARE_WINDOW_MS,
  type Admission,
  type CopyPolicy,
  type DurationSample,
  type PoolShares,
  type ReturnOrder,
  type ShareRule,
  expectedDurationMs,
  groupByPool,
  NO_DURATIONS,
  plan,
  recordDuration,
  type Durations,
  type JobOrder,
  type Placement,
  type PoolPolicy,
  type StateView,
} from '@lentildrift/scheduling';
import {computeScore, type TrialScore} from './score.js';
import {
  createSimulatedHosts,
  hostCapacity,
  poolNames,
  STANDBY,
  type SimulatedHosts,
} from './hosts.js';
import type {TrafficShape} from './shape.js';
import {createRunDurations, type Stragglers} from './stragglers.js';
import {createArrivals, listTeams, type JobArrival} from './workload.js';

export interface TrialOptions {
  readonly shape: TrafficShape;
  readonly seed: number;
  readonly order: JobOrder;
  readonly placement: Placement;
  readonly pools: PoolPolicy;
  /** Every job is admitted if it is absent. */
  readonly admission?: Admission;
  /** Jobs have no shares if it is absent. */
  readonly shareRule?: ShareRule;
  /** `PacedReturns` if it is absent. */
  readonly returns?: ReturnOrder;
  /** Interval without a leader, in which no decisions are made. */
  readonly outage?: {readonly fromMs: number; readonly untilMs: number};
  /** Decisions take no time, and are durable at once, if it is absent. */
  readonly leader?: LeaderTimes;
  /** No copies if it is absent. */
  readonly copies?: CopyPolicy;
  /** All runs of a task last equally long if it is absent. */
  readonly stragglers?: Stragglers;
}

/** Time that the leader takes; its next round begins after that. */
export interface LeaderTimes {
  /** Processor time of a round, without that for its starts and ends. */
  readonly roundMs: number;
  readonly startMs: number;
  readonly endMs: number;
  /** Time until a change is durable. */
  readonly commitMs: number;
  /** Time from the order of a start until the task runs. */
  readonly deliveryMs: number;
  /** Time from the end of a task until the leader has the report. */
  readonly reportMs: number;
}

export interface TrialResult extends TrialScore {
  readonly starts: number;
  /** Mean time from the arrival to the end of the slowest tenth of the jobs. */
  readonly slowestMs: number;
  /** Core time, in seconds, of runs that were stopped since another ended. */
  readonly wastedCoreSeconds: number;
  /** Jobs that were not admitted in the end. */
  readonly refused: number;
  /** Refusals by reason, those of callers that returned included. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Total time of all decision rounds. */
  readonly roundsMs: number;
  /** Time of the longest decision round. */
  readonly longestRoundMs: number;
}

const NO_LEADER_TIMES: LeaderTimes = {
  roundMs: 0,
  startMs: 0,
  endMs: 0,
  commitMs: 0,
  deliveryMs: 10,
  reportMs: 10,
};

const NO_STRAGGLERS: Stragglers = {
  longRunShare: 0,
  longRunFactor: 1,
  slowHostShare: 0,
  slowHostFactor: 1,
};

const SLOWEST_SHARE = 0.1;
const STEP_MS = 20;
/** Time until a run that is stopped has ended, and its worker has reported it. */
const STOP_MS = 200;
/** A leader whose round takes longer before its starts counts as busy. */
const BUSY_MS = 20;
/** Tasks of late jobs that a busy leader starts in one round. */
const MAX_LATE_STARTS = 8;
const POOL_POLICY_INTERVAL_MS = 100;
/**
 * Jobs that have not ended this long after the end of the traffic count as
 * failed.
 */
const COMPLETION_TIMEOUT_MS = 14_000;
/**
 * Least expected remaining time of a task, as a fraction of its expected
 * duration.
 */
const OVERDUE_REMAINING_FRACTION = 0.25;

interface RunningTask {
  readonly row: StartRow;
  readonly startMs: number;
  readonly endMs: number;
  readonly durationMs: number;
  /** Another run of the task has ended. */
  readonly isStopped?: boolean;
}

export function runJobTrial(options: TrialOptions): TrialResult {
  const {shape, seed, outage, leader = NO_LEADER_TIMES} = options;
  const arrivals = createArrivals(shape, seed);
  const arrivalsById = new Map(arrivals.map(each => [each.spec.id, each]));
  const hosts = createSimulatedHosts(shape);
  const {retries = 0} = shape;
  const endedMs = new Map<string, number>();
  const index = createStateIndex();
  let state = createState(shape, hosts);
  let durations: Durations = NO_DURATIONS;
  let running: RunningTask[] = [];
  let pendingArrivals: readonly Arrival[] = arrivals.map(job => ({
    atMs: job.atMs,
    job,
    retriesLeft: retries,
  }));
  let lastPoolDecisionMs = -Infinity;
  let starts = 0;
  const {admission = new AdmitAll(), shareRule, returns} = options;
  const intake = createIntakeLedger({admission, shareRule, returns});
  const hostCapacities = [hostCapacity(shape)];
  const refused = new Set<string>();
  const refusals: Record<string, number> = {};
  let roundsMs = 0;
  let longestRoundMs = 0;
  /** Time at which the leader has done what its last round decided. */
  let busyUntilMs = 0;
  let virtualMs = 0;
  let wastedCoreSeconds = 0;
  /** Time at which each run started or will start, by `runId`. */
  const startMsOf = new Map<string, number>();
  const durationOf = createRunDurations(
    options.stragglers ?? NO_STRAGGLERS,
    seed,
  );
  const speeds = createWorkerSpeeds({
    runs: {
      runningSinceMs(id) {
        const startMs = startMsOf.get(id) ?? Infinity;
        return startMs <= virtualMs ? startMs : undefined;
      },
    },
    durations: () => durations,
    nowMs: () => virtualMs,
  });
  const copies = createCopies({
    policy: options.copies ?? new NoCopies(),
    placement: options.placement,
    runs: {isStopping: () => false},
    estimates: {
      recordOutlasted(task, run, worker) {
        const startMs = startMsOf.get(runId(task, run)) ?? virtualMs;
        const sample = toSample(state, task, virtualMs - startMs);
        speeds.recordOutlasted(sample, worker);
        durations = recordDuration(durations, sample);
      },
    },
    speeds,
    advice: {advisedWorkers: () => new Map()},
    log: createLog('info', {}, () => {}),
    metrics: createMetrics(),
    inherited: [],
    state: () => state,
    nowMs: () => virtualMs,
  });

  for (
    let nowMs = 0;
    nowMs < shape.lengthMs + COMPLETION_TIMEOUT_MS;
    nowMs += STEP_MS
  ) {
    virtualMs = nowMs;
    hosts.addHostTime(STEP_MS);
    if (outage && nowMs >= outage.fromMs && nowMs < outage.untilMs) continue;
    if (nowMs < busyUntilMs) continue;
    const roundStartMs = performance.now();
    const events: Event[] = [];
    const next = pendingArrivals.findIndex(({atMs}) => atMs > nowMs);
    const due = next < 0 ? pendingArrivals : pendingArrivals.slice(0, next);
    pendingArrivals = next < 0 ? [] : pendingArrivals.slice(next);
    const returning: Arrival[] = [];
    for (const arrival of due) {
      const {spec} = arrival.job;
      const verdict = intake.decide({
        spec,
        queue: queuesByName(state.tables).get(spec.queue)!,
        nowMs,
        monotonicMs: nowMs,
        durations,
        hostCapacities,
        isSettled: true,
      });
      if (verdict.type === 'admitted') {
        events.push({type: 'submit', job: spec, atMs: nowMs});
        intake.settle(spec.id);
        refused.delete(spec.id);
        continue;
      }
      refused.add(spec.id);
      const reason = verdict.type === 'overloaded' ? verdict.reason : 'other';
      refusals[reason] = (refusals[reason] ?? 0) + 1;
      if (verdict.type !== 'overloaded' || arrival.retriesLeft === 0) continue;
      const retriesLeft = arrival.retriesLeft - 1;
      const atMs = nowMs + verdict.retryAfterMs;
      returning.push({atMs, job: arrival.job, retriesLeft});
    }
    if (returning.length > 0) {
      pendingArrivals = [...pendingArrivals, ...returning].sort(
        (a, b) => a.atMs - b.atMs,
      );
    }
    const ended = running.filter(({endMs}) => endMs <= nowMs);
    running = running.filter(({endMs}) => endMs > nowMs);
    events.push(...toEndEvents(state, ended));
    for (const {row, startMs, durationMs, isStopped} of ended) {
      const [task, run, worker] = row;
      startMsOf.delete(runId(task, run));
      const sample = toSample(state, task, durationMs);
      if (isStopped) {
        const cores = sample.step.size.cpuMillis / 1000;
        wastedCoreSeconds += (cores * (nowMs - startMs)) / 1000;
      } else if (run === 1) {
        speeds.recordEnd(sample, worker);
        durations = recordDuration(durations, sample);
      }
    }
    busyUntilMs = nowMs + leader.roundMs + ended.length * leader.endMs;
    const crashed = hosts.crash(nowMs);
    if (crashed.size > 0) {
      const isLost = ({row: [, , worker]}: RunningTask) => crashed.has(worker);
      events.push({
        type: 'lost',
        runs: running.filter(isLost).map(({row}) => row),
      });
      running = running.filter(task => !isLost(task));
      for (const worker of crashed) events.push({type: 'worker-gone', worker});
    }
    events.push(...hosts.advance(nowMs, index.viewOf(state).load));
    if (events.length > 0) {
      const before = state;
      state = apply(state, {events}).state;
      const durableMs = nowMs + leader.commitMs;
      recordJobEnds(before, state, ended, durableMs, endedMs);
      const doneRows = ended.filter(({isStopped}) => !isStopped);
      copies.recordEnds(
        doneRows.map(({row: [name, run]}) => [name, run, 'done', '']),
      );
      running = stopSurplus(running, index.viewOf(state), durableMs);
    }
    const remainingByWorker = computeRemainingMs(
      state,
      running,
      durations,
      nowMs,
    );
    const emptyInMs = (worker: string) => remainingByWorker.get(worker) ?? 0;
    const {load} = index.viewOf(state);
    const decision = decide(options, {
      isSlow: worker => speeds.isSlow(worker, load),
      isBusy: busyUntilMs > nowMs + BUSY_MS,
      state,
      view: index.viewOf(state),
      hosts,
      nowMs,
      durations,
      emptyInMs,
      shares: shareRule ? intake.shares() : undefined,
    });
    const view = index.viewOf(state);
    const runs = [...decision.starts, ...copies.choose(state, view, decision)];
    if (runs.length > 0) {
      state = apply(state, {events: [{type: 'start', runs}]}).state;
      copies.recordStarts(runs);
      starts += runs.length;
      for (const row of runs) {
        busyUntilMs += leader.startMs;
        const orderedMs = Math.max(busyUntilMs, nowMs + leader.commitMs);
        const task = startTask(
          row,
          arrivalsById,
          orderedMs,
          leader,
          durationOf,
        );
        startMsOf.set(runId(row[0], row[1]), task.startMs);
        running.push(task);
      }
    }
    busyUntilMs = Math.max(busyUntilMs, nowMs + leader.commitMs);
    if (
      decision.shortPools.size > 0 ||
      nowMs - lastPoolDecisionMs >= POOL_POLICY_INTERVAL_MS
    ) {
      lastPoolDecisionMs = nowMs;
      const remainingAfterStarts = computeRemainingMs(
        state,
        running,
        durations,
        nowMs,
      );
      const forecasts = hosts.applyPolicy(
        options.pools,
        state,
        index.viewOf(state),
        nowMs,
        durations,
        worker => remainingAfterStarts.get(worker) ?? 0,
      );
      intake.update({
        forecasts,
        teams: state.tables.teams,
        queues: queuesByName(state.tables),
        recentJobs: index
          .viewOf(state)
          .backlog.recentJobs(nowMs - SHARE_WINDOW_MS),
        durations,
        nowMs,
      });
    }
    const roundMs = performance.now() - roundStartMs;
    roundsMs += roundMs;
    longestRoundMs = Math.max(longestRoundMs, roundMs);
  }
  const {moves, hostSeconds} = hosts;
  const score = computeScore(shape, arrivals, endedMs, {moves, hostSeconds});
  return {
    ...score,
    starts,
    slowestMs: meanOfSlowest(
      arrivals,
      endedMs,
      shape.lengthMs + COMPLETION_TIMEOUT_MS,
    ),
    wastedCoreSeconds,
    refused: refused.size,
    refusals,
    roundsMs,
    longestRoundMs,
  };
}

/** Jobs that have not ended count as if they had at the end of the trial. */
function meanOfSlowest(
  arrivals: readonly JobArrival[],
  endedMs: ReadonlyMap<string, number>,
  untilMs: number,
): number {
  const took = arrivals
    .filter(({criticalPathMs}) => criticalPathMs > 0)
    .map(({spec, atMs}) => (endedMs.get(spec.id) ?? untilMs) - atMs)
    .sort((a, b) => b - a);
  const slowest = took.slice(0, Math.ceil(SLOWEST_SHARE * took.length));
  return slowest.reduce((sum, ms) => sum + ms, 0) / slowest.length;
}

/** A job that arrives for the first time, or again after a refusal. */
interface Arrival {
  readonly atMs: number;
  readonly job: JobArrival;
  readonly retriesLeft: number;
}

function createState(shape: TrafficShape, hosts: SimulatedHosts): State {
  const tables = {
    ...EMPTY_TABLES,
    version: 1,
    queues: shape.queues.map(({name, pool = name, priority = 0}) => ({
      name,
      host: 'h',
      prefix: `/${name}/`,
      pool,
      timeoutMs: 3000,
      targetMs: shape.targetMs,
      stretch: shape.stretch,
      maxAttempts: 2,
      priority,
      open: true,
    })),
    teams: listTeams(shape).map(({name, weight}) => ({
      name,
      keys: [],
      weight,
      cap: ZERO_SIZE,
    })),
    pools: [...poolNames(shape), STANDBY].map(name => ({
      name,
      guardsCapacity: false,
      standby: name === STANDBY,
    })),
  };
  const events: Event[] = [{type: 'tables', tables}, ...hosts.initialEvents];
  return apply(EMPTY_STATE, {events}).state;
}

/** Input of one decision round. */
interface RoundInput {
  readonly isBusy: boolean;
  readonly state: State;
  readonly view: StateView;
  readonly hosts: SimulatedHosts;
  readonly nowMs: number;
  readonly durations: Durations;
  readonly emptyInMs: (worker: string) => number;
  readonly isSlow: (worker: string) => boolean;
  readonly shares: ReadonlyMap<string, PoolShares> | undefined;
}

function decide({order, placement}: TrialOptions, input: RoundInput) {
  const {isBusy, state, view, hosts, nowMs, durations, emptyInMs, isSlow} =
    input;
  const workers = [...state.workers.values()]
    .map(worker => {
      const key = workerKey(worker);
      const free = worker.capacity;
      const fields = {key, worker, free, quarantined: false, isDue: false};
      return createCandidate(fields, () => emptyInMs(key), isSlow);
    })
    .filter(({key}) => !hosts.isMoving(key));
  const advisedWorkers = new Map();
  return plan({
    state,
    load: view.load,
    backlog: view.backlog,
    candidatesIn: groupByPool(workers),
    trialSlotsIn: () => 1,
    maxLateStarts: isBusy ? MAX_LATE_STARTS : Infinity,
    nowMs,
    durations,
    advisedWorkers,
    order,
    placement,
    ...(input.shares && {shares: input.shares}),
  });
}

function startTask(
  row: StartRow,
  arrivalsById: ReadonlyMap<string, JobArrival>,
  nowMs: number,
  {deliveryMs, reportMs}: LeaderTimes,
  durationOf: (row: StartRow, durationMs: number) => number,
): RunningTask {
  const {job, key} = splitTaskName(row[0]);
  const {step, index} = parseTaskKey(key);
  const durationMs = durationOf(
    row,
    arrivalsById.get(job)!.durationsMs[step]?.[index] ?? Infinity,
  );
  return {
    row,
    startMs: nowMs + deliveryMs,
    durationMs,
    endMs: nowMs + deliveryMs + durationMs + reportMs,
  };
}

/** Expected time in ms until each worker is empty, by worker key. */
function computeRemainingMs(
  state: State,
  running: readonly RunningTask[],
  durations: Durations,
  nowMs: number,
): Map<string, number> {
  const remainingByWorker = new Map<string, number>();
  for (const {row, endMs, durationMs} of running) {
    const [name, , worker] = row;
    const {job, key} = splitTaskName(name);
    const {spec} = state.jobs.get(job)!;
    const step = spec.steps[parseTaskKey(key).step]!;
    if (step.lasting) {
      remainingByWorker.set(worker, Infinity);
      continue;
    }
    const expectedMs = expectedDurationMs(durations, spec.queue, step);
    const elapsedMs = nowMs - (endMs - durationMs);
    const remainingMs = Math.max(
      expectedMs - elapsedMs,
      OVERDUE_REMAINING_FRACTION * expectedMs,
    );
    remainingByWorker.set(
      worker,
      Math.max(remainingByWorker.get(worker) ?? 0, remainingMs),
    );
  }
  return remainingByWorker;
}

function toEndEvents(state: State, ended: readonly RunningTask[]): Event[] {
  const byWorker = new Map<string, EndRow[]>();
  for (const {row, isStopped} of ended) {
    const [name, run, worker] = row;
    const rows = byWorker.get(worker) ?? [];
    const how = isStopped ? 'stopped' : 'done';
    byWorker.set(worker, [...rows, [name, run, how, '']]);
  }
  return [...byWorker].map(([worker, ends]) => {
    const {cursor} = state.workers.get(worker.slice(0, worker.indexOf('@')))!;
    const upTo = cursor + ends.length;
    return {type: 'ends', worker, after: cursor, upTo, ends};
  });
}

/** Has the runs stopped whose task has ended. */
function stopSurplus(
  running: readonly RunningTask[],
  {load}: StateView,
  durableMs: number,
): RunningTask[] {
  return running.map(task => {
    const [name, run] = task.row;
    if (task.isStopped || !load.surplus.has(runId(name, run))) return task;
    const endMs = Math.min(task.endMs, durableMs + STOP_MS);
    return {...task, endMs, isStopped: true};
  });
}

function toSample(
  state: State,
  task: string,
  durationMs: number,
): DurationSample {
  const {job: id, key} = splitTaskName(task);
  const {occurrence, step} = parseTaskKey(key);
  const {spec} = state.jobs.get(id)!;
  return {
    queue: spec.queue,
    stepName: taskName(id, stepKey(occurrence, step)),
    step: spec.steps[step]!,
    durationMs,
  };
}

function recordJobEnds(
  before: State,
  after: State,
  ended: readonly RunningTask[],
  nowMs: number,
  endedMs: Map<string, number>,
): void {
  for (const {row} of ended) {
    const {job} = splitTaskName(row[0]);
    const isUnchanged =
      before.jobs.get(job)?.phase === after.jobs.get(job)?.phase;
    if (!isUnchanged) endedMs.set(job, nowMs);
  }
}
