/**
 * Tracks which other members of the group this process can reach, whether it
 * leads or not, and logs what explains a group without a leader.
 */
import type {Log} from '@lentildrift/observe';
import type {ReplicaStatus} from './replica.js';

export interface ReachabilityOptions {
  readonly log: Log;
  /** Whether the member's process is reachable. */
  isReachable(member: string): boolean;
}

export interface Reachability {
  /** Updates what is known of all members of the status. */
  observe(status: ReplicaStatus): void;
  /** Members that have been unreachable for longer than the given time. */
  unreachableFor(ms: number): string[];
}

/** Interval of the log lines while no leader is known. */
const LEADERLESS_LOG_INTERVAL_MS = 2000;

export function createReachability(options: ReachabilityOptions): Reachability {
  const {log, isReachable} = options;
  /** Monotonic time since which the member is unreachable, by member. */
  const unreachableSinceMs = new Map<string, number>();
  /** Monotonic time at which a leader was last known, or its lack last logged. */
  let leaderlessSinceMs = performance.now();

  function observeMember(id: string, nowMs: number): void {
    const sinceMs = unreachableSinceMs.get(id);
    if (isReachable(id)) {
      if (sinceMs === undefined) return;
      unreachableSinceMs.delete(id);
      const absentMs = Math.round(nowMs - sinceMs);
      log.info('member-reachable', {member: id, absentMs});
    } else if (sinceMs === undefined) {
      unreachableSinceMs.set(id, nowMs);
      log.info('member-unreachable', {member: id});
    }
  }

  function reportLeaderless(status: ReplicaStatus, nowMs: number): void {
    if (status.leader !== undefined) leaderlessSinceMs = nowMs;
    if (nowMs - leaderlessSinceMs < LEADERLESS_LOG_INTERVAL_MS) return;
    leaderlessSinceMs = nowMs;
    log.warn('group-without-leader', {
      term: status.term,
      role: status.role,
      voters: status.voters.join(','),
      learners: status.learners.join(','),
      unreachable: [...unreachableSinceMs.keys()].join(','),
    });
  }

  return {
    observe(status) {
      const nowMs = performance.now();
      const {member, voters, learners} = status;
      const others = [...voters, ...learners].filter(id => id !== member);
      for (const id of unreachableSinceMs.keys()) {
        if (!others.includes(id)) unreachableSinceMs.delete(id);
      }
      for (const id of others) observeMember(id, nowMs);
      reportLeaderless(status, nowMs);
    },
    unreachableFor(ms) {
      const latestMs = performance.now() - ms;
      return [...unreachableSinceMs]
        .filter(([, sinceMs]) => sinceMs < latestMs)
        .map(([id]) => id);
    },
  };
}
