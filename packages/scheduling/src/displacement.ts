/**
 * Policies that take the room of running work for urgent jobs. They run after
 * the plan of a round and only choose runs to stop: their tasks wait again, and
 * the room goes to waiting tasks by the order.
 */
import {
  add,
  dueAtMs,
  fits,
  isSuspect,
  parseTaskKey,
  queuesOf,
  stepKey,
  subtract,
  taskName,
  ZERO_SIZE,
  type Job,
  type Queue,
  type Size,
  type State,
} from '@lentildrift/queue';
import type {Backlog} from './backlog.js';
import {priorityWeight, type DelayCost} from './cost.js';
import {expectedDurationMs, type Durations} from './estimate.js';
import {isSurplus, reservation, type LiveRun, type Load} from './load.js';
import {objectiveMs, remainingPathMs, type OrderInput} from './order.js';
import {meetsLabel} from './placement.js';
import {
  countStepRuns,
  isWithinLimit,
  type AdvisedWorkers,
  type Plan,
} from './plan.js';
import {listReadySteps, type ReadyStep} from './ready-steps.js';
import type {Candidate} from './candidate.js';

/** What the leader has seen of a run. */
export interface RunProgress {
  /** Time, in milliseconds, for which the run has certainly been running. */
  readonly elapsedMs: number;
  /**
   * Time since the worker reported a new checkpoint of the run; undefined if it
   * has reported none.
   */
  readonly sinceCheckpointMs: number | undefined;
}

export interface DisplacementInput {
  readonly state: State;
  readonly load: Pick<Load, 'runsByWorker' | 'surplus'>;
  readonly backlog: Pick<Backlog, 'waitingJobs'>;
  /** What the round starts, and the room that it leaves. */
  readonly plan: Pick<
    Plan,
    'starts' | 'candidatesLeft' | 'usedByTeam' | 'shortPools'
  >;
  /** Unix time. */
  readonly nowMs: number;
  readonly durations: Durations;
  readonly advisedWorkers: AdvisedWorkers;
  /** Undefined if nothing shows that the run is in progress. */
  progressOf(live: LiveRun): RunProgress | undefined;
  isStopping(run: string): boolean;
}

/** Runs to stop for the tasks of one step, with the inputs of the decision. */
export interface Displacement {
  /** Name of the urgent step. */
  readonly step: string;
  readonly runs: readonly LiveRun[];
  /** Cost of delay that the step avoids, in core milliseconds. */
  readonly gainMs: number;
  /** Work thrown away and cost of the delay of the runs, in core milliseconds. */
  readonly lossMs: number;
}

export abstract class DisplacementPolicy {
  abstract choose(input: DisplacementInput): readonly Displacement[];
}

/** Baseline: running work keeps its room. */
export class NoDisplacement extends DisplacementPolicy {
  override choose(): readonly Displacement[] {
    return [];
  }
}

/**
 * Share of the cores of a pool that may be displaced at once. Each displaced run
 * waits again, and the order needs room to bring it back.
 */
const MAX_DISPLACED_SHARE = 0.25;
/** Time from the decision until the room of a stopped run is in use again. */
const STOP_MS = 1200;
/** Time for which a run that resumes from a checkpoint makes no progress. */
const RESTORE_MS = 1000;

/** Displaces runs if the urgent job gains more than all of them lose. */
export class CostDisplacement extends DisplacementPolicy {
  constructor(private readonly cost: DelayCost) {
    super();
  }

  override choose(round: DisplacementInput): readonly Displacement[] {
    const input = {...round, cost: this.cost};
    const urgent = listUrgentSteps(input);
    if (urgent.length === 0) return [];
    const rounds = new Map<string, PoolRound>();
    return urgent.flatMap(each => {
      const {pool} = each.queue;
      const round = rounds.get(pool) ?? createPoolRound(input, pool, urgent);
      rounds.set(pool, round);
      return displace(input, round, each) ?? [];
    });
  }
}

/** The input of a choice with the cost that decides. */
interface CostInput extends DisplacementInput {
  readonly cost: DelayCost;
}

/** A step of an urgent job with tasks that wait for room. */
interface UrgentStep {
  readonly job: Job;
  readonly queue: Queue;
  readonly ready: ReadyStep;
  /** Number of tasks that wait and are not started by the plan. */
  readonly waitingCount: number;
  /** Unix time at which the occurrence ends if its tasks start after a stop. */
  readonly endMs: number;
  readonly occasion: OrderInput;
}

