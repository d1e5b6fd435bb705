/**
 * Founds the group, joins it and repairs its membership.
 *
 * Only the first seed founds, alone and only on the first start of all; every
 * other member joins. A host that lost its disk joins under a new ID, as a
 * learner, and votes once it has caught up; its old ID is removed after that.
 */
import type {MemberChange, ReplicaStatus} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import type {Task, TaskSystem} from '@lentildrift/task';
import {addressOf} from './mesh.js';

/** What the task needs of the replica. */
export interface GroupReplica {
  status(): ReplicaStatus;
  bootstrap(voters: readonly string[]): void;
  changeMembers(change: MemberChange): Promise<void>;
}

export interface MembershipOptions {
  readonly replica: GroupReplica;
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Whether this process founds the group if it has none. */
  readonly canBootstrap: boolean;
  /** Voters that the group should have. */
  readonly voterCount: number;
  /** Whether the member's process can be reached. */
  isReachable(member: string): boolean;
  /** Asks the leader to take this member. */
  requestToJoin(member: string): void;
}

export interface Membership {
  /** Takes a member that asks to belong. */
  admit(member: string): void;
  stop(): Promise<void>;
}

const ROUND_MS = 250;
/**
 * A voter that cannot be reached for this long is replaced if a learner is at
 * hand. Longer than a restart, a freeze or a cut usually lasts.
 */
const REPLACE_AFTER_MS = 8000;

/** The next membership change; undefined if none is needed. */
export function nextChange(
  status: ReplicaStatus,
  voterCount: number,
  lost: readonly string[],
): MemberChange | undefined {
  const {voters, learners, member: self} = status;
  const old = voters.find(
    id =>
      id !== self &&
      voters.some(other => other !== id && replaces(other, id, voters)),
  );
  if (old !== undefined) return {type: 'remove', member: old};
  const successor = learners.find(id =>
    voters.some(voter => addressOf(voter) === addressOf(id)),
  );
  if (successor !== undefined) return {type: 'promote', member: successor};
  const dead = voters.find(id => id !== self && lost.includes(id));
  if (voters.length > voterCount && dead !== undefined) {
    return {type: 'remove', member: dead};
  }
  const ready = learners.find(id => !lost.includes(id));
  const wanted = voters.length < voterCount || dead !== undefined;
  if (wanted && ready !== undefined) return {type: 'promote', member: ready};
  return undefined;
}

/** Later members of one address stand behind the earlier ones in the list. */
function replaces(
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
  const unreachableMs = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;

  const task: Task<Message> = tasks.spawn<null, Message>({
    name: 'membership',
    initial: null,
    async handle(state, message) {
      if (message.type === 'admit') await admit(message.member);
      else await round();
      return state;
    },
    afterStop: () => clearTimeout(timer),
  });

  async function round(): Promise<void> {
    timer = setTimeout(() => task.post({type: 'round'}), ROUND_MS);
    const status = replica.status();
    const {member, voters, learners, role} = status;
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
        unreachableMs.delete(id);
        return false;
      }
      const since = unreachableMs.get(id) ?? nowMs;
      unreachableMs.set(id, since);
      return nowMs - since > REPLACE_AFTER_MS;
    });
    await change(nextChange(status, voterCount, lost));
  }

  async function change(next: MemberChange | undefined): Promise<void> {
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
    // An older learner of the same host has lost its disk.
    const older = learners.find(id => addressOf(id) === addressOf(member));
    if (older !== undefined) await change({type: 'remove', member: older});
    await change({type: 'add-learner', member});
  }

  task.post({type: 'round'});
  return {
    admit: member => void task.post({type: 'admit', member}),
    stop: () => task.stop(),
  };
}
