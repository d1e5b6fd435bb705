/**
 * A scheduling round as a pipeline: collect the steps that are ready, order
 * them, place their tasks. A round decides which tasks start on which workers,
 * based on a state with all known events applied.
 */
import {
  add,
  fits,
  isDue,
  isStepReady,
  NEW_TASK,
  occurrenceCount,
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
import {expectedDurationMs, type Durations} from './estimate.js';
import {reservation, stepRunCountKey, type Load} from './load.js';
import type {JobOrder} from './order.js';
import type {Candidate, Placement} from './placement.js';

/**
 * Keys of the workers for which the placement advice gave a ticket, by step
 * name.
 */
export type AdvisedWorkers = ReadonlyMap<string, ReadonlySet<string>>;

export interface PlanInput {
  readonly state: State;
  readonly load: Load;
  /** Workers that may get new runs; here `free` is their whole capacity. */
  readonly workers: readonly Candidate[];
  readonly nowMs: number;
  readonly durations: Durations;
  /** Advised workers, for the queues that require placement advice. */
  readonly advisedWorkers: AdvisedWorkers;
  readonly order: JobOrder;
  readonly placement: Placement;
}

export interface Plan {
  readonly starts: readonly StartRow[];
  /** Names and pools of steps that are ready but lack placement advice. */
  readonly stepsAwaitingAdvice: readonly {step: string; pool: string}[];
  /** Pools in which a task that is ready fits on no worker. */
  readonly shortPools: ReadonlySet<string>;
}

/**
 * A step that is due, whose dependencies are done and that has waiting tasks.
 */
interface ReadyStep {
  readonly job: Job;
  readonly queue: Queue;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly step: Step;
  readonly rank: number;
}

/** Runs one scheduling round. */
export function plan(input: PlanInput): Plan {
  const readySteps = collectReadySteps(input);
  readySteps.sort((a, b) => a.rank - b.rank);
  return placeReadySteps(input, readySteps);
}

function collectReadySteps(input: PlanInput): ReadyStep[] {
  const {state, order, nowMs, durations} = input;
  const queues = new Map(state.tables.queues.map(row => [row.name, row]));
  const readySteps: ReadyStep[] = [];
  for (const job of state.jobs.values()) {
    const queue = queues.get(job.spec.queue);
    if (job.phase !== 'active' || !queue) continue;
    for (
      let occurrence = 0;
      occurrence < occurrenceCount(job.spec);
      occurrence++
    ) {
      if (!isDue(job, occurrence, nowMs)) break;
      let rank: number | undefined;
      job.spec.steps.forEach((step, stepIndex) => {
        if (!hasWaitingTask(job, occurrence, stepIndex, step)) return;
        if (!isStepReady(job, occurrence, stepIndex)) return;
        rank ??= order.rank({job, queue, occurrence, nowMs, durations});
        readySteps.push({job, queue, occurrence, stepIndex, step, rank});
      });
    }
  }
  return readySteps;
}

function hasWaitingTask(
  job: Job,
  occurrence: number,
  stepNo: number,
  step: Step,
) {
  if ((job.done[stepKey(occurrence, stepNo)] ?? 0) >= step.count) return false;
  for (let index = 0; index < step.count; index++) {
    const task = job.tasks[taskKey({occurrence, step: stepNo, index})];
    if (isWaiting(task)) return true;
  }
  return false;
}

function isWaiting(task: Task | undefined): boolean {
  return !task || (!task.done && task.runs.length === 0);
}

/** Remaining capacity and the decisions so far in a round. */
interface RoundState {
  readonly byPool: Map<string, Candidate[]>;
  readonly teams: Map<string, {team: Team; used: Size}>;
  readonly stepRunCounts: Map<string, number>;
  readonly starts: StartRow[];
  readonly stepsAwaitingAdvice: {step: string; pool: string}[];
  readonly shortPools: Set<string>;
}

function createRoundState({state, load, workers}: PlanInput): RoundState {
  const byPool = new Map<string, Candidate[]>();
  for (const candidate of workers) {
    const used = load.byWorker.get(candidate.key) ?? ZERO_SIZE;
    const free = subtract(candidate.free, used);
    const {pool} = candidate.worker;
    const list = byPool.get(pool);
    if (list) list.push({...candidate, free});
    else byPool.set(pool, [{...candidate, free}]);
  }
  const teams = new Map<string, {team: Team; used: Size}>();
  for (const team of state.tables.teams) {
    teams.set(team.name, {team, used: load.byTeam.get(team.name) ?? ZERO_SIZE});
  }
  return {
    byPool,
    teams,
    stepRunCounts: new Map(load.stepRunCounts),
    starts: [],
    stepsAwaitingAdvice: [],
    shortPools: new Set(),
  };
}

function placeReadySteps(
  input: PlanInput,
  readySteps: readonly ReadyStep[],
): Plan {
  const round = createRoundState(input);
  for (const readyStep of readySteps) {
    if (readyStep.queue.advice && !isAdvised(input, round, readyStep)) continue;
    if (readyStep.step.gang) placeGang(input, round, readyStep);
    else placeTasks(input, round, readyStep);
  }
  const {starts, stepsAwaitingAdvice, shortPools} = round;
  return {starts, stepsAwaitingAdvice, shortPools};
}

function stepName({job, occurrence, stepIndex}: ReadyStep): string {
  return taskName(job.spec.id, stepKey(occurrence, stepIndex));
}

function isAdvised(
  input: PlanInput,
  round: RoundState,
  readyStep: ReadyStep,
): boolean {
  const step = stepName(readyStep);
  if (input.advisedWorkers.has(step)) return true;
  round.stepsAwaitingAdvice.push({step, pool: readyStep.queue.pool});
  return false;
}

function placeTasks(
  input: PlanInput,
  round: RoundState,
  readyStep: ReadyStep,
): void {
  const {job, occurrence, stepIndex, step, queue} = readyStep;
  const size = reservation(step);
  for (let index = 0; index < step.count; index++) {
    const key = taskKey({occurrence, step: stepIndex, index});
    const task = job.tasks[key] ?? NEW_TASK;
    if (!isWaiting(task)) continue;
    if (!isWithinCap(round, job, step.size)) return;
    const chosen = choose(input, round, readyStep, task);
    if (!chosen) {
      // The other tasks of the step are of the same size, so none of them fits.
      if (task.failedOn.length === 0) {
        round.shortPools.add(queue.pool);
        return;
      }
      continue;
    }
    reserve(
      round,
      readyStep,
      chosen,
      size,
      expectedTaskDurationMs(input, readyStep),
    );
    const name = taskName(job.spec.id, key);
    round.starts.push([name, task.lastRun + 1, chosen.key]);
  }
}

/**
 * Places all members of a gang or none, because started members wait for the
 * others only for a short time.
 */
function placeGang(
  input: PlanInput,
  round: RoundState,
  readyStep: ReadyStep,
): void {
  const {job, occurrence, stepIndex, step} = readyStep;
  const keys = Array.from({length: step.count}, (_, index) =>
    taskKey({occurrence, step: stepIndex, index}),
  );
  const tasks = keys.map(key => job.tasks[key] ?? NEW_TASK);
  if (!tasks.every(isWaiting)) return;
  const saved = {
    pool: [...(round.byPool.get(readyStep.queue.pool) ?? [])],
    team: round.teams.get(job.spec.team ?? ''),
    stepRunCounts: new Map(round.stepRunCounts),
  };
  const run = Math.max(...tasks.map(({lastRun}) => lastRun)) + 1;
  const rows: StartRow[] = [];
  let gangRack: string | undefined;
  for (const [index, task] of tasks.entries()) {
    const chosen = isWithinCap(round, job, step.size)
      ? choose(input, round, readyStep, task, gangRack)
      : undefined;
    if (!chosen) {
      round.byPool.set(readyStep.queue.pool, saved.pool);
      if (saved.team) round.teams.set(saved.team.team.name, saved.team);
      round.stepRunCounts.clear();
      saved.stepRunCounts.forEach((count, key) =>
        round.stepRunCounts.set(key, count),
      );
      round.shortPools.add(readyStep.queue.pool);
      return;
    }
    if (step.sameRack) gangRack ??= rackOf(chosen.worker);
    const size = reservation(step);
    reserve(
      round,
      readyStep,
      chosen,
      size,
      expectedTaskDurationMs(input, readyStep),
    );
    rows.push([taskName(job.spec.id, keys[index]!), run, chosen.key]);
  }
  round.starts.push(...rows);
}

function choose(
  input: PlanInput,
  round: RoundState,
  readyStep: ReadyStep,
  task: Task,
  gangRack?: string,
): Candidate | undefined {
  const {queue, step} = readyStep;
  const allowed = queue.advice && input.advisedWorkers.get(stepName(readyStep));
  let candidates = round.byPool.get(queue.pool) ?? [];
  if (allowed) candidates = candidates.filter(({key}) => allowed.has(key));
  if (step.maxPerWorker > 0) {
    candidates = candidates.filter(
      ({key}) =>
        (round.stepRunCounts.get(runCountKey(readyStep, key)) ?? 0) <
        step.maxPerWorker,
    );
  }
  const {failedOn} = task;
  return input.placement.choose({
    step,
    size: reservation(step),
    durationMs: expectedTaskDurationMs(input, readyStep),
    candidates,
    failedOn,
    gangRack,
  });
}

function expectedTaskDurationMs(
  {durations}: PlanInput,
  {queue, step}: ReadyStep,
): number {
  return step.lasting
    ? Infinity
    : expectedDurationMs(durations, queue.name, step);
}

function runCountKey(
  {job, occurrence, stepIndex}: ReadyStep,
  worker: string,
): string {
  return stepRunCountKey(job.spec.id, stepKey(occurrence, stepIndex), worker);
}

/** Deducts a placed task from the capacity that remains in the round. */
function reserve(
  round: RoundState,
  readyStep: ReadyStep,
  {key}: Candidate,
  size: Size,
  durationMs: number,
): void {
  const {queue, job, step} = readyStep;
  const list = round.byPool.get(queue.pool)!;
  const next = list.map(each =>
    each.key === key
      ? {
          ...each,
          free: subtract(each.free, size),
          emptyInMs: Math.max(each.emptyInMs, durationMs),
        }
      : each,
  );
  round.byPool.set(queue.pool, next);
  const countKey = runCountKey(readyStep, key);
  round.stepRunCounts.set(
    countKey,
    (round.stepRunCounts.get(countKey) ?? 0) + 1,
  );
  const teamUsage = round.teams.get(job.spec.team ?? '');
  if (teamUsage) {
    const used = add(teamUsage.used, step.size);
    round.teams.set(teamUsage.team.name, {team: teamUsage.team, used});
  }
}

function isWithinCap(round: RoundState, job: Job, size: Size): boolean {
  const teamUsage = round.teams.get(job.spec.team ?? '');
  if (!teamUsage) return true;
  const {cap} = teamUsage.team;
  const limit: Size = {
    cpuMillis: cap.cpuMillis || Infinity,
    memoryMb: cap.memoryMb || Infinity,
    gpus: cap.gpus || Infinity,
  };
  return fits(add(teamUsage.used, size), limit);
}
