/**
 * A decision round as a pipe: `collect → order → place`. It decides which
 * tasks start where, on the state with everything applied that is known.
 */
import {
  add,
  dueAtMs,
  fits,
  isStepReady,
  NEW_TASK,
  ZERO_SIZE,
  rackOf,
  stepKey,
  subtract,
  taskKey,
  taskName,
  occurrenceCount,
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

/** Workers that the policy of a queue allows for a step, with tickets. */
export type AdvisedWorkers = ReadonlyMap<string, ReadonlySet<string>>;

export interface PlanInput {
  readonly state: State;
  readonly load: Load;
  /** Workers that may get new runs; `free` is their whole capacity. */
  readonly workers: readonly Candidate[];
  readonly nowMs: number;
  readonly durations: Durations;
  /** Allowed worker keys by step name, for queues that demand advice. */
  readonly advisedWorkers: AdvisedWorkers;
  readonly order: JobOrder;
  readonly placement: Placement;
}

export interface Plan {
  readonly starts: readonly StartRow[];
  /** Steps that could start but for advice, by step name. */
  readonly stepsAwaitingAdvice: readonly {step: string; pool: string}[];
  /** Pools in which a task that is due found no room. */
  readonly shortPools: ReadonlySet<string>;
}

/** A step whose turn has come. */
interface Turn {
  readonly job: Job;
  readonly queue: Queue;
  readonly occurrence: number;
  readonly at: number;
  readonly step: Step;
  readonly rank: number;
}

export function plan(input: PlanInput): Plan {
  const turns = collect(input);
  turns.sort((a, b) => a.rank - b.rank);
  return place(input, turns);
}

function collect(input: PlanInput): Turn[] {
  const {state, order, nowMs, durations} = input;
  const queues = new Map(state.tables.queues.map(row => [row.name, row]));
  const turns: Turn[] = [];
  for (const job of state.jobs.values()) {
    const queue = queues.get(job.spec.queue);
    if (job.phase !== 'active' || !queue) continue;
    for (
      let occurrence = 0;
      occurrence < occurrenceCount(job.spec);
      occurrence++
    ) {
      if (dueAtMs(job, occurrence) > nowMs) break;
      let rank: number | undefined;
      job.spec.steps.forEach((step, at) => {
        if (!hasWaiting(job, occurrence, at, step)) return;
        if (!isStepReady(job, occurrence, at)) return;
        rank ??= order.rank({job, queue, occurrence, nowMs, durations});
        turns.push({job, queue, occurrence, at, step, rank});
      });
    }
  }
  return turns;
}

function hasWaiting(job: Job, occurrence: number, at: number, step: Step) {
  if ((job.done[stepKey(occurrence, at)] ?? 0) >= step.count) return false;
  for (let index = 0; index < step.count; index++) {
    const task = job.tasks[taskKey({occurrence, step: at, index})];
    if (isWaiting(task)) return true;
  }
  return false;
}

function isWaiting(task: Task | undefined): boolean {
  return !task || (!task.done && task.runs.length === 0);
}

/** What is left while the round hands out capacity. */
interface Ledger {
  readonly byPool: Map<string, Candidate[]>;
  readonly teams: Map<string, {team: Team; used: Size}>;
  readonly spread: Map<string, number>;
  readonly starts: StartRow[];
  readonly unadvised: {step: string; pool: string}[];
  readonly short: Set<string>;
}

function openLedger({state, load, workers}: PlanInput): Ledger {
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
    spread: new Map(load.stepRunCounts),
    starts: [],
    unadvised: [],
    short: new Set(),
  };
}

function place(input: PlanInput, turns: readonly Turn[]): Plan {
  const ledger = openLedger(input);
  for (const turn of turns) {
    if (turn.queue.advice && !isAdvised(input, ledger, turn)) continue;
    if (turn.step.gang) placeGang(input, ledger, turn);
    else placeTasks(input, ledger, turn);
  }
  const {starts, unadvised, short} = ledger;
  return {starts, stepsAwaitingAdvice: unadvised, shortPools: short};
}

function stepName({job, occurrence, at}: Turn): string {
  return taskName(job.spec.id, stepKey(occurrence, at));
}

function isAdvised(input: PlanInput, ledger: Ledger, turn: Turn): boolean {
  const step = stepName(turn);
  if (input.advisedWorkers.has(step)) return true;
  ledger.unadvised.push({step, pool: turn.queue.pool});
  return false;
}

