/**
 * Bootstraps the group, joins it and repairs its membership.
 *
 * Only the first seed bootstraps the group, with itself as the only voter, and
 * only on the first start of the whole system. Every other member joins. A host
 * that lost its disk joins under a new ID as a learner and becomes a voter once
 * it has caught up; its old ID is removed after that.
 */
import type {MemberChange, ReplicaStatus} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import type {Task, TaskSystem} from '@lentildrift/task';
import {addressOf} from './mesh.js';
import {createReachability} from './reachability.js';

/** The operations of the replica that the membership task uses. */
export interface GroupReplica {
  status(): ReplicaStatus;
  bootstrap(voters: readonly string[]): void;
  changeMembers(change: MemberChange): Promise<void>;
}

export interface MembershipOptions {
  readonly replica: GroupReplica;
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Whether this process bootstraps the group if its replica has no voters. */
  readonly canBootstrap: boolean;
  /** Number of voters that the group should have. */
  readonly voterCount: number;
  /** Whether the member's process is reachable. */
  isReachable(member: string): boolean;
  /** Asks the leader to add this member to the group. */
  requestToJoin(member: string): void;
}

export interface Membership {
  /** Adds a member that asks to join as a learner, if this process leads. */
  admit(member: string): void;
  stop(): Promise<void>;
}

/** Interval at which the membership is checked. */
const ROUND_INTERVAL_MS = 250;
/**
 * A voter that is unreachable for this long is replaced if a learner is
 * available. Longer than a restart, a freeze or a network partition usually
 * lasts.
 */
const REPLACEMENT_DELAY_MS = 8000;

/**
 * Number of voters a group needs to keep a majority after it lost `losses` of
 * them.
 */
export function voterCountFor(losses: number): number {
  return 2 * Math.max(1, losses) + 1;
}

/**
 * Returns the next membership change; undefined if none is needed. `lost` are
 * the members that have been unreachable for `REPLACEMENT_DELAY_MS`.
 */
export function nextChange(
  status: ReplicaStatus,
  voterCount: number,
  lost: readonly string[],
): MemberChange | undefined {
  const {voters, learners, member: self} = status;
  const replaced = voters.find(
    id =>
      id !== self &&
      voters.some(other => other !== id && isSuccessor(other, id, voters)),
  );
  if (replaced !== undefined) return {type: 'remove', member: replaced};
  const successor = learners.find(id =>
    voters.some(voter => addressOf(voter) === addressOf(id)),
  );
  if (successor !== undefined) return {type: 'promote', member: successor};
  const dead = voters.find(id => id !== self && lost.includes(id));
  if (voters.length > voterCount && dead !== undefined) {
    return {type: 'remove', member: dead};
  }
  const promotable = learners.find(id => !lost.includes(id));
  const needsVoter = voters.length < voterCount || dead !== undefined;
  if (needsVoter && promotable !== undefined)
    return {type: 'promote', member: promotable};
  return undefined;
}

/**
 * Whether `other` has replaced `id`: both have the same address, and voters
 * that were added later come later in the list.
 */
function isSuccessor(
  other: string,
  id: string,
  voters: readonly string[],
): boolean {
  const same = addressOf(other) === addressOf(id);
  return same && voters.indexOf(other) > voters.indexOf(id);
}

type Message = {type: 'round'} | {type: 'admit'; member: string};

export function startMembership(options: MembershipOptions): Membership {
  const {replica, tasks, log, voterCount} = options;
  const unreachableSinceMs = new Map<string, number>();
  const reachability = createReachability({...options, log});
  let timer: NodeJS.Timeout | undefined;

  const task: Task<Message> = tasks.spawn<null, Message>({
    name: 'membership',
    initial: null,
    async handle(state, message) {
      if (message.type === 'admit') await admit(message.member);
      else await runRound();
      return state;
    },
    afterStop: () => clearTimeout(timer),
  });

  async function runRound(): Promise<void> {
    timer = setTimeout(() => task.post({type: 'round'}), ROUND_INTERVAL_MS);
    const status = replica.status();
    const {member, voters, learners, role} = status;
    reachability.observe(status);
    if (voters.length === 0 && options.canBootstrap) {
      log.info('group-founded', {member});
      replica.bootstrap([member]);
      return;
    }
    if (role === 'leader') {
      await repair(status);
      return;
    }
    if (!voters.includes(member) && !learners.includes(member)) {
      options.requestToJoin(member);
    }
  }

  async function repair(status: ReplicaStatus): Promise<void> {
    const nowMs = performance.now();
    const {member, voters, learners} = status;
    const lost = [...voters, ...learners].filter(id => {
      if (id === member || options.isReachable(id)) {
        unreachableSinceMs.delete(id);
        return false;
      }
      const since = unreachableSinceMs.get(id) ?? nowMs;
      unreachableSinceMs.set(id, since);
      return nowMs - since > REPLACEMENT_DELAY_MS;
    });
    await changeMember(nextChange(status, voterCount, lost));
  }

  async function changeMember(next: MemberChange | undefined): Promise<void> {
    if (!next) return;
    try {
      await replica.changeMembers(next);
      log.info('member-changed', {change: next.type, member: next.member});
    } catch (error) {
      log.debug('member-unchanged', {
        member: next.member,
        reason: (error as Error).message,
      });
    }
  }

  async function admit(member: string): Promise<void> {
    const {role, voters, learners} = replica.status();
    if (role !== 'leader') return;
    if (voters.includes(member) || learners.includes(member)) return;
    // An older learner with the same address is the same host before it lost
    // its disk.
    const older = learners.find(id => addressOf(id) === addressOf(member));
    if (older !== undefined)
      await changeMember({type: 'remove', member: older});
    await changeMember({type: 'add-learner', member});
  }

  task.post({type: 'round'});
  return {
    admit: member => void task.post({type: 'admit', member}),
    stop: () => task.stop(),
  };
}
