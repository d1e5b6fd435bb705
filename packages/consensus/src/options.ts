/** What a replica is made of. */
import type {LogStore} from '@lentildrift/storage';
import type {TaskSystem} from '@lentildrift/task';
import type {Codec} from './codec.js';
import type {StateMachine} from './replica.js';
import type {Rules} from './rules.js';
import type {PeerTransport} from './transport.js';

export interface RaftOptions<S, C, A> {
  readonly member: string;
  readonly group: string;
  /** Seed of the election timeouts; differs between members. */
  readonly seed: number;
  readonly stateMachine: StateMachine<S, C, A>;
  readonly codec: Codec<S, C>;
  readonly store: LogStore;
  readonly transport: PeerTransport;
  readonly tasks: TaskSystem;
  /**
   * Voters of a group that is being founded, equal on all of them. Used only
   * if the store is empty and this member is among them.
   */
  readonly initialVoters?: readonly string[];
  readonly rules?: Rules;
  readonly changesPerSnapshot?: number;
  /**
   * The store failed or an invariant is broken. The replica has stopped and
   * acknowledges nothing more; the process must exit.
   */
  onFatal(error: Error): void;
}
