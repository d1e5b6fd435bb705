/** Derives the status that a replica reports from its Raft state. */
import type {Node} from './node.js';
import type {ReplicaStatus} from './replica.js';

export function getStatus(node: Node, revision: number): ReplicaStatus {
  const {id, role, term, leader, membership: members} = node;
  const {rules, peers, catchUp} = node;
  const {voters, learners, retired} = members;
  return {
    member: id,
    role: reportedRole(),
    term,
    leader,
    revision,
    voters,
    learners,
    completeLearners: learners.filter(learner => {
      const progress = peers[learner];
      return progress && rules.canPromote(progress.matchIndex, catchUp.index);
    }),
    retired,
  };

  function reportedRole(): ReplicaStatus['role'] {
    if (!voters.includes(id)) return 'learner';
    return role === 'pre-candidate' ? 'candidate' : role;
  }
}
