/**
 * Joins the group and repairs its membership.
 *
 * The seeds of the first start of the whole system are voters from the start.
 * Every other member joins as a learner. A host that lost its disk joins under a
 * new ID. `nextRepair` chooses which learner votes in place of which lost voter.
 */
import {
  createReachability,
  nextRepair,
  type MemberChange,
  type ReplicaStatus,
} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import type {Task, TaskSystem} from '@lentildrift/task';
import {addressOf} from './mesh.js';

/** The operations of the replica that the membership task uses. */
export interface GroupReplica {
  status(): ReplicaStatus;
  changeMembers(change: MemberChange): Promise<void>;
}

export interface MembershipOptions {
  readonly replica: GroupReplica;
  readonly tasks: TaskSystem;
  readonly log: Log;
  /** Number of voters that the group should have. */
  readonly voterCount: number;
  /** Whether the member's process is reachable. */
  isReachable(member: string): boolean;
  /** Data centre of a member; undefined if it is not known. */
  dataCentreOf(member: string): string | undefined;
  /** Members of the group as the leader reports them, if it is known. */
  leaderMembers(): readonly string[] | undefined;
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
 * Interval while the leader lacks voters. A learner often lacks the very last
 * entries, so it can be promoted only at some moments.
 */
const REPAIR_INTERVAL_MS = 50;
/**
 * A voter that is unreachable for this long is replaced if a learner is
 * complete. Until then one more loss stops the group. Longer than the restart of
 * a process; a host that returns later joins again and catches up, which costs
 * less than the exposure.
 */
const REPLACEMENT_DELAY_MS = 1500;

/**
 * Number of voters a group needs to keep a majority after it lost `losses` of
 * them.
 */
export function voterCountFor(losses: number): number {
  return 2 * Math.max(1, losses) + 1;
}

const isSameHost = (member: string, other: string) =>
  addressOf(member) === addressOf(other);

type Message = {type: 'round'} | {type: 'admit'; member: string};

export function startMembership(options: MembershipOptions): Membership {
  const {replica, tasks, log, voterCount, isReachable, dataCentreOf} = options;
  // Observed in every role, so that a new leader need not wait once more.
  const reachability = createReachability({log, isReachable});
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
    const status = replica.status();
    reachability.observe(status);
    const lost = reachability.unreachableFor(REPLACEMENT_DELAY_MS);
    const hasChanged = await advance(status, lost);
    if (hasChanged) {
      task.post({type: 'round'});
      return;
    }
    const running = status.voters.filter(id => !lost.includes(id));
    const isRepairing = status.role === 'leader' && running.length < voterCount;
    const waitMs = isRepairing ? REPAIR_INTERVAL_MS : ROUND_INTERVAL_MS;
    timer = setTimeout(() => task.post({type: 'round'}), waitMs);
  }

  /** Resolves with whether the membership has changed. */
  async function advance(
    status: ReplicaStatus,
    lost: readonly string[],
  ): Promise<boolean> {
    const {member, voters, learners, role} = status;
    if (role === 'leader') {
      const view = {voterCount, lost, isReachable, isSameHost, dataCentreOf};
      return changeMember(nextRepair(status, view));
    }
    // A member that was removed while it was cut off is still one by its own log.
    const members = options.leaderMembers() ?? [...voters, ...learners];
    if (!members.includes(member)) options.requestToJoin(member);
    return false;
  }

  async function changeMember(
    next: MemberChange | undefined,
  ): Promise<boolean> {
    if (!next) return false;
    try {
      await replica.changeMembers(next);
      log.info('member-changed', {change: next.type, member: next.member});
      return true;
    } catch (error) {
      log.debug('member-unchanged', {
        member: next.member,
        reason: (error as Error).message,
      });
      return false;
    }
  }

  async function admit(member: string): Promise<void> {
    const {role, voters, learners, retired} = replica.status();
    if (role !== 'leader') return;
    const members = [...voters, ...learners];
    if (members.includes(member)) return;
    if (retired.includes(member)) {
      // If its host has joined under another ID, the disk of this one is lost,
      // and the request was delayed.
      if (members.some(id => isSameHost(id, member))) return;
      await changeMember({type: 'rejoin', member});
      return;
    }
    // An older learner with the same address is the same host before it lost
    // its disk.
    const older = learners.find(id => isSameHost(id, member));
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
