/**
 * Pure part of a decision round: estimates demand, proposes changes, checks
 * them.
 */
import {
  isAvailable,
  jobLimitOf,
  findJob,
  type BodyOf,
  type ChangeBody,
  type Host,
  type Job,
  type State,
} from '@lentildrift/model';
import {createEstimator, type Estimator} from './estimate.js';
import {findAttributableFailures, findFaultyWorkers} from './fault.js';
import {checkGrants, proposeGrants} from './grant.js';
import type {SoftState, Reclaim} from './soft-state.js';
import {
  hasSurplus,
  isShort,
  LastingShortageMoves,
  shortageLoad,
  trackConditionStarts,
  type MovePolicy,
  type PoolLoad,
} from './move.js';
import {
  createIdleWorker,
  SpreadPlacement,
  STARTS_PER_ROUND,
  type PlacementPolicy,
  type Worker,
} from './placement.js';
import {
  updateReclaims,
  createTaskCommands,
  type TaskCommand,
} from './reclaim.js';
import {sumSizes, DominantShares, type SharePolicy} from './share.js';
import {
  groupByPool,
  type PoolSnapshot,
  type DecisionInput,
} from './decision-input.js';
import {dominantShare, subtractSizes} from './size.js';
import {FailureDomainWaves, type WavePolicy} from './wave.js';

/** The policies that vary independently. */
export interface Policies {
  readonly shares: SharePolicy;
  readonly placement: PlacementPolicy;
  readonly moves: MovePolicy;
  readonly waves: WavePolicy;
}

/** Creates the default policies. */
export function createDefaultPolicies(): Policies {
  return {
    shares: new DominantShares(),
    placement: new SpreadPlacement(),
    moves: new LastingShortageMoves(),
    waves: new FailureDomainWaves(),
  };
}

/** Input of a round with the estimates that the policies decide by. */
export interface DemandEstimate extends DecisionInput {
  readonly estimator: Estimator;
  readonly loads: readonly PoolLoad[];
}

/** Everything that the policies propose in one round. */
export interface Proposal {
  readonly grants: readonly BodyOf<'grant-permit'>[];
  readonly placements: BodyOf<'place-jobs'>['placements'];
  readonly parked: BodyOf<'park-jobs'>['jobs'];
  readonly quarantines: readonly {host: string; reason: string}[];
  /** Commands to the platform about running tasks. */
  readonly taskCommands: readonly TaskCommand[];
  readonly softState: SoftState;
}

/**
 * Estimates the demand on each pool, and tracks shortages, surpluses and moves.
 */
export function estimateDemand(input: DecisionInput): DemandEstimate {
  const {state, observation, softState, nowMs, scope} = input;
  const estimator = createEstimator(softState, observation);
  const arriving = new Map<string, number>();
  for (const id in state.hosts) {
    const {permit, pool} = state.hosts[id]!;
    if (permit?.kind !== 'move') continue;
    const target = permit.targetPool ?? pool;
    arriving.set(target, (arriving.get(target) ?? 0) + 1);
  }
  const pools = [...groupByPool(state).values()];
  const considered = scope ? pools.filter(({name}) => scope.has(name)) : pools;
  const loads = considered.map(pool => {
    const available = pool.hosts.filter(isAvailable).length;
    const demandHosts =
      pool.kind === 'jobs'
        ? estimateJobDemand(pool, estimator)
        : estimateCallDemand(pool, available, input);
    return {
      ...pool,
      available,
      arriving: arriving.get(pool.name) ?? 0,
      demandHosts,
    };
  });
  // Shortages and moves need all pools, so a round with a scope skips them.
  if (scope) return {...input, estimator, loads};
  const load = shortageLoad(input.weights);
  const shortageStarts = trackConditionStarts(
    softState.shortageStarts,
    loads,
    (pool, before) => isShort(pool, before, load),
    nowMs,
  );
  const surplusStarts = trackConditionStarts(
    softState.surplusStarts,
    loads,
    hasSurplus,
    nowMs,
  );
  const moveTimes = updateMoveTimes(state, softState, nowMs);
  return {
    ...input,
    softState: {
      ...softState,
      shortageStarts,
      surplusStarts,
      moveTimes,
    },
    estimator,
    loads,
  };
}

