/** What the leader asks of workers; the adapter speaks their protocol. */
import {EndKind} from '@lentildrift/queue';
import {z} from 'zod';

/** A run that is under way on a worker. */
export const RunningRow = z.object({
  task: z.string(),
  run: z.number(),
  checkpoint: z.string(),
  /** Progress; for a lasting task 100 means that it is at work. */
  percent: z.number(),
  /**
   * Over the last half second: tail of response times in milliseconds for a
   * task that serves users, else cores in use in thousandths.
   */
  measure: z.number(),
});
export type RunningRow = z.infer<typeof RunningRow>;

export const EndedRow = z.object({
  /** Rises with each end of the incarnation. */
  number: z.number(),
  task: z.string(),
  run: z.number(),
  how: EndKind,
  checkpoint: z.string(),
});
export type EndedRow = z.infer<typeof EndedRow>;

/** What a worker says of its runs. */
export const Report = z.object({
  bornMs: z.number(),
  /** The worker's clock when it answered. */
  clockMs: z.number(),
  running: z.array(RunningRow),
  ended: z.array(EndedRow),
});
export type Report = z.infer<typeof Report>;

/** Whom an order is meant for. */
export interface Target {
  readonly id: string;
  readonly address: string;
}

export interface HoldOrder {
  /** Token of the leader; the worker ignores lower ones from then on. */
  readonly token: number;
  /** Ends up to this number are on record and may be forgotten. */
  readonly cursor: number;
  /** End of the lease on the worker's clock; absent at first contact. */
  readonly leaseUntilMs?: number;
  /** How long the worker may wait for an end before it answers. */
  readonly waitMs: number;
}

export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly token: number;
  readonly payload: string;
  readonly leaseUntilMs: number;
  readonly checkpoint: string;
  readonly ticket?: string;
}

export interface RunOrder {
  readonly task: string;
  readonly run: number;
  readonly token: number;
}

/** A refusal is certain: the order has no effect, now or later. */
export type OrderAnswer =
  | {readonly ok: true}
  | {
      readonly ok: false;
      readonly reason:
        | 'fenced'
        | 'superseded'
        | 'late'
        | 'no-room'
        | 'ticket'
        | 'unhealthy'
        | 'wrong-worker'
        | 'invalid';
    };

/** A rejection of any call says nothing about what has taken effect. */
export abstract class WorkerDriver {
  abstract hold(target: Target, order: HoldOrder): Promise<Report>;
  abstract start(target: Target, order: StartOrder): Promise<OrderAnswer>;
  abstract stop(target: Target, order: RunOrder): Promise<OrderAnswer>;
  abstract pace(
    target: Target,
    order: RunOrder & {percent: number},
  ): Promise<OrderAnswer>;
  abstract forget(target: Target): void;
}
