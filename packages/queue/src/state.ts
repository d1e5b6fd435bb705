/** The replicated state of the job queues, in memory and as stored. */
import {z} from 'zod';
import {Job} from './job.js';
import {jobWeight} from './job-weight.js';
import {PersistentMap} from './persistent-map.js';
import {EMPTY_TABLES, Queue, queuesByName, Tables} from './table.js';
import {DurationStatistics} from './statistics.js';
import {HostOrder, Wave} from './wave.js';
import {Worker} from './worker.js';

/** The state as a snapshot stores it. */
export const StoredState = z.object({
  revision: z.int().nonnegative(),
  /** Snapshots of earlier versions lack it. */
  ledMs: z.number().nonnegative().default(0),
  tables: Tables,
  retiredQueues: z.array(Queue).default([]),
  jobs: z.array(Job),
  workers: z.array(Worker),
  waves: z.array(Wave),
  /** Data centres out of use; snapshots of earlier versions lack it. */
  evacuated: z.array(z.string()).default([]),
  /** The latest order to each host. */
  duties: z.array(HostOrder),
  statistics: z.array(DurationStatistics).default([]),
});
export type StoredState = z.infer<typeof StoredState>;

export interface State {
  /** Number of changes applied. */
  readonly revision: number;
  /**
   * For how long leaders have led the group, up to the last change. It stands
   * still between two leaders and does not depend on the time of day, so that
   * no more time passes by it than has passed.
   */
  readonly ledMs: number;
  readonly tables: Tables;
  /**
   * Queues that the tables have lost while jobs of theirs were active, by name.
   * These jobs go on under the last properties of their queue.
   */
  readonly retiredQueues: ReadonlyMap<string, Queue>;
  /** By job ID. */
  readonly jobs: PersistentMap<Job>;
  /** Number of active jobs; counted from `jobs`, not stored. */
  readonly activeJobCount: number;
  /** Sum of the active jobs' weights; counted from `jobs`, not stored. */
  readonly activeJobBytes: number;
  /** By worker ID; the latest known incarnation of each worker. */
  readonly workers: PersistentMap<Worker>;
  /** By wave ID. */
  readonly waves: ReadonlyMap<number, Wave>;
  /** Data centres that get no new runs, by order of an operator. */
  readonly evacuated: ReadonlySet<string>;
  /** The latest order to each host, by host. */
  readonly hostOrders: PersistentMap<HostOrder>;
  /** By queue name. */
  readonly statistics: ReadonlyMap<string, DurationStatistics>;
  /**
   * The job ID of each recorded run, by worker key; derived from `jobs`, not
   * stored. The end of a worker thus costs what its own runs cost.
   */
  readonly runsByWorker: PersistentMap<readonly string[]>;
}

export const EMPTY_STATE: State = {
  revision: 0,
  ledMs: 0,
  tables: EMPTY_TABLES,
  retiredQueues: new Map(),
  jobs: PersistentMap.empty(),
  activeJobCount: 0,
  activeJobBytes: 0,
  workers: PersistentMap.empty(),
  waves: new Map(),
  evacuated: new Set(),
  hostOrders: PersistentMap.empty(),
  statistics: new Map(),
  runsByWorker: PersistentMap.empty(),
};

/** The merged queues of a state, by its map of retired queues. */
const mergedQueues = new WeakMap<
  State['retiredQueues'],
  {readonly tables: Tables; readonly queues: ReadonlyMap<string, Queue>}
>();

/** The queues under which jobs may be active, by name. */
export function queuesOf({
  tables,
  retiredQueues,
}: Pick<State, 'tables' | 'retiredQueues'>): ReadonlyMap<string, Queue> {
  const current = queuesByName(tables);
  if (retiredQueues.size === 0) return current;
  let merged = mergedQueues.get(retiredQueues);
  if (merged?.tables !== tables) {
    merged = {tables, queues: new Map([...retiredQueues, ...current])};
    mergedQueues.set(retiredQueues, merged);
  }
  return merged.queues;
}

/** Whether the data centre gets no new runs, by order of an operator. */
export function isEvacuated(
  {evacuated}: Pick<State, 'evacuated'>,
  dataCentre: string,
): boolean {
  return evacuated.has(dataCentre);
}

/** Converts the state for a snapshot. */
export function toStored(state: State): StoredState {
  return {
    revision: state.revision,
    ledMs: state.ledMs,
    tables: state.tables,
    retiredQueues: [...state.retiredQueues.values()],
    jobs: state.jobs.values(),
    workers: state.workers.values(),
    waves: [...state.waves.values()],
    evacuated: [...state.evacuated],
    duties: state.hostOrders.values(),
    statistics: [...state.statistics.values()],
  };
}

/** Restores the state from a snapshot. */
export function fromStored(stored: StoredState): State {
  return {
    revision: stored.revision,
    ledMs: stored.ledMs,
    tables: stored.tables,
    retiredQueues: new Map(stored.retiredQueues.map(row => [row.name, row])),
    jobs: PersistentMap.from(stored.jobs.map(job => [job.spec.id, job])),
    activeJobCount: stored.jobs.filter(({phase}) => phase === 'active').length,
    activeJobBytes: stored.jobs.reduce((sum, job) => sum + jobWeight(job), 0),
    workers: PersistentMap.from(
      stored.workers.map(worker => [worker.id, worker]),
    ),
    waves: new Map(stored.waves.map(wave => [wave.id, wave])),
    evacuated: new Set(stored.evacuated),
    hostOrders: PersistentMap.from(
      stored.duties.map(order => [order.host, order]),
    ),
    statistics: new Map(stored.statistics.map(row => [row.queue, row])),
    runsByWorker: groupRunsByWorker(stored.jobs),
  };
}

function groupRunsByWorker(
  jobs: readonly Job[],
): PersistentMap<readonly string[]> {
  const byWorker = new Map<string, string[]>();
  for (const {spec, tasks} of jobs) {
    for (const {runs} of Object.values(tasks)) {
      for (const {worker} of runs) {
        const ids = byWorker.get(worker);
        if (ids) ids.push(spec.id);
        else byWorker.set(worker, [spec.id]);
      }
    }
  }
  return PersistentMap.from(byWorker);
}