/**
 * Returns the demand for calls, in hosts. A pool of kind `calls` without a
 * reported demand counts as fully used, so that it gives up no host.
 */
function estimateCallDemand(
  {name, kind}: PoolSnapshot,
  available: number,
  input: DecisionInput,
): number {
  return input.callDemand[name] ?? (kind === 'calls' ? available : 0);
}

/** Returns the demand of the pool's running and queued jobs, in hosts. */
function estimateJobDemand(pool: PoolSnapshot, estimator: Estimator): number {
  const hosts = pool.hosts.filter(host => host.cores > 0);
  if (hosts.length === 0) return 0;
  const capacity = sumSizes(hosts);
  const running = sumSizes(
    pool.running.map(job => estimator.estimateRunningSize(job)),
  );
  const queued = sumSizes(pool.queued.map(job => estimator.estimateSize(job)));
  const share =
    dominantShare(running, capacity) + dominantShare(queued, capacity);
  return Number.isFinite(share) ? share * hosts.length : hosts.length;
}

/** Returns when each host was last under a move permit. */
function updateMoveTimes(
  state: State,
  softState: SoftState,
  nowMs: number,
): Map<string, number> {
  const moveTimes = new Map<string, number>();
  for (const id in state.hosts) {
    const host = state.hosts[id]!;
    const at =
      host.permit?.kind === 'move' ? nowMs : softState.moveTimes.get(id);
    if (at !== undefined) moveTimes.set(id, at);
  }
  return moveTimes;
}

/** Collects the proposals of the policies, which are still unchecked. */
export function propose(policies: Policies, round: DemandEstimate): Proposal {
  const runningByTeam = new Map(Object.entries(round.state.jobs.running));
  const result = {
    placements: [] as BodyOf<'place-jobs'>['placements'],
    parked: [] as BodyOf<'park-jobs'>['jobs'],
    taskCommands: [] as TaskCommand[],
  };
  const reclaims = keepReclaimsOutOfScope(round);
  const grants = round.scope
    ? []
    : proposeGrants(policies.moves, policies.waves, round);
  // A host whose permit will be refused can still start jobs in this round.
  const allowed = checkGrants(round.state, grants).grants;
  const leaving = new Set(allowed.map(({host}) => host));
  for (const pool of round.loads) {
    if (pool.queued.length === 0 && pool.running.length === 0) continue;
    const workers = createWorkers(pool, round, leaving);
    proposeJobs(
      policies,
      round,
      pool,
      workers,
      runningByTeam,
      result,
      reclaims,
    );
  }
  return {
    ...result,
    grants,
    quarantines: findFaultyWorkers(round.state, round.softState.failureStreaks),
    softState: {...round.softState, reclaims},
  };
}

/** Returns the reclaims in pools outside the scope, which are not modified. */
function keepReclaimsOutOfScope({scope, softState, loads}: DemandEstimate) {
  const reclaims = new Map<string, Reclaim>(scope ? softState.reclaims : []);
  if (reclaims.size === 0) return reclaims;
  for (const pool of loads) {
    for (const {id} of pool.running) reclaims.delete(id);
  }
  return reclaims;
}

