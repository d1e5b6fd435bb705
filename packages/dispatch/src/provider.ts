/** What the leader asks of the provider of hosts and of placement advice. */
import {Size} from '@lentildrift/queue';
import {z} from 'zod';

export const ProvidedHost = z.object({
  id: z.string(),
  pool: z.string(),
  state: z.enum(['up', 'moving', 'upkeep', 'down']),
  capacity: Size,
  labels: z.array(z.string()),
  /** ID of the worker that runs on it; empty if there is none. */
  worker: z.string(),
});
export type ProvidedHost = z.infer<typeof ProvidedHost>;

/** Who gives an order to a host, and with which fencing token. */
export interface OrderIssuer {
  readonly holder: string;
  readonly token: number;
  /**
   * Whether the order may still be given; asked when it is about to leave,
   * since the process may have been frozen meanwhile.
   */
  isCurrent(): boolean;
}

export type HostAnswer =
  'accepted' | 'busy' | 'fenced' | 'refused' | 'slow-down';

/** A rejection of any call says nothing about what has taken effect. */
export abstract class HostProvider {
  abstract list(): Promise<ProvidedHost[]>;
  /** Ends everything on the host; it joins the pool as a new worker. */
  abstract move(
    host: string,
    pool: string,
    issuer: OrderIssuer,
  ): Promise<HostAnswer>;
  /** Ends everything on the host, which comes back as a new worker. */
  abstract maintain(
    host: string,
    wave: number,
    issuer: OrderIssuer,
  ): Promise<HostAnswer>;
}

export const AdviceAnswer = z.object({
  tickets: z.array(z.object({worker: z.string(), ticket: z.string()})),
  /** How long the tickets are valid. */
  validMs: z.number(),
});
export type AdviceAnswer = z.infer<typeof AdviceAnswer>;

export abstract class Adviser {
  /** Workers that may run the step, with the tickets for starts there. */
  abstract advise(
    step: string,
    workers: readonly string[],
  ): Promise<AdviceAnswer>;
}
