/** The workers of the directory by pool and by host. */
import {workerKey, type State, type Worker} from '@lentildrift/queue';
import {
  createSequenceList,
  type SequenceList,
  type UpdateEntry,
} from './sequence-list.js';

export interface Fleet {
  /** All workers, in the order in which they joined the directory. */
  readonly workers: readonly Worker[];
  /** Workers of the pool, in the same order. */
  workersIn(pool: string): readonly Worker[];
  /** The newest incarnation on the host that has not left. */
  newestOn(host: string): Worker | undefined;
  /** Keys of the workers that drain. */
  readonly draining: ReadonlySet<string>;
}

export interface FleetIndex {
  /** The current fleet; later updates change it. */
  readonly fleet: Fleet;
  readonly update: UpdateEntry<Worker>;
}

const NO_WORKERS: readonly Worker[] = [];

export function measureFleet(state: State): Fleet {
  const workers = state.workers.values();
  return {
    workers,
    workersIn: pool => workers.filter(worker => worker.pool === pool),
    newestOn: host => newestOf(workers.filter(worker => worker.host === host)),
    draining: new Set(
      workers.filter(({phase}) => phase === 'draining').map(workerKey),
    ),
  };
}

function newestOf(workers: readonly Worker[]): Worker | undefined {
  let newest: Worker | undefined;
  for (const worker of workers) {
    if (worker.host === '' || worker.phase === 'gone') continue;
    if (!newest || worker.bornMs > newest.bornMs) newest = worker;
  }
  return newest;
}

/** Lists by a key, without the keys of empty lists. */
function createLists() {
  const lists = new Map<string, SequenceList<Worker>>();
  return {
    get: (key: string) => lists.get(key)?.items ?? NO_WORKERS,
    set(key: string, sequence: number, worker: Worker): void {
      let list = lists.get(key);
      if (!list) lists.set(key, (list = createSequenceList()));
      list.set(sequence, worker);
    },
    delete(key: string, sequence: number): void {
      const list = lists.get(key);
      list?.delete(sequence);
      if (list?.items.length === 0) lists.delete(key);
    },
  };
}

export function createFleetIndex(): FleetIndex {
  const workers = createSequenceList<Worker>();
  const byPool = createLists();
  const byHost = createLists();
  const draining = new Set<string>();
  return {
    fleet: {
      workers: workers.items,
      workersIn: byPool.get,
      newestOn: host => newestOf(byHost.get(host)),
      draining,
    },
    update(before, after) {
      if (before) {
        const {value: worker, sequence} = before;
        if (!after) workers.delete(sequence);
        if (after?.value.pool !== worker.pool) {
          byPool.delete(worker.pool, sequence);
        }
        if (after?.value.host !== worker.host) {
          byHost.delete(worker.host, sequence);
        }
        draining.delete(workerKey(worker));
      }
      if (!after) return;
      const {value: worker, sequence} = after;
      workers.set(sequence, worker);
      byPool.set(worker.pool, sequence, worker);
      byHost.set(worker.host, sequence, worker);
      if (worker.phase === 'draining') draining.add(workerKey(worker));
    },
  };
}
