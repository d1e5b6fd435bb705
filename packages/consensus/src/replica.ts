/** The interface of a replica to the rest of the system. */
import type {MemberChange} from './members.js';

/** The state machine that the log replicates; every function is pure. */
export interface StateMachine<S, C, A> {
  readonly initial: S;
  apply(state: S, change: C): {state: S; answer: A};
  /**
   * Returns the number of changes that led to the state, which equals the
   * revision of the last one's log entry.
   */
  revision(state: S): number;
}

/** A committed change, with its answer and the state after it. */
export interface AppliedChange<S, C, A> {
  readonly state: S;
  readonly change: C;
  readonly answer: A;
}

/** The state machine's answer to a committed change, and its revision. */
export interface CommitResult<A> {
  readonly answer: A;
  readonly revision: number;
}

export interface ReplicaStatus {
  readonly member: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  /** Member ID of the leader, or `undefined` if this replica knows none. */
  readonly leader: string | undefined;
  readonly revision: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /**
   * Learners that have caught up with the committed entries and could vote;
   * empty unless this replica leads.
   */
  readonly completeLearners: readonly string[];
  /** Members that were removed and have not joined again. */
  readonly retired: readonly string[];
}

/** This replica is not the leader, so nothing was proposed. */
export class NotLeader extends Error {
  constructor(readonly leader: string | undefined) {
    super(`not the leader; the leader is ${leader ?? 'unknown'}`);
    this.name = 'NotLeader';
  }
}

/**
 * Leadership ended before the change was committed; a later leader may still
 * commit it.
 */
export class OutcomeUnknown extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'OutcomeUnknown';
  }
}

/** The leader refused a change of state or membership, which has no effect. */
export class ChangeRefused extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'ChangeRefused';
  }
}

export interface ReadOptions {
  /**
   * Waits for the next regular heartbeat round instead of starting one, so
   * that recurring reads, such as those of entry hosts, cost no messages.
   */
  readonly patient?: boolean;
}

export abstract class Replica<S, C, A> {
  /** Returns the state after the last applied change. */
  abstract state(): S;
  abstract status(): ReplicaStatus;
  /**
   * Whether this replica leads and a majority has answered a heartbeat round
   * that began within the shortest election timeout. Unlike `status`, the
   * result depends on the present time, so that a process that was frozen
   * learns of a possible new leader before anything else runs.
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
   * Resolves with a revision that includes every change acknowledged before
   * the call, once a majority has answered a heartbeat round that began after
   * the call (ReadIndex in Raft). Rejects with `NotLeader` if this replica does
   * not lead or loses leadership before the round is answered.
   */
  abstract readIndex(options?: ReadOptions): Promise<number>;
  /** Resolves once the applied state includes `revision`. */
  abstract waitForRevision(revision: number): Promise<void>;
  /** Calls `listener` for each applied change; returns a function to stop. */
  abstract onApply(
    listener: (applied: AppliedChange<S, C, A>) => void,
  ): () => void;
  /**
   * Calls `listener` when the role, term, leader or membership changes;
   * returns a function to stop.
   */
  onStatusChange(listener: (status: ReplicaStatus) => void): () => void {
    // The status of a replica with a fixed role and membership never changes.
    void listener;
    return () => {};
  }
  /**
   * Changes the membership by one member; resolves once that is committed.
   * Rejects with `NotLeader`, `OutcomeUnknown` or `ChangeRefused`.
   */
  async changeMembers(change: MemberChange): Promise<void> {
    throw new ChangeRefused(`cannot ${change.type}: membership is fixed`);
  }
  /**
   * If this replica leads, hands leadership to `member`, or to the voter whose
   * log is the most complete. Best effort: the transfer may fail.
   */
  transferLeadership(member?: string): void {
    void member;
  }
  /** Hands leadership over if this replica leads, then stops. */
  abstract stop(): Promise<void>;
}
