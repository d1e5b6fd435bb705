/** Checkers of the fleet: availability budgets, one pool for each host. */
import {ofType} from '../history.js';
import type {Checker} from './checker.js';

/** No host is taken out of service below its pool's budget. */
export const budget: Checker = events => {
  const taken = ofType(events, 'host-taken');
  return {
    examined: taken.length,
    violations: taken
      .filter(event => event.available < event.minAvailable)
      .map(
        event =>
          `host ${event.host} was taken from pool ${event.pool} with ${event.available} of ${event.minAvailable} hosts left`,
      ),
  };
};

/** Each host is in exactly one pool at every revision. */
export const onePool: Checker = events => {
  const states = ofType(events, 'applied').filter(event => event.pools);
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
