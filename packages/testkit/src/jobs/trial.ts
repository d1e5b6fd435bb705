/** One run of the decisions on the job queues, on a virtual clock. */
import {
  apply,
  EMPTY_STATE,
  EMPTY_TABLES,
  parseTaskKey,
  splitTaskName,
  stepKey,
  taskName,
  workerKey,
  type EndRow,
  type Event,
  type StartRow,
  type State,
} from '@lentildrift/queue';
import {
  expectedDurationMs,
  recordDuration,
  measureLoad,
  NO_DURATIONS,
  plan,
  type Durations,
  type JobOrder,
  type Load,
  type Placement,
  type PoolPolicy,
} from '@lentildrift/scheduling';
import {computeScore, type TrialScore} from './score.js';
import {createSimulatedHosts, STANDBY, type SimulatedHosts} from './hosts.js';
import type {TrafficShape} from './shape.js';
import {createArrivals, type JobArrival} from './workload.js';

export interface TrialOptions {
  readonly shape: TrafficShape;
  readonly seed: number;
  readonly order: JobOrder;
  readonly placement: Placement;
  readonly pools: PoolPolicy;
  /** Nothing is decided between these times, as without a leader. */
  readonly outage?: {readonly fromMs: number; readonly untilMs: number};
}

export interface TrialResult extends TrialScore {
  readonly starts: number;
  /** Processor time of all rounds, and of the longest one. */
  readonly roundsMs: number;
  readonly longestRoundMs: number;
}

const STEP_MS = 20;
const DIVIDE_MS = 100;
/** From an order until the task works, and from its end until it is known. */
const START_MS = 10;
const END_MS = 10;
/** Jobs that have not ended by so long after the traffic have failed. */
const FINISH_MS = 14_000;
/** Part of a run's duration that is expected once it is over. */
const OVERDUE_SHARE = 0.25;

interface Running {
  readonly row: StartRow;
  readonly endMs: number;
  readonly durationMs: number;
}

export function runJobTrial(options: TrialOptions): TrialResult {
  const {shape, seed, outage} = options;
  const arrivals = createArrivals(shape, seed);
  const truths = new Map(arrivals.map(each => [each.spec.id, each]));
  const hosts = createSimulatedHosts(shape);
  const endedMs = new Map<string, number>();
  let state = stateOf(shape, hosts);
  let durations: Durations = NO_DURATIONS;
  let running: Running[] = [];
  let waiting = arrivals;
  let dividedMs = -Infinity;
  let starts = 0;
  let roundsMs = 0;
  let longestRoundMs = 0;

  for (let nowMs = 0; nowMs < shape.lengthMs + FINISH_MS; nowMs += STEP_MS) {
    hosts.addHostTime(STEP_MS);
    if (outage && nowMs >= outage.fromMs && nowMs < outage.untilMs) continue;
    const begunMs = performance.now();
    const events: Event[] = [];
    const next = waiting.findIndex(({atMs}) => atMs > nowMs);
    const due = next < 0 ? waiting : waiting.slice(0, next);
    waiting = next < 0 ? [] : waiting.slice(next);
    for (const {spec, atMs} of due) {
      events.push({type: 'submit', job: spec, atMs});
    }
    const ended = running.filter(({endMs}) => endMs <= nowMs);
    running = running.filter(({endMs}) => endMs > nowMs);
    events.push(...endsOf(state, ended));
    for (const end of ended) durations = note(durations, state, end);
    let load = measureLoad(state);
    events.push(...hosts.advance(nowMs, load));
    if (events.length > 0) {
      const before = state;
      state = apply(state, {events}).state;
      load = measureLoad(state);
      noteJobEnds(before, state, ended, nowMs, endedMs);
    }
    const left = remaining(state, running, durations, nowMs);
    const emptyInMs = (worker: string) => left.get(worker) ?? 0;
    const decided = decide(options, {
      state,
      load,
      hosts,
      nowMs,
      durations,
      emptyInMs,
    });
    if (decided.starts.length > 0) {
      const runs = [...decided.starts];
      state = apply(state, {events: [{type: 'start', runs}]}).state;
      starts += runs.length;
      for (const row of runs) running.push(begin(row, truths, nowMs));
    }
    if (decided.shortPools.size > 0 || nowMs - dividedMs >= DIVIDE_MS) {
      dividedMs = nowMs;
      const soon = remaining(state, running, durations, nowMs);
      load = measureLoad(state);
      hosts.applyPolicy(
        options.pools,
        state,
        load,
        nowMs,
        durations,
        worker => soon.get(worker) ?? 0,
      );
    }
    const tookMs = performance.now() - begunMs;
    roundsMs += tookMs;
    longestRoundMs = Math.max(longestRoundMs, tookMs);
  }
  const {moves, hostSeconds} = hosts;
  const score = computeScore(shape, arrivals, endedMs, {moves, hostSeconds});
  return {...score, starts, roundsMs, longestRoundMs};
}

