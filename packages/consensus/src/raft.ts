/**
 * The replica task, which owns the log store, the Raft state and the applied
 * state.
 *
 * Besides changes, the log holds internal entries: one no-op per term and the
 * membership changes. Every entry therefore also has a revision, which counts
 * only the changes. Code outside `step` uses revisions instead of log indexes.
 */
import type {LogRecord, Snapshot} from '@lentildrift/storage';
import {
  startInputTimeout,
  TaskStoppedError,
  type InputTimeout,
  type Task,
} from '@lentildrift/task';
import {recordAt} from './log.js';
import {quorumSize, type MemberChange} from './members.js';
import type {PeerMessage} from './message.js';
import {
  nextTickMs,
  nextToApply,
  membershipAt,
  type RaftEvent,
  type Effect,
  type Node,
} from './node.js';
import {
  ChangeRefused,
  Replica,
  type AppliedChange,
  type CommitResult,
  type ReadOptions,
  type ReplicaStatus,
} from './replica.js';
import type {RaftOptions} from './options.js';
import {createOwnChanges} from './own-changes.js';
import {createPendingRequests, type PendingRequests} from './requests.js';
import {getStatus} from './status.js';
import {step} from './step.js';
import {createWriter, type Writer} from './writer.js';

/** Number of changes between two snapshots. */
const DEFAULT_CHANGES_PER_SNAPSHOT = 1000;
/** Longest wait on `stop` until another member has become leader. */
const TRANSFER_TIMEOUT_MS = 1500;

/** `apply` continues to apply entries in a later turn. */
type TaskMessage = RaftEvent | {readonly type: 'apply'};

export class RaftReplica<S, C, A> extends Replica<S, C, A> {
  private node: Node;
  private appliedState: S;
  private readonly task: Task<TaskMessage>;
  private readonly writer: Writer;
  private readonly requests: PendingRequests<A>;
  private proposals: {id: number; text: string}[] = [];
  private readonly ownChanges = createOwnChanges<C>();
  private readonly applyListeners = new Set<
    (applied: AppliedChange<S, C, A>) => void
  >();
  private readonly statusListeners = new Set<(status: ReplicaStatus) => void>();
  private timer: {at: number; timeout: InputTimeout} | undefined;
  private compactedRevision: number;
  /** Start times of the recent heartbeat rounds, by the number of the round. */
  private readonly roundStarts = new Map<
    number,
    {monotonicMs: number; wallClockMs: number}
  >();
  private isApplyScheduled = false;
  private isStopped = false;

  /** Call `startRaft` instead. */
  constructor(
    private readonly options: RaftOptions<S, C, A>,
    node: Node,
  ) {
    super();
    const {stateMachine, codec, store, tasks} = options;
    this.node = node;
    this.appliedState = node.snapshot
      ? codec.decodeState(node.snapshot.state)
      : stateMachine.initial;
    this.compactedRevision = node.log.base.revision;
    this.requests = createPendingRequests();
    this.writer = createWriter(store, {
      onDurable: seq => this.post({type: 'persisted', seq}),
      onCompacted: snapshot => this.post({type: 'compacted', snapshot}),
      onFailure: error => this.fail(error),
    });
    this.task = tasks.spawn<Node, TaskMessage>({
      name: `replica-${options.member}`,
      initial: node,
      handle: (state, message) => {
        try {
          return message.type === 'apply'
            ? this.continueApplying()
            : this.handle(state, message);
        } catch (error) {
          // An invariant is broken, and going on could spread the damage.
          this.fail(error as Error);
          throw error;
        }
      },
    });
    this.scheduleTick();
  }

  override state(): S {
    return this.appliedState;
  }

  override status(): ReplicaStatus {
    return getStatus(
      this.node,
      this.options.stateMachine.revision(this.appliedState),
    );
  }

  override isConfirmedLeader(): boolean {
    const {role, membership, peers, id} = this.node;
    if (this.isStopped || role !== 'leader') return false;
    const active = membership.voters.filter(
      voter => voter === id || this.isRecent(peers[voter]?.ackedRound),
    );
    return active.length >= quorumSize(membership);
  }

  /**
   * Whether the heartbeat round began within the shortest election timeout.
   * The time at which its answers arrived proves nothing, since they may have
   * waited while this process was frozen. The wall clock is compared as well,
   * because the monotonic clock may stop while a host is suspended.
   */
  private isRecent(round: number | undefined): boolean {
    const start = round === undefined ? undefined : this.roundStarts.get(round);
    if (!start) return false;
    const {minElectionTimeoutMs} = this.node.rules;
    const monotonicMs = performance.now() - start.monotonicMs;
    const wallClockMs = Math.abs(Date.now() - start.wallClockMs);
    return (
      monotonicMs < minElectionTimeoutMs && wallClockMs < minElectionTimeoutMs
    );
  }

