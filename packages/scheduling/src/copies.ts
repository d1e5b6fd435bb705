/**
 * Policies that start a second run of a task whose first run lasts long. They
 * apply to steps that allow copies only; the first run to end counts.
 */
import {
  add,
  isSuspect,
  parseTaskKey,
  queuesOf,
  rackOf,
  stepKey,
  subtract,
  taskName,
  ZERO_SIZE,
  type Job,
  type Queue,
  type Size,
  type StartRow,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {withFree, type Candidate} from './candidate.js';
import {expectedRatio, type DurationRatios} from './duration-ratio.js';
import {reservation, type LiveRun, type Load} from './load.js';
import type {Placement} from './placement.js';
import {
  countStepRuns,
  isWithinLimit,
  type AdvisedWorkers,
  type Plan,
} from './plan.js';
import {expectRun, isSlow, type SlownessLikelihoods} from './worker-speed.js';

export interface CopyInput {
  readonly state: State;
  readonly load: Pick<Load, 'speculative' | 'byQueue'>;
  /** What the round starts, and the room that it leaves. */
  readonly plan: Pick<
    Plan,
    'candidatesLeft' | 'usedByTeam' | 'shortPools' | 'stepsAwaitingAdvice'
  >;
  readonly advisedWorkers: AdvisedWorkers;
  readonly placement: Placement;
  /** What is known of a run; undefined if nothing shows that it runs. */
  assess(live: LiveRun): RunAssessment | undefined;
  /** Whether the leader has started a copy of the task before. */
  wasCopied(task: string): boolean;
  isStopping(run: string): boolean;
  /**
   * Likelihood, from 0 to 1, that the duration of a second run of a task in the
   * queue does not follow that of the first.
   */
  independence(queue: string): number;
}

/** What is known of a run in progress. */
export interface RunAssessment {
  /** Time, in milliseconds, for which it has certainly been running. */
  readonly elapsedMs: number;
  /** Duration that was expected of it. */
  readonly expectedMs: number;
  /** Distribution of durations as ratios to what was expected. */
  readonly ratios: DurationRatios;
  /** How slow its worker is likely to be. */
  readonly slowness: SlownessLikelihoods;
}

/** A copy to start, with the inputs of the decision. */
export interface Copy {
  readonly row: StartRow;
  readonly copied: LiveRun;
  /**
   * `slow-worker`: the worker of the first run is slow. `long-run`: its duration
   * is assumed to be that of the run, not that of the task.
   */
  readonly reason: 'slow-worker' | 'long-run';
  readonly elapsedMs: number;
  readonly expectedMs: number;
  /** Expected time until the first run ends. */
  readonly remainingMs: number;
  /** Expected time until the copy ends. */
  readonly copyMs: number;
}

export abstract class CopyPolicy {
  /**
   * Chooses copies to start in the room that the plan leaves. The result is
   * valid only together with the starts of the plan.
   */
  abstract choose(input: CopyInput): readonly Copy[];
}

/** Baseline: a task runs once at a time. */
export class NoCopies extends CopyPolicy {
  override choose(): readonly Copy[] {
    return [];
  }
}

/**
 * Share of the reserved cores of a pool that copies may take. A copy that ends
 * second is work thrown away, so this bounds what copies can cost; callers lose
 * nothing else by it, because copies only get room that nothing waits for.
 */
const MAX_COPY_SHARE = 0.1;
/**
 * Time until an order to start a run is recorded and carried out. A copy that
 * saves less is not worth its work.
 */
const START_MS = 200;

/**
 * Copies runs that are expected to go on for longer than a second run takes: on
 * slow workers, and in queues where second runs have ended sooner.
 */
export class LateCopies extends CopyPolicy {
  override choose(input: CopyInput): readonly Copy[] {
    const late = [...input.load.speculative.values()]
      .map(live => assess(input, live))
      .filter(each => each !== undefined)
      .sort((a, b) => savingMs(b) - savingMs(a));
    if (late.length === 0) return [];
    const round = createRound(input);
    return late
      .map(each => place(input, round, each))
      .filter(each => each !== undefined);
  }
}

/** A run that a copy is expected to overtake. */
type LateRun = Omit<Copy, 'row'> & {readonly queue: Queue};

function savingMs({remainingMs, copyMs}: LateRun): number {
  return remainingMs - copyMs;
}

/** Returns undefined if the run gets no copy. */
function assess(input: CopyInput, live: LiveRun): LateRun | undefined {
  const queue = queuesOf(input.state).get(live.job.spec.queue);
  if (!queue || !mayBeCopied(input, live, queue)) return undefined;
  const known = input.assess(live);
  if (!known) return undefined;
  const {elapsedMs, expectedMs, ratios, slowness} = known;
  if (elapsedMs <= expectedMs) return undefined;
  const expected = expectRun(slowness, ratios, elapsedMs / expectedMs);
  const remainingMs = expectedMs * expected.wholeRatio - elapsedMs;
  const independence = input.independence(queue.name);
  const copyRatio =
    independence * expectedRatio(ratios, 0) +
    (1 - independence) * expected.usualRatio;
  const copyMs = START_MS + expectedMs * copyRatio;
  if (remainingMs <= copyMs + START_MS) return undefined;
  const reason = isSlow(slowness) ? 'slow-worker' : 'long-run';
  return {
    copied: live,
    queue,
    reason,
    elapsedMs,
    expectedMs,
    remainingMs,
    copyMs,
  };
}

function mayBeCopied(
  {wasCopied, isStopping}: CopyInput,
  {job, key, step, task, id}: LiveRun,
  {maxAttempts}: Queue,
): boolean {
  if (step.gang || step.lasting || step.filler) return false;
  if (task.done || task.runs.length !== 1 || isSuspect(task)) return false;
  // Each run may fail, and the attempts of a task are limited.
  if (task.failures + task.runs.length + 1 > maxAttempts) return false;
  return !isStopping(id) && !wasCopied(taskName(job.spec.id, key));
}

/** What remains while copies are placed. */
interface Round {
  readonly byPool: Map<string, Candidate[]>;
  readonly usedByTeam: Map<string, Size>;
  /** Cores, in thousandths, that copies may still take, by pool. */
  readonly budgets: Map<string, number>;
  /** Copies placed in this round, by step and worker key. */
  readonly placed: Map<string, number>;
  readonly poolsAwaitingAdvice: ReadonlySet<string>;
}

function createRound({plan}: CopyInput): Round {
  return {
    byPool: new Map(),
    usedByTeam: new Map(),
    budgets: new Map(),
    placed: new Map(),
    poolsAwaitingAdvice: new Set(
      plan.stepsAwaitingAdvice.map(({pool}) => pool),
    ),
  };
}

/**
 * Cores, in thousandths, that copies in the pool may take beyond those in
 * progress. It follows from the state, so that a change of leader does not renew
 * it.
 */
function copyBudget({state, load}: CopyInput, pool: string): number {
  const queues = queuesOf(state);
  let reserved = 0;
  for (const [name, size] of load.byQueue) {
    if (queues.get(name)?.pool === pool) reserved += size.cpuMillis;
  }
  let copied = 0;
  for (const {job, step, task} of load.speculative.values()) {
    if (task.runs.length < 2 || queues.get(job.spec.queue)?.pool !== pool) {
      continue;
    }
    // Each of the runs is listed.
    copied += (step.size.cpuMillis * (task.runs.length - 1)) / task.runs.length;
  }
  return MAX_COPY_SHARE * (reserved - copied) - copied;
}

function place(
  input: CopyInput,
  round: Round,
  late: LateRun,
): Copy | undefined {
  const {queue, copied, ...decision} = late;
  const {pool} = queue;
  const {job, step, task, key} = copied;
  if (input.plan.shortPools.has(pool)) return undefined;
  if (round.poolsAwaitingAdvice.has(pool)) return undefined;
  const budget = round.budgets.get(pool) ?? copyBudget(input, pool);
  round.budgets.set(pool, budget);
  if (step.size.cpuMillis > budget) return undefined;
  if (!isWithinTeamLimit(input, round, job, step.size)) return undefined;
  const size = reservation(step);
  const chosen = input.placement.choose({
    step,
    size,
    durationMs: late.copyMs,
    candidates: eligibleCandidates(input, round, late),
    failedOn: task.failedOn,
  });
  if (!chosen) return undefined;
  reserveCopy(round, late, chosen, size);
  const name = taskName(job.spec.id, key);
  return {...decision, copied, row: [name, task.lastRun + 1, chosen.key]};
}

/** Resources that the job's team uses, with the copies of this round. */
function teamUse({plan}: CopyInput, round: Round, {spec}: Job): Size {
  const copies = round.usedByTeam.get(spec.team ?? '') ?? ZERO_SIZE;
  return add(plan.usedByTeam(spec.team ?? ''), copies);
}

function isWithinTeamLimit(
  input: CopyInput,
  round: Round,
  job: Job,
  size: Size,
): boolean {
  const {teams} = input.state.tables;
  const team = teams.find(({name}) => name === job.spec.team);
  if (!team) return true;
  return isWithinLimit(team, add(teamUse(input, round, job), size));
}

/** Candidates on other hosts and racks that may take the copy. */
function eligibleCandidates(
  input: CopyInput,
  round: Round,
  {queue, copied}: LateRun,
): Candidate[] {
  const {state, plan, advisedWorkers} = input;
  const {job, key, step, task, run} = copied;
  const {occurrence, step: stepIndex} = parseTaskKey(key);
  const name = taskName(job.spec.id, stepKey(occurrence, stepIndex));
  const allowed = queue.advice && (advisedWorkers.get(name) ?? new Set());
  const stepRuns = countStepRuns(job, occurrence, stepIndex);
  const id = run.worker.slice(0, run.worker.lastIndexOf('@'));
  const first = state.workers.get(id);
  let candidates = round.byPool.get(queue.pool);
  if (!candidates) {
    candidates = [...plan.candidatesLeft(queue.pool)];
    round.byPool.set(queue.pool, candidates);
  }
  return candidates.filter(candidate => {
    const {worker, quarantined, isDue} = candidate;
    if (quarantined || isDue || worker.id === id) return false;
    if (candidate.isSlow) return false;
    if (first && sharesHostOrRack(first, worker, step.rack)) return false;
    if (task.failedOn.includes(candidate.key)) return false;
    if (allowed && !allowed.has(candidate.key)) return false;
    if (step.maxPerWorker === 0) return true;
    const placed = round.placed.get(`${name} ${candidate.key}`) ?? 0;
    return (stepRuns.get(candidate.key) ?? 0) + placed < step.maxPerWorker;
  });
}

/**
 * Whether what slows down the first run may slow down the copy as well. The rack
 * with the data of the step is not avoided: on any other one the copy is slower.
 */
function sharesHostOrRack(
  first: Worker,
  other: Worker,
  dataRack: string | undefined,
): boolean {
  if (first.host !== '' && first.host === other.host) return true;
  const rack = rackOf(first);
  return rack !== undefined && rack !== dataRack && rack === rackOf(other);
}

function reserveCopy(
  round: Round,
  {queue, copied}: LateRun,
  chosen: Candidate,
  size: Size,
): void {
  const {job, key, step} = copied;
  const {occurrence, step: stepIndex} = parseTaskKey(key);
  const candidates = round.byPool.get(queue.pool)!;
  const at = candidates.indexOf(chosen);
  candidates[at] = withFree(chosen, subtract(chosen.free, size));
  const budget = round.budgets.get(queue.pool)!;
  round.budgets.set(queue.pool, budget - step.size.cpuMillis);
  const team = job.spec.team ?? '';
  const used = round.usedByTeam.get(team) ?? ZERO_SIZE;
  round.usedByTeam.set(team, add(used, step.size));
  const name = taskName(job.spec.id, stepKey(occurrence, stepIndex));
  const placedKey = `${name} ${chosen.key}`;
  round.placed.set(placedKey, (round.placed.get(placedKey) ?? 0) + 1);
}
