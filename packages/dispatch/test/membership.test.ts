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

describe('membership', () => {
  it('grows one voter at a time up to the number wanted', () => {
    expect(nextChange(status(['a:1/x'], ['b:1/x', 'c:1/x']), 3, [])).toEqual({
      type: 'promote',
      member: 'b:1/x',
    });
    expect(nextChange(status(FULL, ['d:1/x']), 3, [])).toBeUndefined();
  });

  it('lets a host without its disk vote before its old ID is removed', () => {
    const wiped = status(FULL, ['b:1/y']);
    expect(nextChange(wiped, 3, [])).toEqual({
      type: 'promote',
      member: 'b:1/y',
    });
    const both = status([...FULL, 'b:1/y']);
    expect(nextChange(both, 3, [])).toEqual({type: 'remove', member: 'b:1/x'});
  });

  it('replaces a voter that is lost only if a learner is at hand', () => {
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

  it('does not promote a learner that cannot be reached', () => {
    const alone = status(['a:1/x'], ['b:1/x']);
    expect(nextChange(alone, 3, ['b:1/x'])).toBeUndefined();
  });
});