/** Whether the jobs of a queue may displace others; 0 and below is urgent. */
function isUrgent({priority}: Queue): boolean {
  return priorityWeight(priority) === 1;
}

/** Urgent steps without room that can still be in time, by their slack. */
function listUrgentSteps(input: CostInput): UrgentStep[] {
  const {state, backlog, plan, nowMs, durations} = input;
  if (plan.shortPools.size === 0) return [];
  const queues = queuesOf(state);
  const started = countStarts(plan.starts);
  const urgent: (UrgentStep & {readonly slackMs: number})[] = [];
  for (const job of backlog.waitingJobs) {
    const queue = queues.get(job.spec.queue);
    if (!queue || !isUrgent(queue) || !plan.shortPools.has(queue.pool))
      continue;
    for (const ready of listReadySteps(job, nowMs)) {
      const {occurrence, step} = ready;
      if (step.lasting || step.filler) continue;
      const name = stepNameOf(job, ready);
      const waitingCount = ready.waitingCount - (started.get(name) ?? 0);
      if (waitingCount <= 0) continue;
      const occasion = {job, queue, occurrence, nowMs, durations};
      const endMs = nowMs + STOP_MS + remainingPathMs(occasion);
      const limitMs = dueAtMs(job, occurrence) + objectiveMs(occasion);
      // A job that is late in any case gains nothing that its caller needs.
      if (endMs > limitMs) continue;
      const slackMs = limitMs - endMs;
      urgent.push({job, queue, ready, waitingCount, endMs, occasion, slackMs});
    }
  }
  return urgent.sort((a, b) => a.slackMs - b.slackMs);
}

function stepNameOf(job: Job, {occurrence, stepIndex}: ReadyStep): string {
  return taskName(job.spec.id, stepKey(occurrence, stepIndex));
}

/** Number of starts by step name. */
function countStarts(starts: Plan['starts']): Map<string, number> {
  const counts = new Map<string, number>();
  for (const [task] of starts) {
    const step = task.slice(0, task.lastIndexOf('.'));
    counts.set(step, (counts.get(step) ?? 0) + 1);
  }
  return counts;
}

/** A worker while room is sought on it. */
interface Place {
  readonly candidate: Candidate;
  /** Free, or about to be, since runs on it are being stopped. */
  readonly free: Size;
  /** Runs that may be displaced, the one with the least loss first. */
  readonly victims: readonly Victim[];
  /** Time until each of its other runs is expected to end. */
  readonly ends: readonly {readonly inMs: number; readonly size: Size}[];
}

/** A run that may be displaced. */
interface Victim {
  readonly live: LiveRun;
  readonly queue: Queue;
  readonly size: Size;
  /** See `Displacement.lossMs`. */
  readonly lossMs: number;
}

/** What remains of a pool while places are sought in it. */
interface PoolRound {
  places: readonly Place[];
  /** Cores, in thousandths, that may still be displaced. */
  budget: number;
  readonly usedByTeam: Map<string, Size>;
}

function createPoolRound(
  input: CostInput,
  pool: string,
  urgent: readonly UrgentStep[],
): PoolRound {
  // Room that is taken comes back once an urgent job has ended in it.
  const holdMs = Math.max(
    ...urgent
      .filter(({queue}) => queue.pool === pool)
      .map(({occasion}) => remainingPathMs(occasion)),
  );
  const {plan, load} = input;
  const candidates = plan
    .candidatesLeft(pool)
    .filter(({quarantined}) => !quarantined);
  let capacity = 0;
  let displaced = 0;
  for (const {key, worker} of candidates) {
    capacity += worker.capacity.cpuMillis;
    for (const live of load.runsByWorker.get(key) ?? []) {
      if (isDisplaced(live)) displaced += live.step.size.cpuMillis;
    }
  }
  return {
    places: candidates.map(candidate => createPlace(input, candidate, holdMs)),
    budget: MAX_DISPLACED_SHARE * capacity - displaced,
    usedByTeam: new Map(),
  };
}

function isDisplaced({task, run}: LiveRun): boolean {
  return task.displacedRun === run.number;
}

