/** Chooses the membership changes that repair a group after losses. */
import type {MemberChange} from './members.js';
import type {ReplicaStatus} from './replica.js';

/** What the leader knows of its group beside the replicated membership. */
export interface GroupView {
  /** Number of voters that the group should have. */
  readonly voterCount: number;
  /** Members that have been unreachable for so long that they are replaced. */
  readonly lost: readonly string[];
  isReachable(member: string): boolean;
  /** Whether both IDs belong to the same host, at most one with its disk. */
  isSameHost(member: string, other: string): boolean;
  /** Data centre of a member; undefined if it is not known. */
  dataCentreOf(member: string): string | undefined;
}

/**
 * Returns the next change of the leader's group; undefined if none is needed or
 * possible.
 *
 * A lost voter is removed before its successor is promoted. With both as voters
 * the majority would be one larger, and the loss of the successor in that moment
 * would leave the group without one.
 */
export function nextRepair(
  status: ReplicaStatus,
  view: GroupView,
): MemberChange | undefined {
  const {voters, member: self} = status;
  const others = voters.filter(id => id !== self);
  const superseded = others.find(id => isSuperseded(id, status, view));
  if (superseded !== undefined) return {type: 'remove', member: superseded};
  const successor = chooseSuccessor(status, view);
  if (successor !== undefined && voters.length < view.voterCount) {
    return {type: 'promote', member: successor};
  }
  const lost = others.find(id => view.lost.includes(id));
  const isReplaceable =
    voters.length > view.voterCount || successor !== undefined;
  if (lost !== undefined && isReplaceable)
    return {type: 'remove', member: lost};
  return undefined;
}

/**
 * Whether the voter's host has come back under another ID, as it does without
 * its disk. Members that were added later come later in the lists.
 */
function isSuperseded(
  id: string,
  {voters, learners}: ReplicaStatus,
  {isSameHost}: GroupView,
): boolean {
  const later = [...voters.slice(voters.indexOf(id) + 1), ...learners];
  return later.some(other => isSameHost(other, id));
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
