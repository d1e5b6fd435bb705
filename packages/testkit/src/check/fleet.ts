/** Checkers of the fleet: availability budgets, one pool for each host. */
import {
  FAILURES_BEFORE_QUARANTINE,
  STARTS_PER_ROUND,
} from '@lentildrift/policy';
import {filterByType} from '../history.js';
import {groupBy, type Checker} from './checker.js';

/**
 * No host is taken out of service below its pool's budget, nor while another
 * failure domain of the pool is opened.
 */
export const checkBudget: Checker = events => {
  const taken = filterByType(events, 'host-taken');
  return {
    examined: taken.length,
    violations: taken.flatMap(event => {
      const {host, pool, available, minAvailable, domains = []} = event;
      const found = [];
      if (available < minAvailable) {
        found.push(
          `host ${host} was taken from pool ${pool} with ${available} of ${minAvailable} hosts left`,
        );
      }
      if (new Set(domains).size > 1) {
        found.push(
          `host ${host} was taken from pool ${pool} with failure domains ${domains.join(' and ')} open`,
        );
      }
      return found;
    }),
  };
};

/** Each host is in exactly one pool at every revision. */
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

/** Jobs that may fail on a worker in a row: a round of starts, and its proof. */
const FAILURES_IN_A_ROW = STARTS_PER_ROUND + FAILURES_BEFORE_QUARANTINE;

/** A worker that fails everything is soon given no more work. */
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
    if (longest <= FAILURES_IN_A_ROW) continue;
    violations.push(`${longest} jobs in a row failed on worker ${host}`);
  }
  return {examined: ended.length, violations};
};
