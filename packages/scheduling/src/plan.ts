/**
 * A scheduling round as a pipeline: collect the steps that are ready, order
 * them, place their tasks. A round decides which tasks start on which workers,
 * based on a state with all known events applied.
 */
import {
  add,
  fits,
  isSuspect,
  NEW_TASK,
  queuesOf,
  rackOf,
  stepKey,
  subtract,
  taskKey,
  taskName,
  ZERO_SIZE,
  type Job,
  type Queue,
  type Size,
  type StartRow,
  type State,
  type Step,
  type Task,
  type Team,
} from '@lentildrift/queue';
import {isInflow, type Backlog} from './backlog.js';
import {isCold, withRun, withFree, type Candidate} from './candidate.js';
import {expectedDurationMs, type Durations} from './estimate.js';
import {
  createHoldRecord,
  type HeldBack,
  type HoldReason,
  type HoldRecord,
} from './held-back.js';
import {reservation, type Load} from './load.js';
import {
  punctualityOf,
  remainingWorkMs,
  type JobOrder,
  type Punctuality,
} from './order.js';
import {staysOnRack, type Placement} from './placement.js';
import {isWaiting, listReadySteps, type ReadyStep} from './ready-steps.js';
import {findJobsOnLentRoom, type PoolShares} from './shares.js';
import {chooseForTrial, idleCandidates} from './trial.js';
import {createUnfitSizes, type UnfitSizes} from './unfit.js';
import {z} from 'zod';

/**
 * Keys of the workers for which the placement advice gave a ticket, by step
 * name.
 */
export type AdvisedWorkers = ReadonlyMap<string, ReadonlySet<string>>;

export interface PlanInput {
  readonly state: State;
  readonly load: Load;
  readonly backlog: Pick<Backlog, 'waitingJobs'>;
  /**
   * Workers of a pool that may get new runs; here `free` is their whole
   * capacity.
   */
  candidatesIn(pool: string): readonly Candidate[];
  /**
   * Number of workers of a pool that may get a task that is suspected of
   * crashing its workers, see `isSuspect`.
   */
  trialSlotsIn(pool: string): number;
  /**
   * Number of tasks of late jobs after which the round starts no further step
   * of a late job. Each start takes time of the leader, which may be short.
   */
  readonly maxLateStarts: number;
  readonly nowMs: number;
  readonly durations: Durations;
  /**
   * Keys of the workers that may get the task with this name; undefined if any
   * may. Absent if there is no such limit for any task.
   */
  allowedWorkers?(task: string): readonly string[] | undefined;
  /** Advised workers, for the queues that require placement advice. */
  readonly advisedWorkers: AdvisedWorkers;
  readonly order: JobOrder;
  readonly placement: Placement;
  /** Shares of the teams by pool; no room counts as lent if it is absent. */
  readonly shares?: ReadonlyMap<string, PoolShares>;
}

export interface Plan {
  readonly starts: readonly StartRow[];
  /**
   * Names and pools of steps that are ready but lack placement advice, or have
   * tasks that fit on none of the workers that it allows so far.
   */
  readonly stepsAwaitingAdvice: readonly {step: string; pool: string}[];
  /** Pools in which a task that is ready fits on no worker. */
  readonly shortPools: ReadonlySet<string>;
  /** Jobs that come after others since their team is beyond its share. */
  readonly onLentRoom: ReadonlySet<Job>;
  /** The tasks that are ready and do not start. */
  readonly heldBack: HeldBack;
  /**
   * The candidates of a pool with the room that is left after the starts. Valid
   * as long as the input of the round is.
   */
  candidatesLeft(pool: string): readonly Candidate[];
  /** Resources in use by a team, with those of the starts. */
  usedByTeam(team: string): Size;
}

/** Why a job that is ready waits although jobs after it have started. */
export const WaitReason = z.enum([
  /** It waits on room lent to its team, in a pool that lacks room. */
  'lent-room',
]);
export type WaitReason = z.infer<typeof WaitReason>;

/** A step with tasks that could start. */
interface CandidateStep {
  readonly job: Job;
  readonly queue: Queue;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly step: Step;
  readonly ready: ReadyStep;
  readonly punctuality: Punctuality;
}

/** A ready step with the position of its job in the order. */
interface RankedStep extends CandidateStep {
  readonly rank: number;
}

