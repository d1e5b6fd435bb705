/** The membership of a group, which changes by one member at a time. */
import {z} from 'zod';

export const Membership = z.object({
  voters: z.array(z.string()),
  /** Receive the log but neither vote nor count towards a majority. */
  learners: z.array(z.string()),
  /** Removed members, whose IDs `add-learner` refuses. */
  retired: z.array(z.string()),
});
export type Membership = z.infer<typeof Membership>;

/**
 * `rejoin` adds a removed member that is running with its disk as a learner;
 * `add-learner` refuses it, since a delayed request may name an ID whose disk is
 * lost.
 */
export const MemberChange = z.object({
  type: z.enum(['add-learner', 'rejoin', 'promote', 'remove']),
  member: z.string().min(1),
});
export type MemberChange = z.infer<typeof MemberChange>;

export const EMPTY_MEMBERSHIP: Membership = {
  voters: [],
  learners: [],
  retired: [],
};

export function quorumSize(members: Membership): number {
  return Math.floor(members.voters.length / 2) + 1;
}

export function allMembers(members: Membership): string[] {
  return [...members.voters, ...members.learners];
}

/** Returns the membership after the change, or why the change is refused. */
export function applyMemberChange(
  members: Membership,
  {type, member}: MemberChange,
): Membership | string {
  const {voters, learners, retired} = members;
  const without = (ids: readonly string[]) => ids.filter(id => id !== member);
  if (type === 'add-learner' || type === 'rejoin') {
    const isRemoved = retired.includes(member);
    if (isRemoved && type !== 'rejoin') return `member ${member} was removed`;
    if (allMembers(members).includes(member)) return `${member} is a member`;
    return {
      voters,
      learners: [...learners, member],
      retired: without(retired),
    };
  }
  if (type === 'promote') {
    if (!learners.includes(member)) return `${member} is not a learner`;
    return {
      ...members,
      voters: [...voters, member],
      learners: without(learners),
    };
  }
  if (!allMembers(members).includes(member)) return `${member} is not a member`;
  if (voters.length === 1 && voters[0] === member) {
    return 'the last voter cannot be removed';
  }
  return {
    voters: without(voters),
    learners: without(learners),
    retired: [...retired, member],
  };
}
