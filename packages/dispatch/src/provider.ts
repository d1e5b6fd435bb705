/**
 * The calls that the leader makes to the host provider and placement adviser.
 */
import {Size} from '@lentildrift/queue';
import {z} from 'zod';

/** A host in the list of the host provider. */
export const ProvidedHost = z.object({
  id: z.string(),
  pool: z.string(),
  state: z.enum(['up', 'moving', 'upkeep', 'down']),
  capacity: Size,
  labels: z.array(z.string()),
  /** Absent if the provider does not tell. */
  dataCentre: z.string().optional(),
  /** ID of the worker that runs on the host; empty if there is none. */
  worker: z.string(),
});
export type ProvidedHost = z.infer<typeof ProvidedHost>;

/** The leader on whose behalf an order to a host is sent. */
export interface OrderIssuer {
  /** Name under which the leader's process calls the host provider. */
  readonly holder: string;
  /** The leader's fencing token. */
  readonly token: number;
  /**
   * Whether this process still leads. Checked again just before an order is
   * sent, since the process may have been frozen after it decided on the order.
   */
  isCurrent(): boolean;
}

/**
 * The host provider's answer to an order. `fenced`: the fencing token is too
 * low; `slow-down`: the order was rate-limited and should be retried.
 */
export type HostAnswer =
  'accepted' | 'busy' | 'fenced' | 'refused' | 'slow-down';

/** If a call rejects, it is unknown whether the order took effect. */
export abstract class HostProvider {
  abstract list(): Promise<ProvidedHost[]>;
  /** Ends all runs on the host, which joins the pool with a new worker. */
  abstract move(
    host: string,
    pool: string,
    issuer: OrderIssuer,
  ): Promise<HostAnswer>;
  /** Ends all runs on the host, which returns with a new worker. */
  abstract maintain(
    host: string,
    wave: number,
    issuer: OrderIssuer,
  ): Promise<HostAnswer>;
}

/** The placement adviser's answer for one step. */
export const AdviceAnswer = z.object({
  /** The workers that may run the step, with the ticket for a start on each. */
  tickets: z.array(z.object({worker: z.string(), ticket: z.string()})),
  /** How long the tickets are valid. */
  validMs: z.number(),
});
export type AdviceAnswer = z.infer<typeof AdviceAnswer>;

export abstract class Adviser {
  /** Largest number of workers that one call may name. */
  abstract readonly maxWorkersPerCall: number;

  /** Asks which of the workers, named by ID, may run the step. */
  abstract advise(
    step: string,
    workers: readonly string[],
  ): Promise<AdviceAnswer>;
}