function placeTasks(input: PlanInput, ledger: Ledger, turn: Turn): void {
  const {job, occurrence, at, step, queue} = turn;
  const size = reservation(step);
  for (let index = 0; index < step.count; index++) {
    const key = taskKey({occurrence, step: at, index});
    const task = job.tasks[key] ?? NEW_TASK;
    if (!isWaiting(task)) continue;
    if (!isWithinCap(ledger, job, step.size)) return;
    const chosen = choose(input, ledger, turn, task);
    if (!chosen) {
      // The next tasks of the step are as large as this one.
      if (task.failedOn.length === 0) {
        ledger.short.add(queue.pool);
        return;
      }
      continue;
    }
    reserve(ledger, turn, chosen, size, durationOf(input, turn));
    const name = taskName(job.spec.id, key);
    ledger.starts.push([name, task.lastRun + 1, chosen.key]);
  }
}

/** All members or none: members wait for each other only for a short time. */
function placeGang(input: PlanInput, ledger: Ledger, turn: Turn): void {
  const {job, occurrence, at, step} = turn;
  const keys = Array.from({length: step.count}, (_, index) =>
    taskKey({occurrence, step: at, index}),
  );
  const tasks = keys.map(key => job.tasks[key] ?? NEW_TASK);
  if (!tasks.every(isWaiting)) return;
  const before = {
    pool: [...(ledger.byPool.get(turn.queue.pool) ?? [])],
    team: ledger.teams.get(job.spec.team ?? ''),
    spread: new Map(ledger.spread),
  };
  const run = Math.max(...tasks.map(({lastRun}) => lastRun)) + 1;
  const rows: StartRow[] = [];
  let gangRack: string | undefined;
  for (const [index, task] of tasks.entries()) {
    const chosen = isWithinCap(ledger, job, step.size)
      ? choose(input, ledger, turn, task, gangRack)
      : undefined;
    if (!chosen) {
      ledger.byPool.set(turn.queue.pool, before.pool);
      if (before.team) ledger.teams.set(before.team.team.name, before.team);
      ledger.spread.clear();
      before.spread.forEach((count, key) => ledger.spread.set(key, count));
      ledger.short.add(turn.queue.pool);
      return;
    }
    if (step.sameRack) gangRack ??= rackOf(chosen.worker);
    const size = reservation(step);
    reserve(ledger, turn, chosen, size, durationOf(input, turn));
    rows.push([taskName(job.spec.id, keys[index]!), run, chosen.key]);
  }
  ledger.starts.push(...rows);
}

function choose(
  input: PlanInput,
  ledger: Ledger,
  turn: Turn,
  task: Task,
  gangRack?: string,
): Candidate | undefined {
  const {queue, step} = turn;
  const allowed = queue.advice && input.advisedWorkers.get(stepName(turn));
  let candidates = ledger.byPool.get(queue.pool) ?? [];
  if (allowed) candidates = candidates.filter(({key}) => allowed.has(key));
  if (step.maxPerWorker > 0) {
    candidates = candidates.filter(
      ({key}) =>
        (ledger.spread.get(spreadAt(turn, key)) ?? 0) < step.maxPerWorker,
    );
  }
  const {failedOn} = task;
  return input.placement.choose({
    step,
    size: reservation(step),
    durationMs: durationOf(input, turn),
    candidates,
    failedOn,
    gangRack,
  });
}

function durationOf({durations}: PlanInput, {queue, step}: Turn): number {
  return step.lasting
    ? Infinity
    : expectedDurationMs(durations, queue.name, step);
}

function spreadAt({job, occurrence, at}: Turn, worker: string): string {
  return stepRunCountKey(job.spec.id, stepKey(occurrence, at), worker);
}

function reserve(
  ledger: Ledger,
  turn: Turn,
  {key}: Candidate,
  size: Size,
  durationMs: number,
): void {
  const {queue, job, step} = turn;
  const list = ledger.byPool.get(queue.pool)!;
  const next = list.map(each =>
    each.key === key
      ? {
          ...each,
          free: subtract(each.free, size),
          emptyInMs: Math.max(each.emptyInMs, durationMs),
        }
      : each,
  );
  ledger.byPool.set(queue.pool, next);
  const at = spreadAt(turn, key);
  ledger.spread.set(at, (ledger.spread.get(at) ?? 0) + 1);
  const row = ledger.teams.get(job.spec.team ?? '');
  if (row) {
    const used = add(row.used, step.size);
    ledger.teams.set(row.team.name, {team: row.team, used});
  }
}

function isWithinCap(ledger: Ledger, job: Job, size: Size): boolean {
  const row = ledger.teams.get(job.spec.team ?? '');
  if (!row) return true;
  const {cap} = row.team;
  const limit: Size = {
    cpuMillis: cap.cpuMillis || Infinity,
    memoryMb: cap.memoryMb || Infinity,
    gpus: cap.gpus || Infinity,
  };
  return fits(add(row.used, size), limit);
}