/** Runs one scheduling round. */
export function plan(input: PlanInput): Plan {
  const steps = collectCandidateSteps(input);
  const overloaded = findOverloadedPools(steps);
  const onLentRoom = findLentRoom(input, steps, overloaded);
  const readySteps = rankSteps(input, steps, overloaded, onLentRoom);
  readySteps.sort((a, b) => a.rank - b.rank);
  return {...placeReadySteps(input, readySteps), onLentRoom};
}

function rankSteps(
  {order, nowMs, durations}: PlanInput,
  steps: readonly CandidateStep[],
  overloaded: ReadonlySet<string>,
  onLentRoom: ReadonlySet<Job>,
): RankedStep[] {
  let ranked: CandidateStep | undefined;
  let rank = 0;
  return steps.map(each => {
    const {job, queue, occurrence} = each;
    // The steps of an occurrence follow each other.
    if (job !== ranked?.job || occurrence !== ranked.occurrence) {
      const isOverloaded = overloaded.has(queue.pool);
      const occasion = {job, queue, occurrence, nowMs, durations};
      const isOnLentRoom = onLentRoom.has(job);
      rank = order.rank(occasion, isOverloaded, isOnLentRoom);
      ranked = each;
    }
    const {stepIndex, step, ready, punctuality} = each;
    return {job, queue, occurrence, stepIndex, step, ready, punctuality, rank};
  });
}

function collectCandidateSteps(input: PlanInput): CandidateStep[] {
  const {state, backlog, nowMs, durations} = input;
  const queues = queuesOf(state);
  const steps: CandidateStep[] = [];
  for (const job of backlog.waitingJobs) {
    const queue = queues.get(job.spec.queue);
    if (!queue) continue;
    let judgedOccurrence = -1;
    let punctuality: Punctuality = 'in-time';
    for (const ready of listReadySteps(job, nowMs)) {
      const {occurrence, stepIndex, step} = ready;
      if (occurrence !== judgedOccurrence) {
        const occasion = {job, queue, occurrence, nowMs, durations};
        punctuality = punctualityOf(occasion);
        judgedOccurrence = occurrence;
      }
      steps.push({job, queue, occurrence, stepIndex, step, ready, punctuality});
    }
  }
  return steps;
}

/**
 * Pools in which overdue jobs wait that have not started. A single one may fit
 * nowhere for another reason.
 */
function findOverloadedPools(
  steps: readonly CandidateStep[],
): ReadonlySet<string> {
  const overdueJobs = new Map<string, Job>();
  const overloaded = new Set<string>();
  for (const {job, queue, punctuality} of steps) {
    if (punctuality !== 'overdue' || job.started || !isInflow(job)) continue;
    const other = overdueJobs.get(queue.pool);
    if (other && other !== job) overloaded.add(queue.pool);
    overdueJobs.set(queue.pool, job);
  }
  return overloaded;
}

const NO_JOBS: ReadonlySet<Job> = new Set();

/** The jobs that wait on lent room in overloaded pools. */
function findLentRoom(
  {shares, nowMs, durations}: PlanInput,
  steps: readonly CandidateStep[],
  overloaded: ReadonlySet<string>,
): ReadonlySet<Job> {
  if (!shares || overloaded.size === 0) return NO_JOBS;
  const lent = new Set<Job>();
  for (const pool of overloaded) {
    const poolShares = shares.get(pool);
    if (!poolShares) continue;
    const waiting = new Map<Job, CandidateStep>();
    for (const step of steps) {
      if (step.queue.pool === pool && isInflow(step.job)) {
        waiting.set(step.job, step);
      }
    }
    const workMsOf = (job: Job) => {
      const {queue, occurrence} = waiting.get(job)!;
      return remainingWorkMs({job, queue, occurrence, nowMs, durations});
    };
    const jobs = [...waiting.keys()];
    for (const job of findJobsOnLentRoom(jobs, poolShares, workMsOf)) {
      lent.add(job);
    }
  }
  return lent;
}

/** Remaining capacity and the decisions so far in a round. */
interface RoundState {
  /** Candidates of the pools that a step has needed so far. */
  readonly byPool: Map<string, Candidate[]>;
  readonly teams: Map<string, {team: Team; used: Size}>;
  /** Pools with cold workers that are limited; filled with `byPool`. */
  readonly coldPools: Set<string>;
  /** Sizes of tasks that fit on no worker of a pool, by pool. */
  readonly unfit: Record<'limited' | 'anyWorker', Map<string, UnfitSizes>>;
  /** Trial slots that remain, by pool, see `PlanInput.trialSlotsIn`. */
  readonly trialSlots: Map<string, number>;
  /** Suspects that got no trial slot. */
  readonly deferredTrials: DeferredTrial[];
  readonly starts: StartRow[];
  /** Pools by step. */
  readonly stepsAwaitingAdvice: Map<string, string>;
  readonly shortPools: Set<string>;
  readonly heldBack: HoldRecord;
}

