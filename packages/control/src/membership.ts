/**
 * The task that founds the group, joins it, and repairs its membership.
 *
 * A member without a group asks all others. It joins as soon as one of them
 * has a group. Only when every other member has answered that it has none may
 * the first by name found it: a host that lost its disk while it is cut off
 * therefore waits, instead of founding a second group.
 */
import type {MemberChange, ReplicaStatus} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import type {JoinResponse} from '@lentildrift/protocol';
import type {TaskSystem} from '@lentildrift/task';
import {memberName} from './member.js';
import type {Peers} from './propose.js';

/** Members beyond this number stay learners. */
export const MAX_VOTERS = 5;
const JOIN_INTERVAL_MS = 500;
/** A settled member still asks, so that a leader drops its older IDs. */
const SETTLED_INTERVAL_MS = 10_000;

/** What the task needs of the replica. */
export interface MembershipReplica {
  status(): ReplicaStatus;
  bootstrap(voters: readonly string[]): void;
  changeMembers(change: MemberChange): Promise<void>;
}

export interface GroupMembershipOptions {
  readonly replica: MembershipReplica;
  readonly peers: Peers;
  readonly tasks: TaskSystem;
  readonly log: Log;
}

type GroupMessage = {type: 'round'} | {type: 'admit'; member: string};

export interface GroupMembership {
  /** Takes a member that asks to belong. */
  handleJoinRequest(member: string): void;
  stop(): Promise<void>;
}

/** The next membership change for `member`; undefined if none is needed. */
export function nextMembershipChange(
  status: ReplicaStatus,
  member: string,
): MemberChange | undefined {
  const {voters, learners} = status;
  const name = memberName(member);
  const older = [...voters, ...learners].find(
    other => other !== member && memberName(other) === name,
  );
  if (voters.includes(member)) {
    return older === undefined ? undefined : {type: 'remove', member: older};
  }
  if (!learners.includes(member)) return {type: 'add-learner', member};
  const replaces = older !== undefined && voters.includes(older);
  if (!replaces && voters.length >= MAX_VOTERS) {
    return older === undefined ? undefined : {type: 'remove', member: older};
  }
  return {type: 'promote', member};
}

/** The founders, if `self` is to found the group; else undefined. */
export function initialVotersFor(
  self: string,
  answers: readonly (JoinResponse | undefined)[],
): readonly string[] | undefined {
  const others: string[] = [];
  for (const answer of answers) {
    if (!answer || answer.founded) return undefined;
    others.push(answer.member);
  }
  const all = [self, ...others].sort();
  return all[0] === self ? all.slice(0, MAX_VOTERS) : undefined;
}

export function createGroupMembership(
  options: GroupMembershipOptions,
): GroupMembership {
  const {replica, peers, tasks, log} = options;
  let timer: NodeJS.Timeout | undefined;

  const task = tasks.spawn<null, GroupMessage>({
    name: 'group',
    initial: null,
    async handle(state, message) {
      if (message.type === 'admit') await admit(message.member);
      else await round();
      return state;
    },
    afterStop: () => clearTimeout(timer),
  });

  async function round(): Promise<void> {
    const {member, voters} = replica.status();
    const answers = await Promise.all(
      [...peers.values()].map(peer =>
        peer.join({member}).catch(() => undefined),
      ),
    );
    if (voters.length === 0) foundIfDue(member, answers);
    const settled =
      nextMembershipChange(replica.status(), member) === undefined;
    const waitMs = settled ? SETTLED_INTERVAL_MS : JOIN_INTERVAL_MS;
    timer = setTimeout(() => task.post({type: 'round'}), waitMs);
  }

  function foundIfDue(
    member: string,
    answers: readonly (JoinResponse | undefined)[],
  ): void {
    const founders = initialVotersFor(member, answers);
    if (!founders) return;
    log.info('group-founded', {voters: founders.join(',')});
    replica.bootstrap(founders);
  }

  async function admit(member: string): Promise<void> {
    const status = replica.status();
    if (status.role !== 'leader') return;
    const change = nextMembershipChange(status, member);
    if (!change) return;
    try {
      await replica.changeMembers(change);
      log.info('member-changed', {change: change.type, member: change.member});
    } catch (error) {
      // The member asks again, for instance once it has caught up.
      log.debug('member-unchanged', {member, reason: String(error)});
    }
  }

  task.post({type: 'round'});
  return {
    handleJoinRequest: member => void task.post({type: 'admit', member}),
    stop: () => task.stop(),
  };
}