/** Adds the proposals for one pool's jobs to `result` and `reclaims`. */
function proposeJobs(
  policies: Policies,
  round: DemandEstimate,
  pool: PoolLoad,
  workers: Worker[],
  runningByTeam: Map<string, number>,
  result: Pick<Proposal, 'placements' | 'parked'> & {
    taskCommands: TaskCommand[];
  },
  reclaims: Map<string, Reclaim>,
): void {
  const {state, estimator, softState, nowMs} = round;
  const capacity = sumSizes(workers.map(worker => worker.host));
  const input = {state, pool, capacity, estimator, runningByTeam};
  const {order, lent, preemptors} = policies.shares.share(input);
  const placed = policies.placement.place({
    order,
    workers,
    poolHosts: pool.hosts,
    estimator,
    nowMs,
  });
  const started = new Set(placed.placements.map(({job}) => job));
  for (const job of pool.queued) {
    if (!started.has(job.id)) continue;
    runningByTeam.set(job.team, (runningByTeam.get(job.team) ?? 0) + 1);
  }
  result.placements.push(...placed.placements);
  result.parked.push(...placed.parked);
  const waiting = new Set(placed.waiting);
  const lentSet = new Set(lent);
  const poolReclaims = updateReclaims({
    preemptors: preemptors.filter(job => waiting.has(job)),
    lent,
    otherRunning: pool.running.filter(job => !job.urgent && !lentSet.has(job)),
    workers,
    estimator,
    reclaims: softState.reclaims,
    running: pool.running,
    nowMs,
  });
  for (const [job, entry] of poolReclaims) reclaims.set(job, entry);
  result.taskCommands.push(
    ...createTaskCommands(pool.running, poolReclaims, estimator),
  );
}

/** Returns the workers that can start jobs, with the room left on each. */
function createWorkers(
  pool: PoolLoad,
  round: DemandEstimate,
  leaving: ReadonlySet<string>,
): Worker[] {
  const workers = new Map<string, Worker>();
  for (const host of pool.hosts) {
    if (!isAvailable(host) || host.quarantined || host.cores <= 0) continue;
    if (leaving.has(host.id)) continue;
    workers.set(host.id, createIdleWorker(host, allowedStarts(host, round)));
  }
  for (const job of pool.running) {
    const worker = workers.get(job.host ?? '');
    if (!worker) continue;
    worker.free = subtractSizes(
      worker.free,
      round.estimator.estimateRunningSize(job),
    );
    worker.teams.set(job.team, (worker.teams.get(job.team) ?? 0) + 1);
    if (job.phase === 'starting' && isSuspect(worker.host, round)) {
      worker.startsLeft = 0;
    }
  }
  return [...workers.values()];
}

/** Returns how many jobs the worker may start; a suspect worker only one. */
function allowedStarts(host: Host, round: DemandEstimate): number {
  return isSuspect(host, round) ? 1 : STARTS_PER_ROUND;
}

/** Whether jobs failed on the worker that failed nowhere else. */
function isSuspect(host: Host, {state, softState}: DemandEstimate): boolean {
  const streak = softState.failureStreaks.get(host.id);
  return (
    streak !== undefined &&
    findAttributableFailures(state, host.id, streak).length > 0
  );
}

/**
 * Drops permits that would exceed a budget, and starts that would exceed a
 * team's limit, since the reducers would refuse them. The reducers check again
 * when the changes are applied.
 */
export function checkProposal(state: State, proposal: Proposal): Proposal {
  const {grants, hosts} = checkGrants(state, proposal.grants);
  const remaining = new Map<string, number>();
  const placements = proposal.placements.filter(({job: id, host}) => {
    const job = findJob(state.jobs, id);
    if (!job || hosts.get(host)?.phase !== 'serving') return false;
    const free = remainingStarts(state, remaining, job);
    remaining.set(job.team, free - 1);
    return free > 0;
  });
  return {...proposal, grants, placements};
}

/** Returns how many jobs the job's team may still start under its limit. */
function remainingStarts(
  state: State,
  remaining: ReadonlyMap<string, number>,
  {team}: Job,
): number {
  const runningCount = state.jobs.running[team] ?? 0;
  return remaining.get(team) ?? jobLimitOf(state.tables, team) - runningCount;
}

/**
 * Converts a proposal to changes, at most one of each type except quarantine.
 */
export function toChanges(proposal: Proposal): ChangeBody[] {
  const {grants, placements, parked, quarantines} = proposal;
  const changes: ChangeBody[] = [];
  if (grants.length > 0) {
    changes.push({type: 'grant-permits', grants: [...grants]});
  }
  for (const {host, reason} of quarantines) {
    changes.push({type: 'quarantine', host, reason});
  }
  if (parked.length > 0) changes.push({type: 'park-jobs', jobs: parked});
  if (placements.length > 0) changes.push({type: 'place-jobs', placements});
  return changes;
}