function createRoundState({state, load}: PlanInput): RoundState {
  const teams = new Map<string, {team: Team; used: Size}>();
  for (const team of state.tables.teams) {
    teams.set(team.name, {team, used: load.byTeam.get(team.name) ?? ZERO_SIZE});
  }
  return {
    byPool: new Map(),
    teams,
    coldPools: new Set(),
    unfit: {limited: new Map(), anyWorker: new Map()},
    trialSlots: new Map(),
    deferredTrials: [],
    starts: [],
    stepsAwaitingAdvice: new Map(),
    shortPools: new Set(),
    heldBack: createHoldRecord(),
  };
}

/** The candidates of a pool with the capacity that remains in the round. */
function poolCandidates(
  {load, candidatesIn}: PlanInput,
  {byPool, coldPools}: RoundState,
  pool: string,
): Candidate[] {
  let candidates = byPool.get(pool);
  if (!candidates) {
    candidates = candidatesIn(pool).map(candidate => {
      const used = load.byWorker.get(candidate.key) ?? ZERO_SIZE;
      return withFree(candidate, subtract(candidate.free, used));
    });
    byPool.set(pool, candidates);
    if (candidates.some(isCold)) coldPools.add(pool);
  }
  return candidates;
}

/** Groups candidates for `candidatesIn`. */
export function groupByPool(
  candidates: readonly Candidate[],
): (pool: string) => readonly Candidate[] {
  return pool => candidates.filter(({worker}) => worker.pool === pool);
}

function placeReadySteps(
  input: PlanInput,
  readySteps: readonly RankedStep[],
): Omit<Plan, 'onLentRoom'> {
  const round = createRoundState(input);
  let lateStarts = 0;
  for (const readyStep of readySteps) {
    const isLate = readyStep.punctuality === 'late';
    if (isLate && lateStarts >= input.maxLateStarts) {
      holdStep(round, readyStep, 'paced');
      continue;
    }
    const startsBefore = round.starts.length;
    if (readyStep.queue.advice && !isAdvised(input, round, readyStep)) {
      holdStep(round, readyStep, 'advice');
      continue;
    }
    if (isKnownToFitNowhere(round, readyStep)) {
      holdStep(round, readyStep, 'no-room');
      continue;
    }
    if (readyStep.step.gang) placeGang(input, round, readyStep);
    else placeTasks(input, round, readyStep);
    if (isLate) lateStarts += round.starts.length - startsBefore;
  }
  placeDeferredTrials(input, round);
  const {starts, shortPools, heldBack} = round;
  const stepsAwaitingAdvice = [...round.stepsAwaitingAdvice].map(
    ([step, pool]) => ({step, pool}),
  );
  return {
    starts,
    stepsAwaitingAdvice,
    shortPools,
    heldBack,
    candidatesLeft: pool => poolCandidates(input, round, pool),
    usedByTeam: team => round.teams.get(team)?.used ?? ZERO_SIZE,
  };
}

/** Notes that no task of the step starts in the round. */
function holdStep(
  {heldBack}: RoundState,
  step: RankedStep,
  reason: HoldReason,
): void {
  const {firstWaiting, waitingCount} = step.ready;
  heldBack.addTasksFrom(step, firstWaiting, waitingCount, reason);
}

/**
 * Whether the step can neither get a worker nor tell more about its pool. Most
 * steps of a backlog are of such a kind, so that this is tested before their
 * tasks are looked at.
 */
function isKnownToFitNowhere(
  round: RoundState,
  readyStep: RankedStep,
): boolean {
  const {queue, step} = readyStep;
  if (!round.shortPools.has(queue.pool)) return false;
  if (hasOwnLimits(queue, step)) return false;
  return unfitSizes(round, readyStep).covers(reservation(step), step.label);
}

/** Whether more than size and label decide on which workers the step fits. */
function hasOwnLimits(queue: Queue, step: Step): boolean {
  return step.maxPerWorker > 0 || queue.advice !== undefined;
}

function stepName({job, occurrence, stepIndex}: RankedStep): string {
  return taskName(job.spec.id, stepKey(occurrence, stepIndex));
}

