/**
 * A fake consensus group of replicas that share one log, and control roles on
 * it.
 */
import {
  NotLeader,
  OutcomeUnknown,
  Replica,
  type CommitResult,
  type ReplicaStatus,
} from '@lentildrift/consensus';
import {
  createControl,
  stateMachine,
  type Control,
  type LimitPolicy,
} from '@lentildrift/control';
import {
  createKey,
  teamSchema,
  type Answer,
  type Change,
  type ChangeBody,
  type Command,
  type State,
} from '@lentildrift/model';
import {createLog} from '@lentildrift/observe';
import {PeerService, ServiceError} from '@lentildrift/protocol';
import {startTasks} from '@lentildrift/task';
import {vi} from 'vitest';

const ROUND_TRIP_MS = 5;

export class FakeReplica extends Replica<State, Change, Answer> {
  appliedState = stateMachine.initial;
  /** Delay after which a committed change is applied on this replica. */
  lagMs = 5;
  partitioned = false;
  readIndexRounds = 0;
  /** Commits the next proposal, but rejects it with `OutcomeUnknown`. */
  loseOutcome = false;
  private waiting: {revision: number; resolve: () => void}[] = [];

  constructor(
    private readonly group: FakeGroup,
    readonly member: string,
  ) {
    super();
  }

  override state() {
    return this.appliedState;
  }

  override status(): ReplicaStatus {
    const {leader, term, members} = this.group;
    const role = leader === this.member ? 'leader' : 'follower';
    const revision = this.appliedState.revision;
    const voters = members.map(({member}) => member);
    return {
      member: this.member,
      role,
      term,
      leader,
      revision,
      voters,
      learners: [],
      completeLearners: [],
      retired: [],
    };
  }

  override async propose(change: Change): Promise<CommitResult<Answer>> {
    this.assertLeading();
    await new Promise(r => setTimeout(r, ROUND_TRIP_MS));
    this.assertLeading();
    const {answer} = this.group.commit(change);
    if (this.loseOutcome) {
      this.loseOutcome = false;
      throw new OutcomeUnknown('leadership ended');
    }
    return {answer, revision: this.appliedState.revision};
  }

  override async readIndex(): Promise<number> {
    this.assertLeading();
    this.readIndexRounds += 1;
    const {revision} = this.appliedState;
    await new Promise(r => setTimeout(r, ROUND_TRIP_MS));
    this.assertLeading();
    return revision;
  }

  private assertLeading(): void {
    const {leader} = this.group;
    if (leader !== this.member || this.partitioned) throw new NotLeader(leader);
  }

  override waitForRevision(revision: number): Promise<void> {
    if (this.appliedState.revision >= revision) return Promise.resolve();
    return new Promise(resolve => this.waiting.push({revision, resolve}));
  }

  /** Applies the log up to its current end. */
  catchUp(): void {
    const {log} = this.group;
    while (this.appliedState.revision < log.length) {
      const change = log[this.appliedState.revision]!;
      this.appliedState = stateMachine.apply(this.appliedState, change).state;
    }
    const {revision} = this.appliedState;
    this.waiting.filter(w => w.revision <= revision).forEach(w => w.resolve());
    this.waiting = this.waiting.filter(w => w.revision > revision);
  }

  override onApply() {
    return () => undefined;
  }

  override async stop(): Promise<void> {}
}

export class FakeGroup {
  readonly log: Change[] = [];
  readonly members: readonly FakeReplica[];
  leader: string | undefined = 'a';
  term = 1;

  constructor(names: readonly string[] = ['a', 'b', 'c']) {
    this.members = names.map(name => new FakeReplica(this, name));
  }

  replica(member: string): FakeReplica {
    return this.members.find(each => each.member === member)!;
  }

  commit(change: Change) {
    const leader = this.replica(this.leader!);
    leader.catchUp();
    this.log.push(change);
    const result = stateMachine.apply(leader.appliedState, change);
    for (const each of this.members) {
      if (each === leader) each.catchUp();
      else setTimeout(() => each.partitioned || each.catchUp(), each.lagMs);
    }
    return result;
  }

  elect(member: string | undefined): void {
    this.term += 1;
    this.leader = member;
    if (member) this.replica(member).catchUp();
  }

  /** Commits a change without a control process, and returns the answer. */
  change(body: ChangeBody): Answer {
    return this.commit({atMs: Date.now(), body}).answer;
  }

  command(command: Command): Answer {
    const requestId = `setup-${this.log.length}`;
    return this.change({type: 'command', requestId, command});
  }

  setLimit(limit: number): void {
    const {version} = this.replica(this.leader!).appliedState.tables;
    const teams = [teamSchema.parse({name: 'juniors', share: 1, limit})];
    this.command({type: 'edit', edit: {basedOn: version, teams}});
  }

  createOperatorKey(): string {
    const {id, text, secretHash} = createKey();
    const subject = {kind: 'operator' as const, operator: 'ana'};
    this.command({type: 'give-key', keyId: id, subject, secretHash});
    return text;
  }

  changesOfType<T extends ChangeBody['type']>(type: T) {
    return this.log.filter(({body}) => body.type === type);
  }
}

/** Forwards calls between two members, unless one of them is partitioned. */
function createPeerLink(
  group: FakeGroup,
  from: string,
  to: string,
  real: () => PeerService,
) {
  const link = Object.create(PeerService.prototype) as PeerService;
  const names = [
    'deliver',
    'propose',
    'readIndex',
    'report',
    'gossip',
  ] as const;
  for (const name of names) {
    link[name] = (async (request: unknown) => {
      if (group.replica(from).partitioned || group.replica(to).partitioned) {
        throw new ServiceError('unavailable', 'the member is partitioned');
      }
      // Only plain data is forwarded, as over the network.
      const plain = request && JSON.parse(JSON.stringify(request));
      return (real()[name] as (r: unknown) => Promise<unknown>)(plain);
    }) as never;
  }
  return link;
}

export interface Roles {
  readonly group: FakeGroup;
  readonly failures: string[];
  at(member: string): Control;
  stop(): Promise<void>;
}

export function startRoles(
  group = new FakeGroup(),
  policy?: LimitPolicy,
): Roles {
  const failures: string[] = [];
  const tasks = startTasks((task, e) => failures.push(`${task}: ${e.message}`));
  const log = createLog('error', {}, line => failures.push(line));
  const roles = new Map<string, Control>();
  for (const replica of group.members) {
    const {member} = replica;
    const others = group.members.filter(each => each !== replica);
    const peers = new Map(
      others.map(({member: to}) => [
        to,
        createPeerLink(group, member, to, () => roles.get(to)!.peer),
      ]),
    );
    roles.set(member, createControl({replica, tasks, log, peers, policy}));
  }
  return {
    group,
    failures,
    at: member => roles.get(member)!,
    stop: async () => {
      const stopped = Promise.all([...roles.values()].map(r => r.stop()));
      await advanceUntilSettled(stopped);
    },
  };
}

/** Advances the paused clock until `work` has settled. */
export async function advanceUntilSettled<T>(work: Promise<T>): Promise<T> {
  let settled = false;
  const done = () => (settled = true);
  work.then(done, done);
  for (let step = 0; step < 4000 && !settled; step++) {
    await vi.advanceTimersByTimeAsync(5);
  }
  if (!settled) throw new Error('not settled within 20 s');
  return work;
}
