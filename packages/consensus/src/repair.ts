/** Chooses the membership changes that repair a group after losses. */
import type {MemberChange} from './members.js';
import type {ReplicaStatus} from './replica.js';

/** What the leader knows of its group beside the replicated membership. */
export interface GroupView {
  /** Number of voters that the group should have. */
  readonly voterCount: number;
  /** Members that have been unreachable for so long that they are replaced. */
  readonly lost: readonly string[];
  /** Whether the process of this very member answers. */
  isReachable(member: string): boolean;
  /** Whether both IDs belong to the same host, which runs one of them. */
  isSameHost(member: string, other: string): boolean;
  /** Data centre of a member; undefined if it is not known. */
  dataCentreOf(member: string): string | undefined;
}

/**
 * Returns the next change of the leader's group; undefined if none is needed or
 * possible.
 *
 * A member whose disk is known to be lost is removed at once. A voter that is
 * only unreachable is removed after its successor was promoted: if another disk
 * is lost in between, it can complete the majority once it is back.
 */
export function nextRepair(
  status: ReplicaStatus,
  view: GroupView,
): MemberChange | undefined {
  const {voters, learners, member: self} = status;
  const others = [...voters, ...learners].filter(id => id !== self);
  const superseded = others.find(id => isSuperseded(id, status, view));
  if (superseded !== undefined) return {type: 'remove', member: superseded};
  const lost = voters.find(id => id !== self && view.lost.includes(id));
  if (lost !== undefined && voters.length > view.voterCount) {
    return {type: 'remove', member: lost};
  }
  const successor = chooseSuccessor(status, view);
  const lacksVoter = lost !== undefined || voters.length < view.voterCount;
  if (lacksVoter && successor !== undefined) {
    return {type: 'promote', member: successor};
  }
  return undefined;
}

/**
 * Whether another member runs on the host of this one, which shows that the disk
 * of this one is lost. Of a learner it shows that only after a while: just after
 * its start, what is known of its host may still be from before.
 */
function isSuperseded(
  id: string,
  {voters, learners, member: self}: ReplicaStatus,
  {isSameHost, isReachable, lost}: GroupView,
): boolean {
  if (!voters.includes(id) && !lost.includes(id)) return false;
  return [...voters, ...learners].some(
    other =>
      other !== id &&
      other !== self &&
      isSameHost(other, id) &&
      isReachable(other),
  );
}

/**
 * A learner that could vote at once, in the data centre with the fewest voters
 * that are not lost.
 */
function chooseSuccessor(
  {voters, completeLearners}: ReplicaStatus,
  {lost, isReachable, dataCentreOf}: GroupView,
): string | undefined {
  const centres = voters
    .filter(id => !lost.includes(id))
    .map(id => dataCentreOf(id));
  const voterCountNear = (id: string) =>
    centres.filter(centre => centre === dataCentreOf(id)).length;
  return completeLearners
    .filter(id => isReachable(id))
    .sort((a, b) => voterCountNear(a) - voterCountNear(b))[0];
}
