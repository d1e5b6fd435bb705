/** The pure part of a decision round: estimate, propose and check. */
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

export interface Policies {
  readonly shares: SharePolicy;
  readonly placement: PlacementPolicy;
  readonly moves: MovePolicy;
  readonly waves: WavePolicy;
}

/** The project's policies. */
export function createDefaultPolicies(): Policies {
  return {
    shares: new DominantShares(),
    placement: new SpreadPlacement(),
    moves: new LastingShortageMoves(),
    waves: new FailureDomainWaves(),
  };
}

/** A situation with what the policies derive from it. */
export interface DemandEstimate extends DecisionInput {
  readonly estimator: Estimator;
  readonly loads: readonly PoolLoad[];
}

export interface Proposal {
  readonly grants: readonly BodyOf<'grant-permit'>[];
  readonly placements: BodyOf<'place-jobs'>['placements'];
  readonly parked: BodyOf<'park-jobs'>['jobs'];
  readonly quarantines: readonly {host: string; reason: string}[];
  /** Orders about tasks that run already. */
  readonly taskCommands: readonly TaskCommand[];
  readonly softState: SoftState;
}

/** Sums up what is asked of each pool. */
export function estimateDemand(situation: DecisionInput): DemandEstimate {
  const {
    state,
    observation: sight,
    softState: memory,
    nowMs,
    scope,
  } = situation;
  const estimator = createEstimator(memory, sight);
  const arriving = new Map<string, number>();
  for (const id in state.hosts) {
    const {permit, pool} = state.hosts[id]!;
    if (permit?.kind !== 'move') continue;
    const target = permit.targetPool ?? pool;
    arriving.set(target, (arriving.get(target) ?? 0) + 1);
  }
  const pools = [...groupByPool(state).values()];
  const decided = scope ? pools.filter(({name}) => scope.has(name)) : pools;
  const loads = decided.map(pool => {
    const available = pool.hosts.filter(isAvailable).length;
    const demandHosts =
      pool.kind === 'jobs'
        ? jobDemand(pool, estimator)
        : callDemand(pool, available, situation);
    return {
      ...pool,
      available,
      arriving: arriving.get(pool.name) ?? 0,
      demandHosts,
    };
  });
  // Shortages and moves are judged over all pools, in whole rounds.
  if (scope) return {...situation, estimator, loads};
  const load = shortageLoad(situation.weights);
  const shortages = trackConditionStarts(
    memory.shortageStarts,
    loads,
    (pool, before) => isShort(pool, before, load),
    nowMs,
  );
  const surpluses = trackConditionStarts(
    memory.surplusStarts,
    loads,
    hasSurplus,
    nowMs,
  );
  const moved = joinTimes(state, memory, nowMs);
  return {
    ...situation,
    softState: {
      ...memory,
      shortageStarts: shortages,
      surplusStarts: surpluses,
      moveTimes: moved,
    },
    estimator,
    loads,
  };
}

/** A pool whose calls are not reported counts as in use, so it lends no host. */
function callDemand(
  {name, kind}: PoolSnapshot,
  available: number,
  situation: DecisionInput,
): number {
  return situation.callDemand[name] ?? (kind === 'calls' ? available : 0);
}

/** Hosts' worth of work that runs or waits in the pool. */
function jobDemand(pool: PoolSnapshot, estimator: Estimator): number {
  const sizes = pool.hosts.filter(host => host.cores > 0);
  if (sizes.length === 0) return 0;
  const capacity = sumSizes(sizes);
  const running = sumSizes(
    pool.running.map(job => estimator.estimateRunningSize(job)),
  );
  const queued = sumSizes(pool.queued.map(job => estimator.estimateSize(job)));
  const share =
    dominantShare(running, capacity) + dominantShare(queued, capacity);
  return Number.isFinite(share) ? share * sizes.length : sizes.length;
}

function joinTimes(
  state: State,
  memory: SoftState,
  nowMs: number,
): Map<string, number> {
  const moved = new Map<string, number>();
  for (const id in state.hosts) {
    const host = state.hosts[id]!;
    const at = host.permit?.kind === 'move' ? nowMs : memory.moveTimes.get(id);
    if (at !== undefined) moved.set(id, at);
  }
  return moved;
}

