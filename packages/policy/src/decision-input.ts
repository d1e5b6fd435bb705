/** What a decision round starts from. */
import {
  isOccupyingWorker,
  listUnfinishedJobs,
  type Host,
  type Job,
  type ObservedHost,
  type Size,
  type State,
} from '@lentildrift/model';
import type {SoftState} from './soft-state.js';
import type {Weights} from './weight.js';

/** A task as the platform last reported it. */
export interface ObservedTask {
  readonly job: string;
  readonly host: string;
  readonly token: number;
  readonly phase: 'running' | 'done' | 'failed' | 'stopped' | 'checkpointed';
  readonly reason?: string | undefined;
  readonly usage?: Size | undefined;
  readonly throttled: boolean;
}

/** The latest observation of the platform. */
export interface PlatformObservation {
  readonly hosts: readonly ObservedHost[];
  readonly tasks: readonly ObservedTask[];
  readonly drained: readonly string[];
  /** Reboots that have ended, by the token of their command. */
  readonly rebooted: readonly {host: string; token: number}[];
}

export interface DecisionInput {
  readonly state: State;
  readonly observation: PlatformObservation;
  readonly softState: SoftState;
  readonly nowMs: number;
  readonly weights: Weights;
  /** Hosts' worth of calls that each pool of kind `calls` is asked for. */
  readonly callDemand: Readonly<Record<string, number>>;
  /** Pools that alone are decided about; no permit is proposed then. */
  readonly scope?: ReadonlySet<string> | undefined;
}

/** One pool with its hosts and jobs, gathered once in each round. */
export interface PoolSnapshot {
  readonly name: string;
  readonly kind: 'calls' | 'jobs' | 'spare';
  readonly minAvailable: number;
  readonly hosts: Host[];
  readonly queued: Job[];
  readonly running: Job[];
}

/** Groups hosts and unfinished jobs by pool in one pass over the state. */
export function groupByPool(state: State): Map<string, PoolSnapshot> {
  const pools = new Map<string, PoolSnapshot>();
  for (const {name, kind, minAvailable} of Object.values(state.tables.pools)) {
    const empty = {hosts: [], queued: [], running: []};
    pools.set(name, {name, kind, minAvailable, ...empty});
  }
  for (const id in state.hosts) {
    const host = state.hosts[id]!;
    pools.get(host.pool)?.hosts.push(host);
  }
  for (const job of listUnfinishedJobs(state.jobs)) {
    const waits = job.phase === 'queued';
    if (!waits && !isOccupyingWorker(job)) continue;
    const pool = pools.get(state.tables.routes[job.queue]?.pool ?? '');
    if (waits) pool?.queued.push(job);
    else pool?.running.push(job);
  }
  return pools;
}

const indexes = new WeakMap<
  PlatformObservation,
  ReadonlyMap<string, ObservedTask>
>();

/** The observed tasks by job; gathered once for each observation. */
export function indexTasksByJob(
  sight: PlatformObservation,
): ReadonlyMap<string, ObservedTask> {
  let index = indexes.get(sight);
  if (!index) {
    index = new Map(sight.tasks.map(task => [task.job, task]));
    indexes.set(sight, index);
  }
  return index;
}
