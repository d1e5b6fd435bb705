/** Input of a decision round. */
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

/** A task as last reported by the platform. */
export interface ObservedTask {
  readonly job: string;
  readonly host: string;
  /** Fencing token of the attempt. */
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
  /** Hosts that the platform keeps drained. */
  readonly drained: readonly string[];
  /** Reboots that have ended, with the token of their command. */
  readonly rebooted: readonly {host: string; token: number}[];
}

/** Everything that a decision round is based on. */
export interface DecisionInput {
  readonly state: State;
  readonly observation: PlatformObservation;
  readonly softState: SoftState;
  readonly nowMs: number;
  readonly weights: Weights;
  /** Demand on each pool of kind `calls`, in hosts. */
  readonly callDemand: Readonly<Record<string, number>>;
  /**
   * If set, the round decides only about jobs of these pools, and proposes no
   * permits.
   */
  readonly scope?: ReadonlySet<string> | undefined;
}

/** One pool with its hosts and jobs, collected once in each round. */
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
    const isQueued = job.phase === 'queued';
    if (!isQueued && !isOccupyingWorker(job)) continue;
    const pool = pools.get(state.tables.routes[job.queue]?.pool ?? '');
    if (isQueued) pool?.queued.push(job);
    else pool?.running.push(job);
  }
  return pools;
}

const taskIndexes = new WeakMap<
  PlatformObservation,
  ReadonlyMap<string, ObservedTask>
>();

/**
 * Returns the observed tasks by job. The index is cached for each observation.
 */
export function indexTasksByJob(
  observation: PlatformObservation,
): ReadonlyMap<string, ObservedTask> {
  let index = taskIndexes.get(observation);
  if (!index) {
    index = new Map(observation.tasks.map(task => [task.job, task]));
    taskIndexes.set(observation, index);
  }
  return index;
}
