/** Tests that a control group of named members keeps a quorum of voters. */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {startMemberGroup, type MemberGroup} from './member-group.js';

/**
 * A lost host no longer counts as lost once it, or its successor, has run for
 * this long.
 */
const CATCH_UP_MS = 4000;
/** Two elections of at most 3 s each. */
const ELECTION_MS = 6000;

let group: MemberGroup;

beforeEach(() => void vi.useFakeTimers());

afterEach(async () => {
  await group.stop();
  vi.useRealTimers();
});

const hasLeader = () => group.leader() !== undefined;

describe('a control group', () => {
  it('never has both IDs of a host that lost its disk as voters', async () => {
    group = await startMemberGroup(3);
    const [host] = group.followers();
    group.powerOff(host!);
    group.wipe(host!);
    await group.advance(2000);
    group.voterSets.length = 0;
    await group.powerOn(host!);
    await group.advance(CATCH_UP_MS);
    const {voters, learners} = group.members();
    expect(voters).toHaveLength(3);
    expect(voters).toContain(host!.member);
    expect(learners).toEqual([]);
    for (const set of group.voterSets) {
      expect(set.length).toBeLessThanOrEqual(3);
    }
  });

  it('gives a host that lost its disk its vote although another host does not answer', async () => {
    group = await startMemberGroup(5);
    const [silent, wiped] = group.followers();
    group.powerOff(silent!);
    group.powerOff(wiped!);
    group.wipe(wiped!);
    await group.advance(2000);
    await group.powerOn(wiped!);
    const isReplaced = () => {
      const {voters} = group.members();
      return voters.includes(wiped!.member) && voters.length === 5;
    };
    const replacedMs = await group.timeUntil(isReplaced, 30_000);
    expect(replacedMs).toBeLessThanOrEqual(CATCH_UP_MS);
  });

  it('has a leader after a third loss once a learner could vote in place of each lost voter', async () => {
    group = await startMemberGroup(8);
    for (const change of ['first', 'second', 'third']) {
      const {voters, learners} = group.members();
      expect(voters, `before the ${change} loss`).toHaveLength(5);
      expect(learners.length).toBeGreaterThan(0);
      group.powerOff(group.leader()!);
      await group.advance(ELECTION_MS);
      expect(hasLeader(), `after the ${change} loss`).toBe(true);
      await group.advance(CATCH_UP_MS);
    }
  });

  it('replaces a lost voter although the leader changes meanwhile', async () => {
    group = await startMemberGroup(6);
    const [lost] = group.followers();
    group.powerOff(lost!);
    for (let changes = 0; changes < 3; changes++) {
      await group.advance(2500);
      const restarted = group.leader()!;
      group.crash(restarted);
      await group.timeUntil(hasLeader, ELECTION_MS);
      await group.start(restarted);
    }
    await group.advance(CATCH_UP_MS);
    const {voters} = group.members();
    expect(voters).toHaveLength(5);
    expect(voters).not.toContain(lost!.member);
  });

  it('keeps a member whose partition has healed, also after its replacement', async () => {
    group = await startMemberGroup(6);
    const [host] = group.followers();
    group.cut(host!);
    await group.advance(15_000);
    group.heal(host!);
    const isMember = () => {
      const {voters, learners} = group.members();
      return [...voters, ...learners].includes(host!.member);
    };
    await group.advance(CATCH_UP_MS);
    expect(isMember()).toBe(true);
  });

  it('ignores a delayed request to join under an ID whose disk is lost', async () => {
    group = await startMemberGroup(3);
    const [host] = group.followers();
    const lostId = host!.member;
    group.powerOff(host!);
    group.wipe(host!);
    await group.advance(2000);
    await group.powerOn(host!);
    await group.advance(CATCH_UP_MS);
    group.leader()!.process!.membership.handleJoinRequest(lostId);
    await group.advance(CATCH_UP_MS);
    const {voters, learners} = group.members();
    expect(voters).toContain(host!.member);
    expect([...voters, ...learners]).not.toContain(lostId);
  });
});