function stateOf(shape: TrafficShape, hosts: SimulatedHosts): State {
  const tables = {
    ...EMPTY_TABLES,
    version: 1,
    queues: shape.queues.map(({name}) => ({
      name,
      host: 'h',
      prefix: `/${name}/`,
      pool: name,
      timeoutMs: 3000,
      targetMs: shape.targetMs,
      stretch: shape.stretch,
      maxAttempts: 2,
      priority: 0,
      open: true,
    })),
    pools: [...shape.queues.map(({name}) => name), STANDBY].map(name => ({
      name,
      guardsCapacity: false,
      standby: name === STANDBY,
    })),
  };
  const events: Event[] = [{type: 'tables', tables}, ...hosts.initialEvents];
  return apply(EMPTY_STATE, {events}).state;
}

/** What a round knows. */
interface Moment {
  readonly state: State;
  readonly load: Load;
  readonly hosts: SimulatedHosts;
  readonly nowMs: number;
  readonly durations: Durations;
  readonly emptyInMs: (worker: string) => number;
}

function decide(
  {order, placement}: TrialOptions,
  {state, load, hosts, nowMs, durations, emptyInMs}: Moment,
) {
  const workers = [...state.workers.values()]
    .map(worker => ({
      key: workerKey(worker),
      worker,
      free: worker.capacity,
      emptyInMs: emptyInMs(workerKey(worker)),
      quarantined: false,
    }))
    .filter(({key}) => !hosts.isMoving(key));
  const advised = new Map();
  return plan({
    state,
    load,
    workers,
    nowMs,
    durations,
    advisedWorkers: advised,
    order,
    placement,
  });
}

function begin(
  row: StartRow,
  truths: ReadonlyMap<string, JobArrival>,
  nowMs: number,
): Running {
  const {job, key} = splitTaskName(row[0]);
  const {step, index} = parseTaskKey(key);
  const durationMs = truths.get(job)!.durationsMs[step]?.[index] ?? Infinity;
  return {row, durationMs, endMs: nowMs + START_MS + durationMs + END_MS};
}

/** Expected time until each worker is empty. */
function remaining(
  state: State,
  running: readonly Running[],
  durations: Durations,
  nowMs: number,
): Map<string, number> {
  const left = new Map<string, number>();
  for (const {row, endMs, durationMs} of running) {
    const [name, , worker] = row;
    const {job, key} = splitTaskName(name);
    const {spec} = state.jobs.get(job)!;
    const step = spec.steps[parseTaskKey(key).step]!;
    if (step.lasting) {
      left.set(worker, Infinity);
      continue;
    }
    const lastsMs = expectedDurationMs(durations, spec.queue, step);
    const ranMs = nowMs - (endMs - durationMs);
    const leftMs = Math.max(lastsMs - ranMs, OVERDUE_SHARE * lastsMs);
    left.set(worker, Math.max(left.get(worker) ?? 0, leftMs));
  }
  return left;
}

function endsOf(state: State, ended: readonly Running[]): Event[] {
  const byWorker = new Map<string, EndRow[]>();
  for (const {row} of ended) {
    const [name, run, worker] = row;
    const rows = byWorker.get(worker) ?? [];
    byWorker.set(worker, [...rows, [name, run, 'done', '']]);
  }
  return [...byWorker].map(([worker, ends]) => {
    const {cursor} = state.workers.get(worker.slice(0, worker.indexOf('@')))!;
    return {type: 'ends', worker, upTo: cursor + ends.length, ends};
  });
}

function note(
  durations: Durations,
  state: State,
  {row, durationMs}: Running,
): Durations {
  const {job: id, key} = splitTaskName(row[0]);
  const {occurrence, step} = parseTaskKey(key);
  const {spec} = state.jobs.get(id)!;
  return recordDuration(durations, {
    queue: spec.queue,
    stepName: taskName(id, stepKey(occurrence, step)),
    step: spec.steps[step]!,
    durationMs,
  });
}

function noteJobEnds(
  before: State,
  after: State,
  ended: readonly Running[],
  nowMs: number,
  endedMs: Map<string, number>,
): void {
  for (const {row} of ended) {
    const {job} = splitTaskName(row[0]);
    const same = before.jobs.get(job)?.phase === after.jobs.get(job)?.phase;
    if (!same) endedMs.set(job, nowMs);
  }
}