function isAdvised(
  input: PlanInput,
  round: RoundState,
  readyStep: RankedStep,
): boolean {
  if (input.advisedWorkers.has(stepName(readyStep))) return true;
  awaitAdvice(round, readyStep);
  return false;
}

function awaitAdvice(round: RoundState, readyStep: RankedStep): void {
  const {pool} = readyStep.queue;
  round.stepsAwaitingAdvice.set(stepName(readyStep), pool);
}

function placeTasks(
  input: PlanInput,
  round: RoundState,
  readyStep: RankedStep,
): void {
  const {job, occurrence, stepIndex, step, queue} = readyStep;
  const placing = createPlacing(input, readyStep);
  const {heldBack} = round;
  let waitingCount = readyStep.ready.waitingCount;
  for (let index = 0; index < step.count; index++) {
    const key = taskKey({occurrence, step: stepIndex, index});
    const task = job.tasks[key] ?? NEW_TASK;
    if (!isWaiting(task)) continue;
    const remaining = waitingCount--;
    if (!isWithinCap(round, job, step.size)) {
      heldBack.addTasksFrom(readyStep, index, remaining, 'cap');
      return;
    }
    const name = taskName(job.spec.id, key);
    const allowed = input.allowedWorkers?.(name);
    if (allowed?.length === 0) {
      heldBack.addTask(readyStep, index, 'late-start');
      continue;
    }
    const waiting = {task, allowed};
    if (isSuspect(task) && trialSlots(input, round, queue.pool) < 1) {
      round.deferredTrials.push({placing, index, name, waiting});
      continue;
    }
    const chosen = chooseAndReserve(input, round, placing, waiting);
    if (!chosen) {
      // The other tasks of the step are of the same size, so none of them fits,
      // unless it may have got one of the workers that are not allowed, or a
      // limit of the step may keep a suspect from the workers that are idle.
      if (!allowed && !isSuspect(task) && task.failedOn.length === 0) {
        round.shortPools.add(queue.pool);
        const reason = unplacedReason(readyStep, waiting);
        heldBack.addTasksFrom(readyStep, index, remaining, reason);
        return;
      }
      heldBack.addTask(readyStep, index, unplacedReason(readyStep, waiting));
      continue;
    }
    round.starts.push([name, task.lastRun + 1, chosen.key]);
  }
}

/** Why a task that may start now got none of the candidates. */
function unplacedReason(
  {queue}: RankedStep,
  {allowed}: WaitingTask,
): HoldReason {
  if (allowed) return 'pinned';
  return queue.advice ? 'advice' : 'no-room';
}

/**
 * Places suspects on workers that the round leaves idle. The trial slots only
 * limit the workers that trials take from other tasks.
 */
function placeDeferredTrials(input: PlanInput, round: RoundState): void {
  for (const {placing, index, name, waiting} of round.deferredTrials) {
    const {readyStep} = placing;
    const {job, step, queue} = readyStep;
    if (!isWithinCap(round, job, step.size)) {
      round.heldBack.addTask(readyStep, index, 'cap');
      continue;
    }
    const idle = idleCandidates(poolCandidates(input, round, queue.pool));
    const chosen =
      idle.length > 0 ? choose(input, placing, waiting, idle) : undefined;
    if (!chosen) {
      round.heldBack.addTask(readyStep, index, 'trial');
      if (idle.length > 0 && queue.advice) awaitAdvice(round, readyStep);
      continue;
    }
    reserve(input, round, placing, chosen);
    withdraw(input, round, queue.pool, chosen);
    round.starts.push([name, waiting.task.lastRun + 1, chosen.key]);
  }
}

/**
 * Places all members of a gang or none, because started members wait for the
 * others only for a short time.
 */