  private recordRound(round: number): void {
    const nowMs = performance.now();
    this.roundStarts.set(round, {monotonicMs: nowMs, wallClockMs: Date.now()});
    for (const [earlier, {monotonicMs}] of this.roundStarts) {
      if (nowMs - monotonicMs < this.node.rules.minElectionTimeoutMs) break;
      this.roundStarts.delete(earlier);
    }
  }

  override async propose(change: C): Promise<CommitResult<A>> {
    const {codec} = this.options;
    const text = codec.encodeChange(change);
    const decoded = this.decodeProposed(text);
    return this.requests.submitChange(id => {
      this.ownChanges.note(id, text, decoded);
      if (this.proposals.length === 0) {
        // Changes join this batch until the task handles the event, so that
        // one append takes all of them.
        this.proposals = [];
        this.post({type: 'propose', changes: this.proposals});
      }
      this.proposals.push({id, text});
    });
  }

  /**
   * An entry that cannot be decoded would end every member that applies it, also
   * after each restart.
   */
  private decodeProposed(text: string): C {
    try {
      return this.options.codec.decodeChange(text);
    } catch (error) {
      const {message} = error as Error;
      throw new ChangeRefused(`the change cannot be decoded: ${message}`);
    }
  }

  override readIndex({patient = false}: ReadOptions = {}): Promise<number> {
    return this.requests.submitRead(id =>
      this.post({type: 'read', id, patient}),
    );
  }

  override waitForRevision(revision: number): Promise<void> {
    return this.requests.waitForRevision(
      revision,
      this.options.stateMachine.revision(this.appliedState),
    );
  }

  override onApply(
    listener: (applied: AppliedChange<S, C, A>) => void,
  ): () => void {
    this.applyListeners.add(listener);
    return () => this.applyListeners.delete(listener);
  }

  override onStatusChange(
    listener: (status: ReplicaStatus) => void,
  ): () => void {
    this.statusListeners.add(listener);
    return () => this.statusListeners.delete(listener);
  }

  override changeMembers(change: MemberChange): Promise<void> {
    return this.requests.submitMemberChange(id =>
      this.post({type: 'members', id, change}),
    );
  }

  override transferLeadership(member?: string): void {
    this.post(member ? {type: 'transfer', to: member} : {type: 'transfer'});
  }

  /**
   * Bootstraps a group of `voters`, which include this member. Only one member
   * of the group may call this. Ignored if this member already has a group.
   */
  bootstrap(voters: readonly string[]): void {
    this.post({type: 'bootstrap', voters});
  }

  /** Handles the messages that the transport received from member `from`. */
  receive(from: string, messages: readonly PeerMessage[]): void {
    for (const message of messages) {
      if (message.from !== from || this.isStopped) continue;
      this.task.post({type: 'receive', message});
    }
  }

  override async stop(): Promise<void> {
    if (this.isStopped) return;
    const hasPeers = this.node.membership.voters.length > 1;
    if (this.node.role === 'leader' && hasPeers) await this.transferAndWait();
    await this.shutDown();
    await this.writer.waitUntilIdle();
    await this.options.store.close();
  }

  /** Stops at once, without transferring leadership or waiting for writes. */
  kill(): void {
    void this.shutDown();
  }

