/** Workers as the replicated state holds them. */
import {z} from 'zod';
import {Size} from './size.js';

export const WorkerPhase = z.enum(['ready', 'draining', 'gone']);
export type WorkerPhase = z.infer<typeof WorkerPhase>;

/** One incarnation of a worker process. */
export const Worker = z.object({
  id: z.string(),
  /** Unix time, by the worker's clock, at which the incarnation started. */
  bornMs: z.number(),
  /**
   * Host that the worker runs on; empty if the worker does not report its host.
   */
  host: z.string(),
  pool: z.string(),
  /** `ip:port` at which the worker accepts orders. */
  address: z.string(),
  dataCentre: z.string(),
  capacity: Size,
  labels: z.array(z.string()),
  phase: WorkerPhase,
  /** Number of the announcement that these values come from. */
  sequence: z.number(),
  /** Run ends up to this number have been recorded. */
  cursor: z.int().nonnegative(),
  /**
   * Tasks that may have crashed the worker, whose lease has expired; absent if
   * there are none, or once it is known whether the worker has crashed.
   */
  suspects: z.array(z.string()).optional(),
  /**
   * Token of the leader that suspended the leases of the worker: no leader from
   * that one on has granted a lease to any of its incarnations. Absent if the
   * last leader may have granted one.
   */
  suspendedSince: z.int().nonnegative().optional(),
});
export type Worker = z.infer<typeof Worker>;

type Incarnation = Pick<Worker, 'id' | 'bornMs'>;

/** Keys that were built; a round looks up each worker of a pool by its key. */
const keys = new WeakMap<Incarnation, string>();

/** Key of a worker's incarnation. */
export function workerKey(worker: Incarnation): string {
  let key = keys.get(worker);
  if (key === undefined) {
    key = `${worker.id}@${worker.bornMs}`;
    keys.set(worker, key);
  }
  return key;
}

/** Form of the labels that name a rack, such as `r1-2`. */
const RACK = /^r\d+-\d+$/;

/** The worker's rack; undefined if no label names one. */
export function rackOf({labels}: Worker): string | undefined {
  return labels.find(label => RACK.test(label));
}