/** What the policies want; nothing of it has been checked yet. */
export function propose(policies: Policies, round: DemandEstimate): Proposal {
  const running = new Map(Object.entries(round.state.jobs.running));
  const result = {
    placements: [] as BodyOf<'place-jobs'>['placements'],
    parked: [] as BodyOf<'park-jobs'>['jobs'],
    taskCommands: [] as TaskCommand[],
  };
  const reclaims = reclaimsElsewhere(round);
  const grants = round.scope
    ? []
    : proposeGrants(policies.moves, policies.waves, round);
  // A host whose permit will be refused stays open to jobs in this round.
  const allowed = checkGrants(round.state, grants).grants;
  const leaving = new Set(allowed.map(({host}) => host));
  for (const pool of round.loads) {
    if (pool.queued.length === 0 && pool.running.length === 0) continue;
    const workers = workersOf(pool, round, leaving);
    proposeJobs(policies, round, pool, workers, running, result, reclaims);
  }
  return {
    ...result,
    grants,
    quarantines: findFaultyWorkers(round.state, round.softState.failureStreaks),
    softState: {...round.softState, reclaims},
  };
}

/** Reclaims in pools that are not decided about: those stay as they are. */
function reclaimsElsewhere({scope, softState: memory, loads}: DemandEstimate) {
  const reclaims = new Map<string, Reclaim>(scope ? memory.reclaims : []);
  if (reclaims.size === 0) return reclaims;
  for (const pool of loads) {
    for (const {id} of pool.running) reclaims.delete(id);
  }
  return reclaims;
}

function proposeJobs(
  policies: Policies,
  round: DemandEstimate,
  pool: PoolLoad,
  workers: Worker[],
  running: Map<string, number>,
  result: Pick<Proposal, 'placements' | 'parked'> & {
    taskCommands: TaskCommand[];
  },
  reclaims: Map<string, Reclaim>,
): void {
  const {state, estimator, softState: memory, nowMs} = round;
  const capacity = sumSizes(workers.map(worker => worker.host));
  const input = {state, pool, capacity, estimator, running};
  const {order, lent, preemptors: claimants} = policies.shares.share(input);
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
    running.set(job.team, (running.get(job.team) ?? 0) + 1);
  }
  result.placements.push(...placed.placements);
  result.parked.push(...placed.parked);
  const waiting = new Set(placed.waiting);
  const lentSet = new Set(lent);
  const own = updateReclaims({
    preemptors: claimants.filter(job => waiting.has(job)),
    lent,
    others: pool.running.filter(job => !job.urgent && !lentSet.has(job)),
    workers,
    estimator,
    reclaims: memory.reclaims,
    running: pool.running,
    nowMs,
  });
  for (const [job, entry] of own) reclaims.set(job, entry);
  result.taskCommands.push(...createTaskCommands(pool.running, own, estimator));
}

/** Workers that take jobs, less what runs on them. */
function workersOf(
  pool: PoolLoad,
  round: DemandEstimate,
  leaving: ReadonlySet<string>,
): Worker[] {
  const workers = new Map<string, Worker>();
  for (const host of pool.hosts) {
    if (!isAvailable(host) || host.quarantined || host.cores <= 0) continue;
    if (leaving.has(host.id)) continue;
    workers.set(host.id, createIdleWorker(host, startsOn(host, round)));
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

/** A worker under suspicion starts one job at a time. */
function startsOn(host: Host, round: DemandEstimate): number {
  return isSuspect(host, round) ? 1 : STARTS_PER_ROUND;
}

function isSuspect(
  host: Host,
  {state, softState: memory}: DemandEstimate,
): boolean {
  const streak = memory.failureStreaks.get(host.id);
  return (
    streak !== undefined &&
    findAttributableFailures(state, host.id, streak).length > 0
  );
}

/**
 * Drops what the reducers would refuse: permits past a budget, and starts
 * past a team's limit. The reducers check again when the change is applied.
 */
export function checkProposal(state: State, proposal: Proposal): Proposal {
  const {grants, hosts} = checkGrants(state, proposal.grants);
  const left = new Map<string, number>();
  const placements = proposal.placements.filter(({job: id, host}) => {
    const job = findJob(state.jobs, id);
    if (!job || hosts.get(host)?.phase !== 'serving') return false;
    const free = leftOf(state, left, job);
    left.set(job.team, free - 1);
    return free > 0;
  });
  return {...proposal, grants, placements};
}

function leftOf(
  state: State,
  left: ReadonlyMap<string, number>,
  {team}: Job,
): number {
  const held = state.jobs.running[team] ?? 0;
  return left.get(team) ?? jobLimitOf(state.tables, team) - held;
}

/** The changes of a proposal, at most one of each kind but for quarantine. */
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
