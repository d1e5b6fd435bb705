/** Options of a replica. */
import type {LogStore} from '@lentildrift/storage';
import type {TaskSystem} from '@lentildrift/task';
import type {Codec} from './codec.js';
import type {StateMachine} from './replica.js';
import type {Rules} from './rules.js';
import type {PeerTransport} from './transport.js';

export interface RaftOptions<S, C, A> {
  /** ID of this member; a host that lost its disk must use another one. */
  readonly member: string;
  readonly group: string;
  /** Seed of the random election timeouts; must differ between members. */
  readonly seed: number;
  readonly stateMachine: StateMachine<S, C, A>;
  readonly codec: Codec<S, C>;
  readonly store: LogStore;
  readonly transport: PeerTransport;
  readonly tasks: TaskSystem;
  /**
   * Voters that bootstrap a new group; must be the same on each of them. Used
   * only if the store is empty and this member is one of them.
   */
  readonly initialVoters?: readonly string[];
  readonly rules?: Rules;
  /** Number of changes after which a new snapshot compacts the log. */
  readonly changesPerSnapshot?: number;
  /**
   * Called when the store failed or an invariant is broken. The replica has
   * stopped and acknowledges nothing more; the process must exit.
   */
  onFatal(error: Error): void;
}
