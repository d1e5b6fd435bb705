/** Workers as the directory holds them. */
import {z} from 'zod';
import {Size} from './size.js';

export const WorkerPhase = z.enum(['ready', 'draining', 'gone']);
export type WorkerPhase = z.infer<typeof WorkerPhase>;

/** One incarnation of a worker process. */
export const Worker = z.object({
  id: z.string(),
  /** Start of the incarnation, Unix time of the worker. */
  bornMs: z.number(),
  /** The machine that it runs on; empty if it does not say. */
  host: z.string(),
  pool: z.string(),
  /** `ip:port` for orders. */
  address: z.string(),
  dataCentre: z.string(),
  capacity: Size,
  labels: z.array(z.string()),
  phase: WorkerPhase,
  /** Number of the announcement that this row comes from. */
  sequence: z.number(),
  /** Ends up to this number are on record. */
  cursor: z.int().nonnegative(),
});
export type Worker = z.infer<typeof Worker>;

export function workerKey({id, bornMs}: Pick<Worker, 'id' | 'bornMs'>) {
  return `${id}@${bornMs}`;
}

/** Racks are named by labels of this form. */
const RACK = /^r\d+-\d+$/;

export function rackOf({labels}: Worker): string | undefined {
  return labels.find(label => RACK.test(label));
}
