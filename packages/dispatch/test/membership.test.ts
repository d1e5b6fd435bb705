/** Tests the choice of membership changes, also after the loss of disks. */
import type {ReplicaStatus} from '@lentildrift/consensus';
import {describe, expect, it} from 'vitest';
import {nextChange} from '../src/membership.js';

function status(voters: string[], learners: string[] = []): ReplicaStatus {
  return {
    member: 'a:1/x',
    role: 'leader',
    term: 1,
    leader: 'a:1/x',
    revision: 0,
    voters,
    learners,
  };
}

const FULL = ['a:1/x', 'b:1/x', 'c:1/x'];

describe('the next membership change', () => {
  it('promotes one learner at a time until the group has enough voters', () => {
    expect(nextChange(status(['a:1/x'], ['b:1/x', 'c:1/x']), 3, [])).toEqual({
      type: 'promote',
      member: 'b:1/x',
    });
    expect(nextChange(status(FULL, ['d:1/x']), 3, [])).toBeUndefined();
  });

  it('makes the new ID of a host that lost its disk a voter before it removes the old ID', () => {
    const diskLost = status(FULL, ['b:1/y']);
    expect(nextChange(diskLost, 3, [])).toEqual({
      type: 'promote',
      member: 'b:1/y',
    });
    const both = status([...FULL, 'b:1/y']);
    expect(nextChange(both, 3, [])).toEqual({type: 'remove', member: 'b:1/x'});
  });

  it('replaces a lost voter only if a learner is available', () => {
    expect(nextChange(status(FULL), 3, ['b:1/x'])).toBeUndefined();
    expect(nextChange(status(FULL, ['d:1/x']), 3, ['b:1/x'])).toEqual({
      type: 'promote',
      member: 'd:1/x',
    });
    const more = status([...FULL, 'd:1/x']);
    expect(nextChange(more, 3, ['b:1/x'])).toEqual({
      type: 'remove',
      member: 'b:1/x',
    });
  });

  it('does not promote an unreachable learner', () => {
    const alone = status(['a:1/x'], ['b:1/x']);
    expect(nextChange(alone, 3, ['b:1/x'])).toBeUndefined();
  });
});