function placeGang(
  input: PlanInput,
  round: RoundState,
  readyStep: RankedStep,
): void {
  const {job, occurrence, stepIndex, step} = readyStep;
  const keys = Array.from({length: step.count}, (_, index) =>
    taskKey({occurrence, step: stepIndex, index}),
  );
  const tasks = keys.map(key => job.tasks[key] ?? NEW_TASK);
  if (!tasks.every(isWaiting)) {
    holdStep(round, readyStep, 'gang');
    return;
  }
  const names = keys.map(key => taskName(job.spec.id, key));
  const allowed = names.map(name => input.allowedWorkers?.(name));
  if (allowed.some(workers => workers?.length === 0)) {
    holdStep(round, readyStep, 'late-start');
    return;
  }
  const isAnyAllowed = allowed.every(workers => workers === undefined);
  const placing = createPlacing(input, readyStep);
  const {pool} = readyStep.queue;
  const saved = {
    pool: [...poolCandidates(input, round, pool)],
    team: round.teams.get(job.spec.team ?? ''),
  };
  const run = Math.max(...tasks.map(({lastRun}) => lastRun)) + 1;
  const rows: StartRow[] = [];
  let gangRack: string | undefined;
  for (const [index, task] of tasks.entries()) {
    const waiting = {task, allowed: allowed[index]};
    const isInCap = isWithinCap(round, job, step.size);
    const chosen = isInCap
      ? chooseAndReserve(input, round, placing, waiting, gangRack)
      : undefined;
    if (!chosen) {
      const reason = isInCap ? unplacedReason(readyStep, waiting) : 'cap';
      holdStep(round, readyStep, reason);
      round.byPool.set(pool, saved.pool);
      if (saved.team) round.teams.set(saved.team.team.name, saved.team);
      if (isAnyAllowed) round.shortPools.add(pool);
      return;
    }
    if (step.sameRack) gangRack ??= rackOf(chosen.worker);
    rows.push([names[index]!, run, chosen.key]);
  }
  round.starts.push(...rows);
}

/** A step whose tasks are being placed. */
interface Placing {
  readonly readyStep: RankedStep;
  /** Resources that each task reserves. */
  readonly size: Size;
  readonly durationMs: number;
  /**
   * Number of runs of the step by worker key, including those placed in this
   * round; undefined if the step has no limit for each worker.
   */
  readonly runCounts: Map<string, number> | undefined;
  /** See `hasOwnLimits`. */
  readonly hasOwnLimits: boolean;
  hasPlacedTasks: boolean;
}

function createPlacing(input: PlanInput, readyStep: RankedStep): Placing {
  const {job, occurrence, stepIndex, step, queue} = readyStep;
  const size = reservation(step);
  const isLimited = step.maxPerWorker > 0;
  return {
    readyStep,
    size,
    durationMs: expectedTaskDurationMs(input, readyStep),
    runCounts: isLimited
      ? countStepRuns(job, occurrence, stepIndex)
      : undefined,
    hasOwnLimits: hasOwnLimits(queue, step),
    hasPlacedTasks: false,
  };
}

/** A suspect that waits for a trial. */
interface DeferredTrial {
  readonly placing: Placing;
  readonly index: number;
  /** See `taskName`. */
  readonly name: string;
  readonly waiting: WaitingTask;
}

/** A task to place. */
interface WaitingTask {
  readonly task: Task;
  /** See `PlanInput.allowedWorkers`. */
  readonly allowed: readonly string[] | undefined;
}

/** Number of runs of the step of one occurrence, by worker key. */
export function countStepRuns(
  job: Job,
  occurrence: number,
  stepIndex: number,
): Map<string, number> {
  const counts = new Map<string, number>();
  const {count} = job.spec.steps[stepIndex]!;
  for (let index = 0; index < count; index++) {
    const task = job.tasks[taskKey({occurrence, step: stepIndex, index})];
    for (const {worker} of task?.runs ?? []) {
      counts.set(worker, (counts.get(worker) ?? 0) + 1);
    }
  }
  return counts;
}

/**
 * Chooses a worker for a task and deducts the task from the capacity that
 * remains in the round.
 */
function chooseAndReserve(
  input: PlanInput,
  round: RoundState,
  placing: Placing,
  waiting: WaitingTask,
  gangRack?: string,
): Candidate | undefined {
  const {size} = placing;
  const {task, allowed} = waiting;
  const {label} = placing.readyStep.step;
  // Capacity only decreases during a round, except for the members of a gang
  // that is given up. A failure after such members were placed is no evidence.
  const {pool} = placing.readyStep.queue;
  const candidates = poolCandidates(input, round, pool);
  const unfit = unfitSizes(round, placing.readyStep);
  if (!placing.hasOwnLimits && unfit.covers(size, label)) return undefined;
  const chosen = choose(input, placing, waiting, candidates, gangRack);
  if (!chosen && placing.readyStep.queue.advice) {
    awaitAdvice(round, placing.readyStep);
  }
  if (chosen && isOnTrial(placing, task)) {
    round.trialSlots.set(pool, trialSlots(input, round, pool) - 1);
    reserve(input, round, placing, chosen);
    withdraw(input, round, pool, chosen);
  } else if (chosen) {
    reserve(input, round, placing, chosen);
    placing.hasPlacedTasks = true;
  } else if (!allowed && !placing.hasOwnLimits && !isInPlacedGang(placing)) {
    unfit.add(size, label);
  }
  return chosen;
}

