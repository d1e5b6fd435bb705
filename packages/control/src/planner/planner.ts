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
  /** Hosts' worth of calls that each pool is asked for now. */
  readonly callDemand?: () => Readonly<Record<string, number>>;
  readonly now?: () => number;
}

export interface Planner {
  /** Runs a round now, if the replica leads; resolves once it has ended. */
  runRound(): Promise<void>;
  stop(): Promise<void>;
}

/** A leader's planner between rounds; undefined while it does not lead. */
interface PlannerTerm {
  readonly term: number;
  readonly leaderToken: number;
  readonly memory: SoftState;
  /** Time of the monotonic clock before which only urgent work needs a round. */
  readonly pausedUntilMs: number;
}

interface Tick {
  readonly type: 'tick';
  readonly reply?: Reply<void>;
}

/** Longest wait for a round that was asked for. */
const ROUND_TIMEOUT_MS = 30_000;

export function startPlanner(options: PlannerOptions): Planner {
  const {tasks, log} = options;
  let waiting = false;
  const task = tasks.spawn<PlannerTerm | undefined, Tick>({
    name: 'planner',
    initial: undefined,
    async handle(term, {reply}) {
      waiting = false;
      const next = await tick(options, term, log, reply !== undefined);
      reply?.resolve(undefined);
      return next;
    },
  });
  // A round that takes long is followed by one other, not by a queue of them.
  const timer = setInterval(() => {
    if (waiting) return;
    waiting = true;
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

async function tick(
  options: PlannerOptions,
  before: PlannerTerm | undefined,
  log: Log,
  asked: boolean,
): Promise<PlannerTerm | undefined> {
  const {replica} = options;
  const {role, term} = replica.status();
  if (role !== 'leader') return undefined;
  const paused =
    !asked && before?.term === term && performance.now() < before.pausedUntilMs;
  const scope = paused ? poolsWithUrgentJobs(replica.state()) : undefined;
  if (scope?.size === 0) return before;
  try {
    const current = before?.term === term ? before : await begin(options, term);
    return await run(options, current, log, scope);
  } catch (error) {
    if (!isLeadershipLoss(error)) throw error;
    log.info('planner-stopped', {term, reason: error.message});
    return undefined;
  }
}

async function run(
  options: PlannerOptions,
  current: PlannerTerm,
  log: Log,
  scope?: ReadonlySet<string>,
): Promise<PlannerTerm> {
  const started = performance.now();
  const load = performance.eventLoopUtilization();
  const {memory, changes, commands} = await runRound({
    replica: options.replica,
    platform: options.platform,
    policies: options.policies ?? createDefaultPolicies(),
    weights: options.weights ?? weightsSchema.parse({}),
    callDemand: options.callDemand?.() ?? {},
    now: options.now ?? Date.now,
    ...current,
    scope,
  });
  const busyMs = performance.eventLoopUtilization(load).active;
  const pauseMs = Math.round(roundIntervalMs(busyMs));
  const elapsedMs = Math.round(performance.now() - started);
  log.debug('round', {changes, commands, elapsedMs, pauseMs});
  // Whole rounds keep their pace, however much urgent work there is.
  const pausedUntilMs = scope ? current.pausedUntilMs : started + pauseMs;
  return {...current, memory, pausedUntilMs};
}

/** Takes a token above all others, by which older planners are fenced. */
async function begin(
  {replica, now = Date.now}: PlannerOptions,
  term: number,
): Promise<PlannerTerm> {
  const body = {type: 'start-planner'} as const;
  const {answer} = await replica.propose({atMs: now(), body});
  if (!answer.ok) throw new LeadershipLost(answer.message);
  return {
    term,
    leaderToken: Number(answer.detail),
    memory: EMPTY_SOFT_STATE,
    pausedUntilMs: 0,
  };
}

function isLeadershipLoss(error: unknown): error is Error {
  return (
    error instanceof LeadershipLost ||
    error instanceof NotLeader ||
    error instanceof OutcomeUnknown
  );
}