  private async transferAndWait(): Promise<void> {
    this.transferLeadership();
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, TRANSFER_TIMEOUT_MS);
      this.onStatusChange(({role}) => {
        if (role === 'leader') return;
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private async shutDown(): Promise<void> {
    if (this.isStopped) return;
    this.isStopped = true;
    this.timer?.timeout.cancel();
    this.requests.rejectAll(new TaskStoppedError(this.task.name));
    await this.task.stop();
  }

  private fail(error: Error): void {
    if (this.isStopped) return;
    void this.shutDown();
    this.options.onFatal(error);
  }

  private post(message: TaskMessage): void {
    if (this.isStopped || !this.task.post(message)) {
      this.requests.rejectAll(new TaskStoppedError(this.task.name));
    }
  }

  private handle(node: Node, event: RaftEvent): Node {
    if (this.isStopped) return node;
    if (event.type === 'propose') this.proposals = [];
    const next = step(node, {...event, nowMs: performance.now()});
    this.node = next.node;
    if (next.node.round !== node.round) this.recordRound(next.node.round);
    this.performEffects(next.effects);
    // Entries stay in order: while a later turn is to apply the next ones, no
    // other event does.
    if (!this.isApplyScheduled) this.applySlice();
    if (node.role === 'leader' && next.node.role !== 'leader') {
      this.ownChanges.clear();
      this.requests.onLeadershipLost(next.node.commitIndex);
    }
    this.notifyStatusListeners(node, next.node);
    this.compactIfDue();
    this.scheduleTick();
    return this.node;
  }

  private performEffects(effects: readonly Effect[]): void {
    const outgoing = new Map<string, PeerMessage[]>();
    for (const effect of effects) {
      if (effect.type === 'send') {
        const {message} = effect;
        const queue = outgoing.get(message.to);
        if (queue) queue.push(message);
        else outgoing.set(message.to, [message]);
      } else {
        this.performEffect(effect);
      }
    }
    for (const [to, messages] of outgoing) {
      this.options.transport.send(to, messages);
    }
  }

  private performEffect(effect: Exclude<Effect, {type: 'send'}>): void {
    switch (effect.type) {
      case 'save':
      case 'install':
        this.writer.add(effect);
        return;
      case 'restore':
        this.appliedState = this.options.codec.decodeState(
          effect.snapshot.state,
        );
        this.compactedRevision = effect.snapshot.revision;
        this.requests.onRestored(effect.snapshot.revision);
        return;
      case 'accepted':
        this.ownChanges.accept(effect.id);
        this.requests.onAccepted(effect.id, effect.index, effect.term);
        return;
      case 'refused':
        this.ownChanges.refuse(effect.id);
        this.requests.onRefused(effect.id, effect.reason, this.node.leader);
        return;
      case 'read':
        this.requests.onReadConfirmed(effect.id, effect.revision);
        return;
    }
  }

  private continueApplying(): Node {
    this.isApplyScheduled = false;
    if (this.isStopped) return this.node;
    this.applySlice();
    this.compactIfDue();
    return this.node;
  }

  /**
   * Applies committed entries until none is left or the slice has ended, and
   * leaves the rest to a later turn. Applies at least one entry.
   */
  private applySlice(): void {
    const endMs = performance.now() + this.node.rules.applySliceMs;
    let record = nextToApply(this.node);
    while (record && !this.isStopped) {
      this.apply(record);
      this.node = {...this.node, appliedIndex: record.index};
      record = nextToApply(this.node);
      if (performance.now() >= endMs) break;
    }
    if (!record) return;
    this.isApplyScheduled = true;
    this.post({type: 'apply'});
  }

  private apply(record: LogRecord): void {
    const {stateMachine, codec} = this.options;
    if (record.kind !== 'change') {
      this.requests.onCommitted(record, undefined);
      return;
    }
    const change =
      this.ownChanges.take(record.text) ?? codec.decodeChange(record.text);
    const {state, answer} = stateMachine.apply(this.appliedState, change);
    this.appliedState = state;
    for (const notify of this.applyListeners) notify({state, change, answer});
    this.requests.onCommitted(record, answer);
    this.requests.onRevisionApplied(record.revision);
  }

  private notifyStatusListeners(before: Node, after: Node): void {
    const isUnchanged =
      before.role === after.role &&
      before.term === after.term &&
      before.leader === after.leader &&
      before.membership === after.membership;
    if (isUnchanged) return;
    for (const notify of this.statusListeners) notify(this.status());
  }

  private compactIfDue(): void {
    const {node, options} = this;
    const revision = options.stateMachine.revision(this.appliedState);
    const changesPerSnapshot =
      options.changesPerSnapshot ?? DEFAULT_CHANGES_PER_SNAPSHOT;
    if (revision - this.compactedRevision < changesPerSnapshot) return;
    const last = recordAt(node.log, node.appliedIndex);
    if (!last) return;
    this.compactedRevision = revision;
    const snapshot: Snapshot = {
      index: last.index,
      term: last.term,
      revision,
      members: JSON.stringify(membershipAt(node, last.index)),
      state: options.codec.encodeState(this.appliedState),
    };
    this.writer.add({type: 'compact', snapshot});
  }

  /** Sets the timer for the next tick. A tick that comes early does no harm. */
  private scheduleTick(): void {
    if (this.isStopped) return;
    const at = nextTickMs(this.node);
    if (this.timer && this.timer.at <= at) return;
    this.timer?.timeout.cancel();
    const waitMs = Math.max(0, Math.ceil(at - performance.now()));
    const timeout = startInputTimeout(() => {
      this.timer = undefined;
      this.post({type: 'tick'});
    }, waitMs);
    this.timer = {at, timeout};
  }
}
