/**
 * The `replica` task: owns the store, the core and the applied state.
 *
 * The log has entries of its own besides the changes (a no-op per term and
 * membership changes). Every entry therefore carries a revision that counts
 * the changes only, and everything outside the core speaks of revisions.
 */
import type {LogRecord, Snapshot} from '@lentildrift/storage';
import {TaskStopped, type Task} from '@lentildrift/task';
import {quorumSize, type MemberChange} from './members.js';
import type {PeerMessage} from './message.js';
import {
  nextTickMs,
  membershipAt,
  type RaftEvent,
  type Effect,
  type Node,
} from './node.js';
import {
  Replica,
  type AppliedChange,
  type CommitResult,
  type ReadOptions,
  type ReplicaStatus,
} from './replica.js';
import type {RaftOptions} from './options.js';
import {createPendingRequests, type PendingRequests} from './requests.js';
import {getStatus} from './status.js';
import {step} from './step.js';
import {createWriter, type Writer} from './writer.js';

/** Changes between snapshots. */
const DEFAULT_CHANGES_PER_SNAPSHOT = 1000;
/** Longest wait for another member to take over on `stop`. */
const TRANSFER_TIMEOUT_MS = 1500;

export class RaftReplica<S, C, A> extends Replica<S, C, A> {
  private node: Node;
  private current: S;
  private readonly task: Task<RaftEvent>;
  private readonly writer: Writer;
  private readonly requests: PendingRequests<A>;
  private proposals: {id: number; text: string}[] = [];
  private readonly watchers = new Set<
    (applied: AppliedChange<S, C, A>) => void
  >();
  private readonly observers = new Set<(status: ReplicaStatus) => void>();
  private timer: {at: number; handle: NodeJS.Timeout} | undefined;
  private compactedAt: number;
  /** When the latest heartbeat rounds began, on both clocks. */
  private readonly rounds = new Map<
    number,
    {steadyMs: number; wallMs: number}
  >();
  private ended = false;

  /** Use `startRaft`. */
  constructor(
    private readonly options: RaftOptions<S, C, A>,
    node: Node,
  ) {
    super();
    const {stateMachine, codec, store, tasks} = options;
    this.node = node;
    this.current = node.snapshot
      ? codec.decodeState(node.snapshot.state)
      : stateMachine.initial;
    this.compactedAt = node.log.base.revision;
    this.requests = createPendingRequests();
    this.writer = createWriter(store, {
      onDurable: seq => this.post({type: 'persisted', seq}),
      onCompacted: snapshot => this.post({type: 'compacted', snapshot}),
      onFailure: error => this.fail(error),
    });
    this.task = tasks.spawn<Node, RaftEvent>({
      name: `replica-${options.member}`,
      initial: node,
      handle: (state, body) => {
        try {
          return this.handle(state, body);
        } catch (error) {
          // A broken invariant: to go on could spread the damage.
          this.fail(error as Error);
          throw error;
        }
      },
    });
    this.arm();
  }

  override state(): S {
    return this.current;
  }

  override status(): ReplicaStatus {
    return getStatus(
      this.node,
      this.options.stateMachine.revision(this.current),
    );
  }

  override isConfirmedLeader(): boolean {
    const {role, membership, peers, id} = this.node;
    if (this.ended || role !== 'leader') return false;
    const active = membership.voters.filter(
      voter => voter === id || this.isRecent(peers[voter]?.ackedRound),
    );
    return active.length >= quorumSize(membership);
  }

  /**
   * Whether the heartbeat round began within the shortest election timeout.
   * Answers may have waited while this process was frozen, so their arrival
   * says nothing. The time of day counts too: the steady clock may stand
   * still while a host is suspended.
   */
  private isRecent(round: number | undefined): boolean {
    const begun = round === undefined ? undefined : this.rounds.get(round);
    if (!begun) return false;
    const {minElectionTimeoutMs} = this.node.rules;
    const steadyMs = performance.now() - begun.steadyMs;
    const wallMs = Math.abs(Date.now() - begun.wallMs);
    return steadyMs < minElectionTimeoutMs && wallMs < minElectionTimeoutMs;
  }

  private noteRound(round: number): void {
    const nowMs = performance.now();
    this.rounds.set(round, {steadyMs: nowMs, wallMs: Date.now()});
    for (const [earlier, {steadyMs}] of this.rounds) {
      if (nowMs - steadyMs < this.node.rules.minElectionTimeoutMs) break;
      this.rounds.delete(earlier);
    }
  }

  override propose(change: C): Promise<CommitResult<A>> {
    const text = this.options.codec.encodeChange(change);
    return this.requests.submitChange(id => {
      if (this.proposals.length === 0) {
        // Filled until the task handles it: one append for all of them.
        this.proposals = [];
        this.post({type: 'propose', changes: this.proposals});
      }
      this.proposals.push({id, text});
    });
  }

  override readIndex({patient = false}: ReadOptions = {}): Promise<number> {
    return this.requests.submitRead(id =>
      this.post({type: 'read', id, patient}),
    );
  }

  override waitForRevision(revision: number): Promise<void> {
    return this.requests.waitForRevision(
      revision,
      this.options.stateMachine.revision(this.current),
    );
  }

  override onApply(
    listener: (applied: AppliedChange<S, C, A>) => void,
  ): () => void {
    this.watchers.add(listener);
    return () => this.watchers.delete(listener);
  }