/**
 * The sizes that have been found to fit nowhere in the pool. A step that the
 * limit for cold workers keeps from some tells nothing about those that it does
 * not limit.
 */
function unfitSizes(
  {unfit, coldPools}: RoundState,
  {queue, step}: RankedStep,
): UnfitSizes {
  const isLimited = coldPools.has(queue.pool) && !staysOnRack(step);
  const byPool = isLimited ? unfit.limited : unfit.anyWorker;
  let sizes = byPool.get(queue.pool);
  if (!sizes) byPool.set(queue.pool, (sizes = createUnfitSizes()));
  return sizes;
}

/**
 * Whether the task gets no other new run beside it. The members of a gang start
 * together or not at all, so they are not kept apart.
 */
function isOnTrial({readyStep}: Placing, task: Task): boolean {
  return isSuspect(task) && !readyStep.step.gang;
}

function trialSlots(input: PlanInput, round: RoundState, pool: string): number {
  const known = round.trialSlots.get(pool);
  if (known !== undefined) return known;
  const slots = input.trialSlotsIn(pool);
  round.trialSlots.set(pool, slots);
  return slots;
}

/** Leaves no capacity on the worker for the rest of the round. */
function withdraw(
  input: PlanInput,
  round: RoundState,
  pool: string,
  {key}: Candidate,
): void {
  const candidates = poolCandidates(input, round, pool);
  const at = candidates.findIndex(candidate => candidate.key === key);
  candidates[at] = withFree(candidates[at]!, ZERO_SIZE);
}

function isInPlacedGang({readyStep, hasPlacedTasks}: Placing): boolean {
  return readyStep.step.gang && hasPlacedTasks;
}

function choose(
  input: PlanInput,
  {readyStep, size, durationMs, runCounts}: Placing,
  {task, allowed}: WaitingTask,
  from: readonly Candidate[],
  gangRack?: string,
): Candidate | undefined {
  const {queue, step} = readyStep;
  const advised = queue.advice && input.advisedWorkers.get(stepName(readyStep));
  let candidates = from;
  if (advised) candidates = candidates.filter(({key}) => advised.has(key));
  if (allowed) {
    candidates = candidates.filter(({key}) => allowed.includes(key));
  }
  if (runCounts) {
    candidates = candidates.filter(
      ({key}) => (runCounts.get(key) ?? 0) < step.maxPerWorker,
    );
  }
  const {failedOn} = task;
  const options = {step, size, durationMs, candidates, failedOn, gangRack};
  return isSuspect(task)
    ? chooseForTrial(input.placement, options)
    : input.placement.choose(options);
}

function expectedTaskDurationMs(
  {durations}: PlanInput,
  {queue, step}: RankedStep,
): number {
  return step.lasting
    ? Infinity
    : expectedDurationMs(durations, queue.name, step);
}

function reserve(
  input: PlanInput,
  round: RoundState,
  {readyStep, size, durationMs, runCounts}: Placing,
  chosen: Candidate,
): void {
  const {queue, job, step} = readyStep;
  const candidates = poolCandidates(input, round, queue.pool);
  candidates[candidates.indexOf(chosen)] = withRun(chosen, {size, durationMs});
  runCounts?.set(chosen.key, (runCounts.get(chosen.key) ?? 0) + 1);
  const teamUsage = round.teams.get(job.spec.team ?? '');
  if (teamUsage) {
    const used = add(teamUsage.used, step.size);
    round.teams.set(teamUsage.team.name, {team: teamUsage.team, used});
  }
}

function isWithinCap(round: RoundState, job: Job, size: Size): boolean {
  const teamUsage = round.teams.get(job.spec.team ?? '');
  if (!teamUsage) return true;
  return isWithinLimit(teamUsage.team, add(teamUsage.used, size));
}

/** Whether a team may use so much across all pools. */
export function isWithinLimit({cap}: Team, used: Size): boolean {
  const limit: Size = {
    cpuMillis: cap.cpuMillis || Infinity,
    memoryMb: cap.memoryMb || Infinity,
    gpus: cap.gpus || Infinity,
  };
  return fits(used, limit);
}
