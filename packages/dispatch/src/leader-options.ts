/** What the leader and its modules get from the process that leads. */
import type {Replica} from '@lentildrift/consensus';
import type {Log, Metrics} from '@lentildrift/observe';
import type {Change, Outcome, State} from '@lentildrift/queue';
import type {
  Admission,
  CopyPolicy,
  DisplacementPolicy,
  JobOrder,
  Placement,
  PoolPolicy,
  ReturnOrder,
  ShareRule,
  WavePolicy,
} from '@lentildrift/scheduling';
import type {TaskSystem} from '@lentildrift/task';
import type {WorkerDriver} from './driver.js';
import type {HostOrderGuard} from './host-order-guard.js';
import type {Adviser, HostProvider} from './provider.js';

/** The member of the replicated log that this process runs. */
export type QueueReplica = Replica<State, Change, readonly Outcome[]>;

/** What a leader needs from its process. */
export interface LeaderOptions {
  readonly replica: QueueReplica;
  /**
   * Fencing token: higher for each later leader, and part of every order, so
   * that workers refuse the orders of earlier leaders.
   */
  readonly token: number;
  /** Name under which this process calls the host provider. */
  readonly holder: string;
  /**
   * Identifies this incarnation of the process in the records of its host
   * orders; a restarted process has another one.
   */
  readonly processId: string;
  readonly hostOrderGuard: HostOrderGuard;
  readonly driver: WorkerDriver;
  readonly hosts: HostProvider;
  readonly adviser: Adviser;
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly order?: JobOrder;
  readonly placement?: Placement;
  readonly pools?: PoolPolicy;
  readonly waves?: WavePolicy;
  readonly admission?: Admission;
  /** Teams have no shares if it is absent. */
  readonly shareRule?: ShareRule;
  /** Creates the order in which refused callers return; `PacedReturns` if absent. */
  readonly createReturns?: () => ReturnOrder;
  /** No copies if it is absent. */
  readonly copies?: CopyPolicy;
  /** Nothing is displaced if it is absent. */
  readonly displacement?: DisplacementPolicy;
  /** Largest number of workers; a default if absent. */
  readonly maxWorkers?: number | undefined;
  /** Monotonic time at which this process was elected, for its log lines. */
  readonly electedMs?: number;
  /**
   * Monotonic time at which this process knew that the leader with this token,
   * or a later one, had been elected; `electedMs` if absent.
   */
  knownElectionMs?(token: number): number;
  /**
   * How long the group had no leader before, as far as this process knows; 0 if
   * absent.
   */
  readonly leaderlessMs?: number;
  /** Whether this process is still the leader, by its own knowledge. */
  isLeader(): boolean;
}