  override onStatusChange(
    listener: (status: ReplicaStatus) => void,
  ): () => void {
    this.observers.add(listener);
    return () => this.observers.delete(listener);
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
   * Founds a group of `voters`, this member among them; only one member may.
   * Ignored if this member has a group already.
   */
  bootstrap(voters: readonly string[]): void {
    this.post({type: 'bootstrap', voters});
  }

  /** Takes messages that the transport received from `from`. */
  receive(from: string, messages: readonly PeerMessage[]): void {
    for (const message of messages) {
      if (message.from !== from || this.ended) continue;
      this.task.post({type: 'receive', message});
    }
  }

  override async stop(): Promise<void> {
    if (this.ended) return;
    const others = this.node.membership.voters.length > 1;
    if (this.node.role === 'leader' && others) await this.handOver();
    await this.end();
    await this.writer.idle();
    await this.options.store.close();
  }

  /** Ends at once, without a hand-over and without waiting for writes. */
  kill(): void {
    void this.end();
  }

  private async handOver(): Promise<void> {
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

  private async end(): Promise<void> {
    if (this.ended) return;
    this.ended = true;
    clearTimeout(this.timer?.handle);
    this.requests.rejectAll(new TaskStopped(this.task.name));
    await this.task.stop();
  }

  private fail(error: Error): void {
    if (this.ended) return;
    void this.end();
    this.options.onFatal(error);
  }

  private post(body: RaftEvent): void {
    if (this.ended || !this.task.post(body)) {
      this.requests.rejectAll(new TaskStopped(this.task.name));
    }
  }

  private handle(node: Node, body: RaftEvent): Node {
    if (this.ended) return node;
    if (body.type === 'propose') this.proposals = [];
    const next = step(node, {...body, nowMs: performance.now()});
    this.node = next.node;
    if (next.node.heartbeatRound !== node.heartbeatRound)
      this.noteRound(next.node.heartbeatRound);
    this.perform(next.effects);
    if (node.role === 'leader' && next.node.role !== 'leader') {
      this.requests.onLeadershipLost();
    }
    this.notify(node, next.node);
    this.compact();
    this.arm();
    return next.node;
  }

  private perform(effects: readonly Effect[]): void {
    const outgoing = new Map<string, PeerMessage[]>();
    for (const effect of effects) {
      if (effect.type === 'send') {
        const {message} = effect;
        const queue = outgoing.get(message.to);
        if (queue) queue.push(message);
        else outgoing.set(message.to, [message]);
      } else {
        this.performOne(effect);
      }
    }
    for (const [to, messages] of outgoing) {
      this.options.transport.send(to, messages);
    }
  }

  private performOne(effect: Exclude<Effect, {type: 'send'}>): void {
    switch (effect.type) {
      case 'save':
      case 'install':
        this.writer.add(effect);
        return;
      case 'apply':
        for (const record of effect.records) this.apply(record);
        return;
      case 'restore':
        this.current = this.options.codec.decodeState(effect.snapshot.state);
        this.compactedAt = effect.snapshot.revision;
        this.requests.onRevisionApplied(effect.snapshot.revision);
        return;
      case 'accepted':
        this.requests.onAccepted(effect.id, effect.index, effect.term);
        return;
      case 'refused':
        this.requests.onRefused(effect.id, effect.reason, this.node.leader);
        return;
      case 'read':
        this.requests.onReadConfirmed(effect.id, effect.revision);
        return;
    }
  }

  private apply(record: LogRecord): void {
    const {stateMachine, codec} = this.options;
    if (record.kind !== 'change') {
      this.requests.onCommitted(record, undefined);
      return;
    }
    const change = codec.decodeChange(record.text);
    const {state, answer} = stateMachine.apply(this.current, change);
    this.current = state;
    for (const watcher of this.watchers) watcher({state, change, answer});
    this.requests.onCommitted(record, answer);
    this.requests.onRevisionApplied(record.revision);
  }

  private notify(before: Node, after: Node): void {
    const same =
      before.role === after.role &&
      before.term === after.term &&
      before.leader === after.leader &&
      before.membership === after.membership;
    if (same) return;
    for (const observer of this.observers) observer(this.status());
  }

  private compact(): void {
    const {node, options} = this;
    const revision = options.stateMachine.revision(this.current);
    const every = options.changesPerSnapshot ?? DEFAULT_CHANGES_PER_SNAPSHOT;
    if (revision - this.compactedAt < every) return;
    const at = node.log.records[node.appliedIndex - node.log.base.index - 1];
    if (!at) return;
    this.compactedAt = revision;
    const snapshot: Snapshot = {
      index: at.index,
      term: at.term,
      revision,
      members: JSON.stringify(membershipAt(node, at.index)),
      state: options.codec.encodeState(this.current),
    };
    this.writer.add({type: 'compact', snapshot});
  }

  /** Sets the timer for the next tick; one that fires early does no harm. */
  private arm(): void {
    if (this.ended) return;
    const at = nextTickMs(this.node);
    if (this.timer && this.timer.at <= at) return;
    clearTimeout(this.timer?.handle);
    const waitMs = Math.max(0, Math.ceil(at - performance.now()));
    const handle = setTimeout(() => {
      this.timer = undefined;
      this.post({type: 'tick'});
    }, waitMs);
    this.timer = {at, handle};
  }
}
