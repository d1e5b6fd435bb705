/** The replicated state of the job queues. */
import {z} from 'zod';
import {Job} from './job.js';
import {EMPTY_TABLES, Tables} from './table.js';
import {DurationStatistics} from './statistics.js';
import {HostOrder, Wave} from './wave.js';
import {Worker} from './worker.js';

export const StoredState = z.object({
  revision: z.int().nonnegative(),
  tables: Tables,
  jobs: z.array(Job),
  workers: z.array(Worker),
  waves: z.array(Wave),
  duties: z.array(HostOrder),
  statistics: z.array(DurationStatistics).default([]),
});
export type StoredState = z.infer<typeof StoredState>;

export interface State {
  /** Number of changes applied. */
  readonly revision: number;
  readonly tables: Tables;
  readonly jobs: ReadonlyMap<string, Job>;
  /** By ID; at most one incarnation each. */
  readonly workers: ReadonlyMap<string, Worker>;
  readonly waves: ReadonlyMap<number, Wave>;
  /** By host. */
  readonly hostOrders: ReadonlyMap<string, HostOrder>;
  /** By queue. */
  readonly statistics: ReadonlyMap<string, DurationStatistics>;
}

export const EMPTY_STATE: State = {
  revision: 0,
  tables: EMPTY_TABLES,
  jobs: new Map(),
  workers: new Map(),
  waves: new Map(),
  hostOrders: new Map(),
  statistics: new Map(),
};

export function toStored(state: State): StoredState {
  return {
    revision: state.revision,
    tables: state.tables,
    jobs: [...state.jobs.values()],
    workers: [...state.workers.values()],
    waves: [...state.waves.values()],
    duties: [...state.hostOrders.values()],
    statistics: [...state.statistics.values()],
  };
}

export function fromStored(stored: StoredState): State {
  return {
    revision: stored.revision,
    tables: stored.tables,
    jobs: new Map(stored.jobs.map(job => [job.spec.id, job])),
    workers: new Map(stored.workers.map(worker => [worker.id, worker])),
    waves: new Map(stored.waves.map(wave => [wave.id, wave])),
    hostOrders: new Map(stored.duties.map(duty => [duty.host, duty])),
    statistics: new Map(stored.statistics.map(row => [row.queue, row])),
  };
}
