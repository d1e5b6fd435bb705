/** Checkers of the fleet: availability budgets, pools and faulty workers. */
import {
  FAILURES_BEFORE_QUARANTINE,
  STARTS_PER_ROUND,
} from '@lentildrift/policy';
import {filterByType} from '../history.js';
import {groupBy, type Checker} from './checker.js';

/**
 * Checks that no host is taken out of service if fewer hosts than the pool's
 * availability budget requires would remain, or if the pool already has hosts
 * out of service in another failure domain.
 */
export const checkBudget: Checker = events => {
  const taken = filterByType(events, 'host-taken');
  return {
    examined: taken.length,
    violations: taken.flatMap(event => {
      const {host, pool, available, minAvailable, domains = []} = event;
      const problems = [];
      if (available < minAvailable) {
        problems.push(
          `host ${host} of pool ${pool} was taken out of service with ${available} of ${minAvailable} required hosts left`,
        );
      }
      if (new Set(domains).size > 1) {
        problems.push(
          `host ${host} of pool ${pool} was taken out of service with hosts out of service in failure domains ${domains.join(' and ')}`,
        );
      }
      return problems;
    }),
  };
};

/** Checks that each host is in exactly one pool at every revision. */
export const checkOnePool: Checker = events => {
  const states = filterByType(events, 'applied').filter(event => event.pools);
  return {
    examined: states.length,
    violations: states.flatMap(({revision, pools}) =>
      Object.entries(pools!)
        .filter(([, held]) => held.length !== 1)
        .map(
          ([host, held]) =>
            `host ${host} is in ${held.length} pools at revision ${revision}`,
        ),
    ),
  };
};

/**
 * Jobs that may fail in a row on a worker: the starts of one planner round, and
 * the failures that cause the quarantine.
 */
const MAX_CONSECUTIVE_FAILURES = STARTS_PER_ROUND + FAILURES_BEFORE_QUARANTINE;

/** Checks that a worker on which every job fails soon gets no more jobs. */
export const checkIsolation: Checker = events => {
  const ended = filterByType(events, 'task-ended');
  const violations: string[] = [];
  for (const [host, tasks] of groupBy(ended, ({host}) => host)) {
    let streak = new Set<string>();
    let longest = 0;
    for (const {job, failed} of tasks) {
      streak = failed ? streak.add(job) : new Set();
      longest = Math.max(longest, streak.size);
    }
    if (longest <= MAX_CONSECUTIVE_FAILURES) continue;
    violations.push(`${longest} jobs in a row failed on worker ${host}`);
  }
  return {examined: ended.length, violations};
};
