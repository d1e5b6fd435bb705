/** Tests the log lines that explain a group without a leader. */
import {createReachability, type ReplicaStatus} from '@lentildrift/consensus';
import type {Log} from '@lentildrift/observe';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function status(leader: string | undefined): ReplicaStatus {
  return {
    member: 'a:1/x',
    role: 'follower',
    term: 3,
    leader,
    revision: 0,
    voters: ['a:1/x', 'b:1/x', 'c:1/x'],
    learners: [],
    completeLearners: [],
    retired: [],
  };
}

describe('the reachability of the members', () => {
  it('is logged once at each change, and every 2 s with the members while no leader is known', () => {
    const lines: string[] = [];
    const record = (event: string, fields: Record<string, unknown> = {}) => {
      lines.push(`${event} ${fields.member ?? fields.unreachable}`);
    };
    const log = {info: record, warn: record} as unknown as Log;
    let down = 'b:1/x';
    const reachability = createReachability({
      log,
      isReachable: id => id !== down,
    });
    reachability.observe(status('c:1/x'));
    reachability.observe(status('c:1/x'));
    vi.advanceTimersByTime(1900);
    reachability.observe(status(undefined));
    vi.advanceTimersByTime(200);
    reachability.observe(status(undefined));
    reachability.observe(status(undefined));
    down = '';
    reachability.observe(status('c:1/x'));
    expect(lines).toEqual([
      'member-unreachable b:1/x',
      'group-without-leader b:1/x',
      'member-reachable b:1/x',
    ]);
  });
});
