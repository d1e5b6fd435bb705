/** A replica of the replicated state, as the rest of the system sees it. */
import type {MemberChange} from './members.js';

/** The state machine that the log drives; every function is pure. */
export interface StateMachine<S, C, A> {
  readonly initial: S;
  apply(state: S, change: C): {state: S; answer: A};
  /** Number of changes in the state; equals the log index of the last one. */
  revision(state: S): number;
}

/** A committed change, and what it led to on this replica. */
export interface AppliedChange<S, C, A> {
  readonly state: S;
  readonly change: C;
  readonly answer: A;
}

export interface CommitResult<A> {
  readonly answer: A;
  readonly revision: number;
}

export interface ReplicaStatus {
  readonly member: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  /** Member ID of the leader, as far as this replica knows. */
  readonly leader: string | undefined;
  readonly revision: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
}

/** The replica does not lead: the change was not proposed. */
export class NotLeader extends Error {
  constructor(readonly leader: string | undefined) {
    super(`not the leader; the leader is ${leader ?? 'unknown'}`);
    this.name = 'NotLeader';
  }
}

/** Leadership ended before the change was committed: it may be later. */
export class OutcomeUnknown extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'OutcomeUnknown';
  }
}

/** The group refused a change of its state or membership; it is not made. */
export class ChangeRefused extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'ChangeRefused';
  }
}

export interface ReadOptions {
  /**
   * Waits for the next regular heartbeat round instead of beginning one. Reads
   * that recur, such as those of entry hosts, then cost no messages.
   */
  readonly patient?: boolean;
}

export abstract class Replica<S, C, A> {
  /** The applied state. */
  abstract state(): S;
  abstract status(): ReplicaStatus;
  /**
   * Whether it leads and a majority has answered within the shortest election
   * timeout. Unlike `status` it takes the present time into account, so that
   * a process that was frozen notices before anything else runs.
   */
  isConfirmedLeader(): boolean {
    return this.status().role === 'leader';
  }
  /**
   * Resolves once the change is durable on a majority and applied here.
   * Rejects with `NotLeader` or `OutcomeUnknown`.
   */
  abstract propose(change: C): Promise<CommitResult<A>>;
  /**
   * A revision that includes every change acknowledged before the call,
   * confirmed by a round to a majority that began after it. Rejects with
   * `NotLeader` when this replica does not lead or cannot confirm it.
   */
  abstract readIndex(options?: ReadOptions): Promise<number>;
  /** Resolves once the applied state includes `revision`. */
  abstract waitForRevision(revision: number): Promise<void>;
  /** Calls `listener` for each applied change; returns a way to end that. */
  abstract onApply(
    listener: (applied: AppliedChange<S, C, A>) => void,
  ): () => void;
  /**
   * Calls `listener` when the role, term, leader or membership changes;
   * returns a way to end that.
   */
  onStatusChange(listener: (status: ReplicaStatus) => void): () => void {
    // A replica with a fixed role never has anything to report.
    void listener;
    return () => {};
  }
  /**
   * Changes the membership by one member; resolves once it is committed.
   * Rejects with `NotLeader`, `OutcomeUnknown` or `ChangeRefused`.
   */
  async changeMembers(change: MemberChange): Promise<void> {
    throw new ChangeRefused(`cannot ${change.type}: membership is fixed`);
  }
  /** Asks the leader to hand over, to `member` if given; best effort. */
  transferLeadership(member?: string): void {
    void member;
  }
  /** Hands leadership over if it leads, then stops. */
  abstract stop(): Promise<void>;
}
