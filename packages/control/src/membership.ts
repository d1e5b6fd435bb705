/**
 * The task that bootstraps the consensus group, joins it, and repairs its
 * membership.
 *
 * A member without a group asks all others to let it join, and joins as soon
 * as one of them belongs to a group. Only after every other member has answered
 * that it belongs to no group may the member that sorts first by ID found the
 * group. A host that lost its disk while it is partitioned from the others
 * therefore waits, instead of founding a second group.
 *
 * The members of a group keep asking, also to learn which of them answer. A
 * voter that does not answer for long is replaced by a complete learner;
 * `nextRepair` chooses which.
 */
import {
  createReachability,
  nextRepair,
  type MemberChange,
  type ReplicaStatus,
} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import type {JoinResponse} from '@lentildrift/protocol';
import type {TaskSystem} from '@lentildrift/task';
import {memberName} from './member.js';
import type {Peers} from './propose.js';
import {withTimeout} from './time.js';

/** Members beyond this number stay learners, which do not vote. */
export const MAX_VOTERS = 5;
/** Interval of the join requests while this process lacks a group or an answer. */
const JOIN_INTERVAL_MS = 500;
/** Interval of the join requests while all members answer. */
const STABLE_INTERVAL_MS = 2000;
/** Time after which a member that has not answered counts as unreachable. */
const ANSWER_TIMEOUT_MS = 500;
/** Interval at which the leader checks the membership. */
const CHECK_INTERVAL_MS = 250;
/**
 * Interval while a learner could become a voter. It often lacks the very last
 * entries, so it can be promoted only at some moments.
 */
const REPAIR_INTERVAL_MS = 50;
/**
 * A voter that is unreachable for this long is replaced if a learner is
 * complete. Longer than the restart of a process and than one failed round; a
 * host that returns later joins again.
 */
const REPLACEMENT_DELAY_MS = 1500;

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

/** Answers to the last join requests by the names of the members. */
type Answers = ReadonlyMap<string, JoinResponse | undefined>;

type MembershipMessage =
  | {type: 'round'}
  | {type: 'answers'; answers: Answers}
  | {type: 'check'}
  | {type: 'join-request'; member: string};

export interface GroupMembership {
  /** Adds a member that asks to join as a learner, if this process leads. */
  handleJoinRequest(member: string): void;
  stop(): Promise<void>;
}

const isSameHost = (member: string, other: string) =>
  memberName(member) === memberName(other);

/** The change that admits a member as a learner, in place of an older one. */
function nextAdmission(
  {voters, learners, retired}: ReplicaStatus,
  member: string,
): MemberChange | undefined {
  if (retired.includes(member)) {
    // If its host has joined under another ID, the disk of this one is lost, and
    // the request was delayed.
    const isLost = [...voters, ...learners].some(id => isSameHost(id, member));
    return isLost ? undefined : {type: 'rejoin', member};
  }
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
  let roundTimer: NodeJS.Timeout | undefined;
  let checkTimer: NodeJS.Timeout | undefined;

  let lastAnswers: Answers = new Map();
  let isRoundPending = true;
  // Observed in every role, so that a new leader need not wait once more.
  const reachability = createReachability({log, isReachable});

  const task = tasks.spawn<null, MembershipMessage>({
    name: 'group-membership',
    initial: null,
    async handle(state, message) {
      switch (message.type) {
        case 'round':
          isRoundPending = true;
          void requestToJoin().then(answers =>
            task.post({type: 'answers', answers}),
          );
          break;
        case 'answers':
          lastAnswers = message.answers;
          isRoundPending = false;
          endRound();
          break;
        case 'check':
          await checkMembers();
          break;
        case 'join-request':
          discardOutdatedAnswer(message.member);
          await admit(message.member);
          break;
      }
      return state;
    },
    afterStop: () => {
      clearTimeout(roundTimer);
      clearTimeout(checkTimer);
    },
  });

  /** Sends a join request to all peers; resolves with their answers. */
  async function requestToJoin(): Promise<Answers> {
    const {member} = replica.status();
    const requests = [...peers].map(async ([name, peer]) => {
      const answer = withTimeout(
        peer.join({member}),
        ANSWER_TIMEOUT_MS,
        `${name} did not answer the join request`,
      );
      return [name, await answer.catch(() => undefined)] as const;
    });
    return new Map(await Promise.all(requests));
  }

  /** Founds the group if none exists, and schedules the next round. */
  function endRound(): void {
    const responses = [...lastAnswers.values()];
    const {member, voters, learners} = replica.status();
    if (voters.length === 0) foundGroupIfFirst(member, responses);
    const isMember = [...voters, ...learners].includes(member);
    const isStable = isMember && !responses.includes(undefined);
    const waitMs = isStable ? STABLE_INTERVAL_MS : JOIN_INTERVAL_MS;
    roundTimer = setTimeout(() => task.post({type: 'round'}), waitMs);
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

  /**
   * Forgets which member the host ran if it asks under another ID, and asks it
   * at once.
   */
  function discardOutdatedAnswer(member: string): void {
    const name = memberName(member);
    const known = lastAnswers.get(name);
    if (!known || known.member === member) return;
    lastAnswers = new Map([...lastAnswers, [name, undefined]]);
    if (isRoundPending) return;
    clearTimeout(roundTimer);
    isRoundPending = true;
    task.post({type: 'round'});
  }

  function isReachable(member: string): boolean {
    return lastAnswers.get(memberName(member))?.member === member;
  }

  /** On the leader, proposes the next change that repairs the group. */
  async function checkMembers(): Promise<void> {
    const status = replica.status();
    reachability.observe(status);
    const lost = reachability.unreachableFor(REPLACEMENT_DELAY_MS);
    if (status.role === 'leader') {
      const change = nextRepair(status, {
        voterCount: MAX_VOTERS,
        lost,
        isReachable,
        isSameHost,
        dataCentreOf: () => undefined,
      });
      if (await changeMember(change)) {
        task.post({type: 'check'});
        return;
      }
    }
    const isRepairing = canPromote(status, lost);
    const waitMs = isRepairing ? REPAIR_INTERVAL_MS : CHECK_INTERVAL_MS;
    checkTimer = setTimeout(() => task.post({type: 'check'}), waitMs);
  }

  /** Whether a learner becomes a voter as soon as it is complete. */
  function canPromote(
    {role, voters, learners}: ReplicaStatus,
    lost: readonly string[],
  ): boolean {
    if (role !== 'leader' || learners.length === 0) return false;
    return voters.length < MAX_VOTERS || voters.some(id => lost.includes(id));
  }

  /** On the leader, adds a member that asks to join as a learner. */
  async function admit(member: string): Promise<void> {
    const status = replica.status();
    const {role, voters, learners} = status;
    if (role !== 'leader' || [...voters, ...learners].includes(member)) return;
    await changeMember(nextAdmission(status, member));
  }

  /** Resolves with whether the membership has changed. */
  async function changeMember(
    change: MemberChange | undefined,
  ): Promise<boolean> {
    if (!change) return false;
    const {type, member} = change;
    try {
      await replica.changeMembers(change);
      log.info('member-changed', {change: type, member});
      return true;
    } catch (error) {
      log.debug('member-unchanged', {member, reason: String(error)});
      return false;
    }
  }

  task.post({type: 'round'});
  // No member has answered before the first round ends.
  checkTimer = setTimeout(() => task.post({type: 'check'}), ANSWER_TIMEOUT_MS);
  return {
    handleJoinRequest: member => void task.post({type: 'join-request', member}),
    stop: () => task.stop(),
  };
}
