/** A replicated state without peers, held in memory. */
import {
  Replica,
  type AppliedChange,
  type CommitResult,
  type StateMachine,
  type ReplicaStatus,
} from './replica.js';

/**
 * The only replica of its group. Every change is committed at once, and the
 * state is lost when the process ends.
 */
export class SoloReplica<S, C, A> extends Replica<S, C, A> {
  private current: S;
  private readonly listeners = new Set<
    (applied: AppliedChange<S, C, A>) => void
  >();

  constructor(private readonly stateMachine: StateMachine<S, C, A>) {
    super();
    this.current = stateMachine.initial;
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
      revision: this.stateMachine.revision(this.current),
      voters: ['solo'],
      learners: [],
      completeLearners: [],
      retired: [],
    };
  }

  override async propose(change: C): Promise<CommitResult<A>> {
    const {state, answer} = this.stateMachine.apply(this.current, change);
    this.current = state;
    for (const listener of this.listeners) listener({state, change, answer});
    return {answer, revision: this.stateMachine.revision(state)};
  }

  override async readIndex(): Promise<number> {
    return this.stateMachine.revision(this.current);
  }

  override async waitForRevision(): Promise<void> {}

  override onApply(
    listener: (applied: AppliedChange<S, C, A>) => void,
  ): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  override async stop(): Promise<void> {}
}