function createPlace(
  input: CostInput,
  candidate: Candidate,
  holdMs: number,
): Place {
  const queues = queuesOf(input.state);
  const victims: Victim[] = [];
  const ends: {inMs: number; size: Size}[] = [];
  let {free} = candidate;
  for (const live of input.load.runsByWorker.get(candidate.key) ?? []) {
    const size = reservation(live.step);
    if (isSurplus(live) || input.isStopping(live.id)) {
      free = add(free, size);
      continue;
    }
    const queue = queues.get(live.job.spec.queue);
    const progress = input.progressOf(live);
    if (!live.step.lasting && queue) {
      const inMs = remainingMs(input, live, progress);
      ends.push({inMs, size});
    }
    if (!queue || !progress || !mayBeDisplaced(live, progress)) continue;
    const lossMs = lossOf(input, live, queue, progress, holdMs);
    victims.push({live, queue, size, lossMs});
  }
  ends.sort((a, b) => a.inMs - b.inMs);
  victims.sort((a, b) => a.lossMs - b.lossMs);
  return {candidate, free, victims, ends};
}

/**
 * Lasting tasks serve users all the time, the members of a gang end together,
 * fillers and suspects hold no room that others wait for. A task that has been
 * displaced must have written a checkpoint since, or it might never end.
 */
function mayBeDisplaced(
  {step, task, run}: LiveRun,
  {sinceCheckpointMs}: RunProgress,
): boolean {
  if (step.lasting || step.gang || step.filler || isSuspect(task)) return false;
  if (task.runs.length !== 1 || task.runs[0]!.number !== run.number) {
    return false;
  }
  return task.displacedRun === undefined || sinceCheckpointMs !== undefined;
}

/** Expected time until the run ends; at least a quarter of its duration. */
function remainingMs(
  {durations}: CostInput,
  {job, step}: LiveRun,
  progress: RunProgress | undefined,
): number {
  const expectedMs = expectedDurationMs(durations, job.spec.queue, step);
  const elapsedMs = progress?.elapsedMs ?? 0;
  return Math.max(expectedMs - elapsedMs, expectedMs / 4);
}

/** Work that is thrown away, and what its callers lose by the delay. */
function lossOf(
  input: CostInput,
  live: LiveRun,
  queue: Queue,
  progress: RunProgress,
  holdMs: number,
): number {
  const {nowMs, durations, cost} = input;
  const {job, key, step} = live;
  const {occurrence} = parseTaskKey(key);
  const cores = step.size.cpuMillis / 1000;
  const againMs =
    step.checkpoints && progress.sinceCheckpointMs !== undefined
      ? progress.sinceCheckpointMs + RESTORE_MS
      : progress.elapsedMs;
  const occasion = {job, queue, occurrence, nowMs, durations};
  const endMs = nowMs + remainingPathMs(occasion);
  const delayMs = STOP_MS + againMs + holdMs;
  return (
    cores * againMs +
    cost.cost(occasion, endMs + delayMs) -
    cost.cost(occasion, endMs)
  );
}

/** Finds room for all waiting tasks of the step; undefined if it is not worth it. */
function displace(
  input: CostInput,
  round: PoolRound,
  urgent: UrgentStep,
): Displacement | undefined {
  const {job, queue, ready, waitingCount, endMs, occasion} = urgent;
  const {step, occurrence, stepIndex} = ready;
  const size = reservation(step);
  const total = multiply(step.size, waitingCount);
  if (!isWithinTeamLimit(input, round, job, total)) return undefined;
  const name = stepNameOf(job, ready);
  const allowed =
    queue.advice && (input.advisedWorkers.get(name) ?? new Set<string>());
  const running = countStepRuns(job, occurrence, stepIndex);
  const isAllowed = ({candidate: {key, worker}}: Place): boolean => {
    if (!meetsLabel(step, worker)) return false;
    if (allowed && !allowed.has(key)) return false;
    return (
      step.maxPerWorker === 0 || (running.get(key) ?? 0) < step.maxPerWorker
    );
  };
  const waitedMs = waitMs(round.places.filter(isAllowed), size, waitingCount);
  let places = round.places;
  let {budget} = round;
  const runs: LiveRun[] = [];
  let lossMs = 0;
  for (let count = 0; count < waitingCount; count++) {
    const open = places.filter(isAllowed);
    const choice = cheapest(open, size, queue, budget);
    if (!choice) return undefined;
    const {place, victims} = choice;
    const {key} = place.candidate;
    running.set(key, (running.get(key) ?? 0) + 1);
    places = places.map(each =>
      each === place ? without(place, victims, size) : each,
    );
    for (const victim of victims) {
      runs.push(victim.live);
      lossMs += victim.lossMs;
      budget -= victim.live.step.size.cpuMillis;
    }
  }
  const gainMs =
    input.cost.cost(occasion, endMs - STOP_MS + waitedMs) -
    input.cost.cost(occasion, endMs);
  // Room that is free soon is left to the step, also if it displaces nothing.
  if (runs.length > 0 && gainMs <= lossMs) return undefined;
  round.places = places;
  round.budget = budget;
  const team = job.spec.team ?? '';
  const used = round.usedByTeam.get(team) ?? ZERO_SIZE;
  round.usedByTeam.set(team, add(used, total));
  return runs.length > 0 ? {step: name, runs, gainMs, lossMs} : undefined;
}

