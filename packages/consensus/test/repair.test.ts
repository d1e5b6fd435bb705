/** Tests the choice of membership changes after losses. */
import {nextRepair, type ReplicaStatus} from '@lentildrift/consensus';
import {describe, expect, it} from 'vitest';

interface Case {
  readonly voters: readonly string[];
  readonly learners?: readonly string[];
  /** All learners, unless given. */
  readonly complete?: readonly string[];
  readonly lost?: readonly string[];
  readonly unreachable?: readonly string[];
  readonly dataCentres?: Readonly<Record<string, string>>;
}

/** The next change of a group of three voters; `a1` leads. */
function next({voters, learners = [], ...known}: Case) {
  const status: ReplicaStatus = {
    member: 'a1',
    role: 'leader',
    term: 1,
    leader: 'a1',
    revision: 0,
    voters,
    learners,
    completeLearners: known.complete ?? learners,
    retired: [],
  };
  const {lost = [], unreachable = lost, dataCentres = {}} = known;
  return nextRepair(status, {
    voterCount: 3,
    lost,
    isReachable: id => !unreachable.includes(id),
    isSameHost: (id, other) => id[0] === other[0],
    dataCentreOf: id => dataCentres[id],
  });
}

const FULL = ['a1', 'b1', 'c1'];

describe('the next membership change', () => {
  it('promotes one complete learner at a time until the group has enough voters', () => {
    const learners = ['b1', 'c1'];
    expect(next({voters: ['a1'], learners, complete: ['c1']})).toEqual({
      type: 'promote',
      member: 'c1',
    });
    expect(next({voters: ['a1'], learners, complete: []})).toBeUndefined();
    expect(next({voters: FULL, learners: ['d1']})).toBeUndefined();
  });

  it('removes the old ID of a host that lost its disk at once, before the new ID votes', () => {
    const diskLost = {
      learners: ['b2'],
      complete: [],
      unreachable: ['b1'],
    };
    expect(next({voters: FULL, ...diskLost})).toEqual({
      type: 'remove',
      member: 'b1',
    });
    expect(next({voters: ['a1', 'c1'], ...diskLost})).toBeUndefined();
    expect(next({voters: ['a1', 'c1'], learners: ['b2']})).toEqual({
      type: 'promote',
      member: 'b2',
    });
    // A group of an earlier version may hold both IDs as voters.
    expect(next({voters: [...FULL, 'b2'], unreachable: ['b1']})).toEqual({
      type: 'remove',
      member: 'b1',
    });
  });

  it('removes the ID that does not run if a host has two, whichever was added first', () => {
    const twice = {voters: FULL, learners: ['b0'], complete: []};
    expect(next({...twice, lost: ['b0']})).toEqual({
      type: 'remove',
      member: 'b0',
    });
    expect(next({...twice, unreachable: ['b0', 'b1']})).toBeUndefined();
  });

  it('keeps a learner that has just joined while its lost predecessor still seems to run', () => {
    const joined = {voters: FULL, learners: ['b2'], complete: []};
    expect(next({...joined, unreachable: ['b2']})).toBeUndefined();
  });

  it('promotes a successor before it removes an unreachable voter, which may still be needed', () => {
    const lost = ['b1'];
    expect(next({voters: FULL, lost})).toBeUndefined();
    const learners = ['d1'];
    expect(next({voters: FULL, learners, complete: [], lost})).toBeUndefined();
    expect(
      next({voters: FULL, learners, lost, unreachable: ['b1', 'd1']}),
    ).toBeUndefined();
    expect(next({voters: FULL, learners, lost})).toEqual({
      type: 'promote',
      member: 'd1',
    });
    expect(next({voters: [...FULL, 'd1'], lost})).toEqual({
      type: 'remove',
      member: 'b1',
    });
  });

  it('does not remove an unreachable learner in place of a voter', () => {
    const status = {voters: FULL, learners: ['d1'], complete: []};
    expect(next({...status, lost: ['d1']})).toBeUndefined();
  });

  it('does not promote an unreachable learner', () => {
    const alone = {voters: ['a1'], learners: ['b1']};
    expect(next({...alone, unreachable: ['b1']})).toBeUndefined();
  });

  it('promotes in the data centre with the fewest voters that are left', () => {
    const dataCentres = {a1: 'x', b1: 'y', c1: 'z', d1: 'x', e1: 'z'};
    const change = {
      voters: ['a1', 'b1'],
      learners: ['d1', 'e1'],
      dataCentres,
    };
    expect(next(change)).toEqual({type: 'promote', member: 'e1'});
  });
});
