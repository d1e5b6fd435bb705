/**
 * The task that bootstraps the consensus group, joins it, and repairs its
 * membership.
 *
 * A member without a group asks all others to let it join, and joins as soon
 * as one of them belongs to a group. Only after every other member has answered
 * that it belongs to no group may the member that sorts first by ID found the
 * group. A host that lost its disk while it is partitioned from the others
 * therefore waits, instead of founding a second group.
 */
import {
  nextRepair,
  type MemberChange,
  type ReplicaStatus,
} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import type {JoinResponse} from '@lentildrift/protocol';
import type {TaskSystem} from '@lentildrift/task';
import {memberName} from './member.js';
import type {Peers} from './propose.js';

/** Members beyond this number stay learners, which do not vote. */
export const MAX_VOTERS = 5;
const JOIN_INTERVAL_MS = 500;
/** Interval of the join requests of a member that needs no membership change. */
const STABLE_INTERVAL_MS = 10_000;

/** The operations of the replica that this task uses. */
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

type MembershipMessage =
  {type: 'round'} | {type: 'join-request'; member: string};

export interface GroupMembership {
  /** Handles a request of `member` to join, if this process leads. */
  handleJoinRequest(member: string): void;
  stop(): Promise<void>;
}

const isSameHost = (member: string, other: string) =>
  memberName(member) === memberName(other);

/**
 * Returns the next membership change after a request of `member` to join, or
 * undefined if none is needed or possible.
 */
export function nextMembershipChange(
  status: ReplicaStatus,
  member: string,
): MemberChange | undefined {
  const {voters, learners} = status;
  if ([...voters, ...learners].includes(member)) {
    return nextRepair(status, {
      voterCount: MAX_VOTERS,
      lost: [],
      // Only the member that asks is known to be running.
      isReachable: id => id === member,
      isSameHost,
      dataCentreOf: () => undefined,
    });
  }
  return nextAdmission(status, member);
}

/** The change that admits a member as a learner, in place of an older one. */
function nextAdmission(
  {learners, retired}: ReplicaStatus,
  member: string,
): MemberChange | undefined {
  if (retired.includes(member)) return undefined;
  const older = learners.find(id => isSameHost(id, member));
  return older === undefined
    ? {type: 'add-learner', member}
    : {type: 'remove', member: older};
}

/**
 * Returns the initial voters if `self` is the member that founds the group,
 * otherwise undefined. An undefined answer stands for an unreachable member.
 */
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

  const task = tasks.spawn<null, MembershipMessage>({
    name: 'group-membership',
    initial: null,
    async handle(state, message) {
      if (message.type === 'join-request') await changeMember(message.member);
      else await runRound();
      return state;
    },
    afterStop: () => clearTimeout(timer),
  });

  /** Sends a join request to all peers, and founds the group if none exists. */
  async function runRound(): Promise<void> {
    const {member, voters} = replica.status();
    const answers = await Promise.all(
      [...peers.values()].map(peer =>
        peer.join({member}).catch(() => undefined),
      ),
    );
    if (voters.length === 0) foundGroupIfFirst(member, answers);
    const waitMs = isStable() ? STABLE_INTERVAL_MS : JOIN_INTERVAL_MS;
    timer = setTimeout(() => task.post({type: 'round'}), waitMs);
  }

  /** Whether this member votes, or is one of the further learners. */
  function isStable(): boolean {
    const {member, voters, learners} = replica.status();
    if (voters.includes(member)) return true;
    const replacesVoter = voters.some(id => isSameHost(id, member));
    const isSpare = voters.length >= MAX_VOTERS && !replacesVoter;
    return learners.includes(member) && isSpare;
  }

  function foundGroupIfFirst(
    member: string,
    answers: readonly (JoinResponse | undefined)[],
  ): void {
    const initialVoters = initialVotersFor(member, answers);
    if (!initialVoters) return;
    log.info('group-founded', {voters: initialVoters.join(',')});
    replica.bootstrap(initialVoters);
  }

  /** On the leader, proposes the next membership change for `member`. */
  async function changeMember(member: string): Promise<void> {
    const status = replica.status();
    if (status.role !== 'leader') return;
    const change = nextMembershipChange(status, member);
    if (!change) return;
    try {
      await replica.changeMembers(change);
      log.info('member-changed', {change: change.type, member: change.member});
    } catch (error) {
      // The member sends another join request later, for example once it has
      // caught up with the log.
      log.debug('member-unchanged', {member, reason: String(error)});
    }
  }

  task.post({type: 'round'});
  return {
    handleJoinRequest: member => void task.post({type: 'join-request', member}),
    stop: () => task.stop(),
  };
}