function isWithinTeamLimit(
  {state, plan}: CostInput,
  {usedByTeam}: PoolRound,
  {spec}: Job,
  size: Size,
): boolean {
  const team = state.tables.teams.find(({name}) => name === spec.team);
  if (!team) return true;
  const others = usedByTeam.get(team.name) ?? ZERO_SIZE;
  const used = add(plan.usedByTeam(team.name), others);
  return isWithinLimit(team, add(used, size));
}

interface Choice {
  readonly place: Place;
  readonly victims: readonly Victim[];
  readonly lossMs: number;
}

/** The place on which one task of this size costs least. */
function cheapest(
  places: readonly Place[],
  size: Size,
  queue: Queue,
  budget: number,
): Choice | undefined {
  let best: Choice | undefined;
  for (const place of places) {
    const choice = chooseVictims(place, size, queue, budget);
    if (choice && (!best || choice.lossMs < best.lossMs)) best = choice;
  }
  return best;
}

/** The runs with the least loss that make enough room; empty if there is room. */
function chooseVictims(
  place: Place,
  size: Size,
  queue: Queue,
  budget: number,
): Choice | undefined {
  let {free} = place;
  let chosen: Victim[] = [];
  let cores = 0;
  for (const victim of place.victims) {
    if (fits(size, free)) break;
    if (!isLower(victim.queue, queue)) continue;
    const {cpuMillis} = victim.live.step.size;
    if (cores + cpuMillis > budget) continue;
    cores += cpuMillis;
    free = add(free, victim.size);
    chosen.push(victim);
  }
  if (!fits(size, free)) return undefined;
  // A larger run that was taken later may make an earlier one unnecessary.
  for (const victim of chosen) {
    const rest = subtract(free, victim.size);
    if (!fits(size, rest)) continue;
    free = rest;
    chosen = chosen.filter(each => each !== victim);
  }
  const lossMs = chosen.reduce((sum, victim) => sum + victim.lossMs, 0);
  return {place, victims: chosen, lossMs};
}

function isLower(a: Queue, b: Queue): boolean {
  return priorityWeight(a.priority) < priorityWeight(b.priority);
}

function without(
  place: Place,
  displaced: readonly Victim[],
  size: Size,
): Place {
  const freed = displaced.reduce(
    (sum, victim) => add(sum, victim.size),
    place.free,
  );
  return {
    ...place,
    free: subtract(freed, size),
    victims: place.victims.filter(each => !displaced.includes(each)),
  };
}

/** Time until that many workers have room for the size if nothing is displaced. */
function waitMs(
  places: readonly Place[],
  size: Size,
  workerCount: number,
): number {
  const waits = places
    .map(place => waitOnMs(place, size))
    .sort((a, b) => a - b);
  return waits[Math.min(workerCount, waits.length) - 1] ?? MAX_WAIT_MS;
}

/** Time until the worker has room for the size. */
function waitOnMs({free, ends}: Place, size: Size): number {
  let left = free;
  if (fits(size, left)) return 0;
  for (const {inMs, size: freed} of ends) {
    left = add(left, freed);
    if (fits(size, left)) return inMs;
  }
  return MAX_WAIT_MS;
}

/** Assumed where nothing that ends makes enough room. */
const MAX_WAIT_MS = 60_000;

function multiply(size: Size, count: number): Size {
  return {
    cpuMillis: size.cpuMillis * count,
    memoryMb: size.memoryMb * count,
    gpus: size.gpus * count,
  };
}
