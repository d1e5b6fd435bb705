/** The planner: a task that runs decision rounds while its replica leads. */
import {NotLeader, OutcomeUnknown} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import type {Platform} from '@lentildrift/platform';
import {
  createDefaultPolicies,
  EMPTY_SOFT_STATE,
  weightsSchema,
  type SoftState,
  type Policies,
  type Weights,
} from '@lentildrift/policy';
import type {Reply, TaskSystem} from '@lentildrift/task';
import type {StateReplica} from '../machine.js';
import {roundIntervalMs, poolsWithUrgentJobs} from './pace.js';
import {LeadershipLost, runRound} from './round.js';

const TICK_INTERVAL_MS = 1000;

export interface PlannerOptions {
  readonly replica: StateReplica;
  readonly platform: Platform;
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly policies?: Policies;
  readonly weights?: Weights;
  /** Present demand for calls of each pool, in hosts. */
  readonly callDemand?: () => Readonly<Record<string, number>>;
  /** Wall clock, in ms; `Date.now` by default. */
  readonly now?: () => number;
}

export interface Planner {
  /**
   * Runs a round now if the replica leads, and resolves when the round has ended.
   * Rejects with `TaskTimeout` after 30,000 ms.
   */
  runRound(): Promise<void>;
  stop(): Promise<void>;
}

/**
 * The planner's state in one term, kept between rounds. It is undefined while the
 * replica does not lead.
 */
interface PlannerTerm {
  readonly term: number;
  /** Fencing token that the planner got at the start of the term. */
  readonly leaderToken: number;
  readonly softState: SoftState;
  /**
   * Time of the monotonic clock, in ms, before which only pools with urgent jobs
   * get a round.
   */
  readonly nextFullRoundAtMs: number;
}

interface Tick {
  readonly type: 'tick';
  /** Present if a caller requested the round. */
  readonly reply?: Reply<void>;
}

/** Longest wait for a round that was requested. */
const ROUND_TIMEOUT_MS = 30_000;

export function startPlanner(options: PlannerOptions): Planner {
  const {tasks, log} = options;
  let isTickQueued = false;
  const task = tasks.spawn<PlannerTerm | undefined, Tick>({
    name: 'planner',
    initial: undefined,
    async handle(term, {reply}) {
      isTickQueued = false;
      const next = await runRoundIfDue(options, term, log, reply !== undefined);
      reply?.resolve(undefined);
      return next;
    },
  });
  // At most one tick is queued, so that a long round is followed by one other
  // round and not by one for each interval that has passed.
  const timer = setInterval(() => {
    if (isTickQueued) return;
    isTickQueued = true;
    task.post({type: 'tick'});
  }, TICK_INTERVAL_MS);

  return {
    runRound: () =>
      task.ask(reply => ({type: 'tick', reply}), ROUND_TIMEOUT_MS),
    stop: () => {
      clearInterval(timer);
      return task.stop();
    },
  };
}

/**
 * Runs a round if the replica leads: over all pools if one is due or requested,
 * otherwise over the pools with urgent jobs. Returns undefined if the replica does
 * not lead or has lost leadership.
 */
async function runRoundIfDue(
  options: PlannerOptions,
  previous: PlannerTerm | undefined,
  log: Log,
  isRequested: boolean,
): Promise<PlannerTerm | undefined> {
  const {replica} = options;
  const {role, term} = replica.status();
  if (role !== 'leader') return undefined;
  const isOnlyUrgent =
    !isRequested &&
    previous?.term === term &&
    performance.now() < previous.nextFullRoundAtMs;
  const scope = isOnlyUrgent ? poolsWithUrgentJobs(replica.state()) : undefined;
  if (scope?.size === 0) return previous;
  try {
    const current =
      previous?.term === term ? previous : await startTerm(options, term);
    return await runTimedRound(options, current, log, scope);
  } catch (error) {
    if (!isLeadershipLoss(error)) throw error;
    log.info('planner-stopped', {term, reason: error.message});
    return undefined;
  }
}

/** Runs a round and computes the time of the next full round from its CPU time. */
async function runTimedRound(
  options: PlannerOptions,
  current: PlannerTerm,
  log: Log,
  scope?: ReadonlySet<string>,
): Promise<PlannerTerm> {
  const startedAtMs = performance.now();
  const loadAtStart = performance.eventLoopUtilization();
  const {softState, changes, commands} = await runRound({
    replica: options.replica,
    platform: options.platform,
    policies: options.policies ?? createDefaultPolicies(),
    weights: options.weights ?? weightsSchema.parse({}),
    callDemand: options.callDemand?.() ?? {},
    now: options.now ?? Date.now,
    ...current,
    scope,
  });
  const busyMs = performance.eventLoopUtilization(loadAtStart).active;
  const pauseMs = Math.round(roundIntervalMs(busyMs));
  const elapsedMs = Math.round(performance.now() - startedAtMs);
  log.debug('round', {changes, commands, elapsedMs, pauseMs});
  // Rounds for urgent jobs do not delay the next full round.
  const nextFullRoundAtMs = scope
    ? current.nextFullRoundAtMs
    : startedAtMs + pauseMs;
  return {...current, softState, nextFullRoundAtMs};
}

/** Obtains a token higher than all earlier ones, which fences off older planners. */
async function startTerm(
  {replica, now = Date.now}: PlannerOptions,
  term: number,
): Promise<PlannerTerm> {
  const body = {type: 'start-planner'} as const;
  const {answer} = await replica.propose({atMs: now(), body});
  if (!answer.ok) throw new LeadershipLost(answer.message);
  return {
    term,
    leaderToken: Number(answer.detail),
    softState: EMPTY_SOFT_STATE,
    nextFullRoundAtMs: 0,
  };
}

function isLeadershipLoss(error: unknown): error is Error {
  return (
    error instanceof LeadershipLost ||
    error instanceof NotLeader ||
    error instanceof OutcomeUnknown
  );
}
