/**
 * The calls that the leader makes to workers. An adapter outside this package
 * implements them in the workers' protocol.
 */
import {EndKind} from '@lentildrift/queue';
import {z} from 'zod';

/** A run that is in progress on a worker. */
export const RunningRow = z.object({
  task: z.string(),
  run: z.number(),
  checkpoint: z.string(),
  /** Progress in percent; for a long-running task 100 means ready. */
  percent: z.number(),
  /**
   * Measured over the last half second: the tail latency in milliseconds for a
   * task that serves users, otherwise the CPU in use in thousandths of a core.
   */
  measure: z.number(),
});
export type RunningRow = z.infer<typeof RunningRow>;

/** A run that has ended on a worker and is not yet acknowledged. */
export const EndedRow = z.object({
  /** Sequence number of the end, rising within one incarnation. */
  number: z.number(),
  task: z.string(),
  run: z.number(),
  /** How the run ended. */
  how: EndKind,
  checkpoint: z.string(),
});
export type EndedRow = z.infer<typeof EndedRow>;

/** A worker's report of its runs. */
export const Report = z.object({
  /** Start time of the worker's incarnation, which identifies it. */
  bornMs: z.number(),
  /** The worker's clock when it answered. */
  clockMs: z.number(),
  /** All runs in progress. */
  running: z.array(RunningRow),
  /** The first ends that are not acknowledged, by rising number. */
  ended: z.array(EndedRow),
  /**
   * Whether `ended` has all of them. If not, a run that the report lacks may
   * have ended.
   */
  isComplete: z.boolean(),
});
export type Report = z.infer<typeof Report>;

/** The worker that an order is addressed to. */
export interface Target {
  readonly id: string;
  readonly address: string;
  /** Data centre of the worker; undefined if it does not matter. */
  readonly dataCentre?: string;
  /**
   * Number of the incarnation that is meant; see `Incarnations`. A worker that
   * has received a call ignores those with a lower token, and those with the
   * same token and a lower number.
   */
  readonly incarnation: number;
}

/**
 * Asked right before a call is sent, which may be later than it was made. If the
 * result is false, the call is not sent and rejects.
 */
export type MaySend = () => boolean;

/** Asks for a report, renews the lease and acknowledges ends. */
export interface HoldOrder {
  /** The leader's fencing token; the worker refuses lower ones from then on. */
  readonly token: number;
  /** Ends up to this number are recorded; the worker may discard them. */
  readonly cursor: number;
  /**
   * End of the lease on the worker's clock; absent while the worker does not
   * answer, since such a hold renews no lease.
   */
  readonly leaseUntilMs?: number;
  /** How long the worker may wait for a run to end before it answers. */
  readonly waitMs: number;
}

/** Starts a run from its last checkpoint. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly token: number;
  readonly payload: string;
  /** End of the run's lease on the worker's clock. */
  readonly leaseUntilMs: number;
  readonly checkpoint: string;
  /** Permission of the placement adviser, for queues that demand advice. */
  readonly ticket?: string;
}

/** Names the run that an order to stop or pace applies to. */
export interface RunOrder {
  readonly task: string;
  readonly run: number;
  readonly token: number;
}

/** A refusal is definite: the order has no effect, now or later. */
export type OrderAnswer =
  /** `clockMs`: the worker's clock when it answered, if the answer has it. */
  | {readonly ok: true; readonly clockMs?: number}
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

/**
 * Whether the worker can no longer execute the run after this answer to a stop.
 * An unhealthy worker has done nothing, so the run may go on, and a start that
 * is in flight may still be carried out.
 */
export function isStopSettled(answer: OrderAnswer): boolean {
  return answer.ok || answer.reason !== 'unhealthy';
}

/**
 * If a call rejects, it is unknown whether the order took effect; only an
 * `OrderAnswer` or a report shows that.
 */
export abstract class WorkerDriver {
  /**
   * Long poll: renews the lease, acknowledges ends, and returns a report as
   * soon as a run has ended or `waitMs` is over.
   */
  abstract hold(
    target: Target,
    order: HoldOrder,
    maySend?: MaySend,
  ): Promise<Report>;
  abstract start(
    target: Target,
    order: StartOrder,
    maySend?: MaySend,
  ): Promise<OrderAnswer>;
  abstract stop(
    target: Target,
    order: RunOrder,
    maySend?: MaySend,
  ): Promise<OrderAnswer>;
  /** Sets the pace of a filler task to a percentage of its full speed. */
  abstract pace(
    target: Target,
    order: RunOrder & {percent: number},
    maySend?: MaySend,
  ): Promise<OrderAnswer>;
  /** Releases what is kept for calls to this worker, such as connections. */
  abstract forget(target: Target): void;
}
