/** A group of one replica, in memory. */
import {
  Replica,
  type Applied,
  type Committed,
  type Machine,
  type ReplicaStatus,
} from './replica.js';

/** Every change is committed at once; nothing outlives the process. */
export class SoloReplica<S, C, A> extends Replica<S, C, A> {
  private current: S;
  private readonly listeners = new Set<(a: Applied<S, C, A>) => void>();

  constructor(private readonly machine: Machine<S, C, A>) {
    super();
    this.current = machine.initial;
  }

  override state(): S {
    return this.current;
  }

  override status(): ReplicaStatus {
    return {
      member: 'solo',
      role: 'leader',
      term: 1,
      leader: 'solo',
      revision: this.machine.revision(this.current),
      voters: ['solo'],
      learners: [],
    };
  }

  override async propose(change: C): Promise<Committed<A>> {
    const {state, answer} = this.machine.apply(this.current, change);
    this.current = state;
    for (const listener of this.listeners) listener({state, change, answer});
    return {answer, revision: this.machine.revision(state)};
  }

  override async readIndex(): Promise<number> {
    return this.machine.revision(this.current);
  }

  override async reached(): Promise<void> {}

  override watch(listener: (applied: Applied<S, C, A>) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  override async stop(): Promise<void> {}
}
