/** Tests that a control group repairs its voters before a second loss. */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {startGroup, type Group, type GroupHost} from './group.js';

/**
 * A lost host no longer counts as lost once it, or its successor, has run for
 * this long.
 */
const CATCH_UP_MS = 4000;

let group: Group;

beforeEach(() => void vi.useFakeTimers());

afterEach(async () => {
  await group.stop();
  vi.useRealTimers();
});

function follower(): GroupHost {
  const leader = group.leader();
  const {voters} = group.status();
  return group.hosts.find(
    host => host !== leader && voters.includes(host.member) && host.process,
  )!;
}

/** Expects a leader after the last one may have noticed the loss of a host. */
async function expectLeader(): Promise<void> {
  await group.advance(1000);
  for (let waitedMs = 0; waitedMs < 2000; waitedMs += 50) {
    if (group.leader()) return;
    await group.advance(50);
  }
  expect(group.status()).toBe('a group with a leader');
}

describe('a control group of three voters', () => {
  it('has a leader after the loss of a second host 4 s after the successor of the first has started', async () => {
    group = await startGroup({voterCount: 3});
    group.powerOff(group.leader()!);
    await group.advance(1000);
    await group.addHost();
    await group.advance(CATCH_UP_MS);
    group.powerOff(follower());
    await expectLeader();
  });

  it('replaces a host although the leader changes meanwhile', async () => {
    group = await startGroup({voterCount: 3});
    group.powerOff(group.leader()!);
    await group.advance(1000);
    await group.addHost();
    await group.advance(7000);
    const restarted = group.leader()!;
    group.crash(restarted);
    await group.advance(1000);
    await group.start(restarted);
    await group.advance(7000);
    const wiped = group.leader()!;
    group.powerOff(wiped);
    group.wipe(wiped);
    await group.advance(2000);
    await group.powerOn(wiped);
    await expectLeader();
  });

  it('keeps a member whose partition has healed, also after its replacement', async () => {
    group = await startGroup({voterCount: 3, spares: 1});
    const host = follower();
    group.cut(host);
    await group.advance(12_000);
    group.heal(host);
    await group.advance(CATCH_UP_MS);
    const {voters, learners} = group.status();
    expect([...voters, ...learners]).toContain(host.member);
  });

  it('ignores a delayed request to join under an ID whose disk is lost', async () => {
    group = await startGroup({voterCount: 3});
    const host = follower();
    const lostId = host.member;
    group.powerOff(host);
    group.wipe(host);
    await group.advance(2000);
    await group.powerOn(host);
    await group.advance(CATCH_UP_MS);
    group.leader()!.process!.membership.admit(lostId);
    await group.advance(CATCH_UP_MS);
    const {voters, learners, retired} = group.status();
    expect(voters).toContain(host.member);
    expect(learners).toEqual([]);
    expect(retired).toEqual([lostId]);
  });

  it.each([
    {delayMs: 3, gapMs: 10},
    {delayMs: 20, gapMs: 10},
    {delayMs: 6, gapMs: 5},
  ])(
    'lets the new member of a lost disk vote although it trails frequent changes, by $delayMs ms with one each $gapMs ms',
    async ({delayMs, gapMs}) => {
      group = await startGroup({voterCount: 3});
      const host = follower();
      const propose = () => group.leader()?.process!.replica.propose('x');
      const load = setInterval(() => {
        propose()?.catch(() => {});
      }, gapMs);
      group.powerOff(host);
      group.wipe(host);
      await group.advance(2000);
      host.delayMs = delayMs;
      await group.powerOn(host);
      await group.advance(CATCH_UP_MS);
      expect(group.status().voters).toContain(host.member);
      clearInterval(load);
    },
  );

  it('keeps a running voter when a delayed request of an earlier member of its host arrives', async () => {
    group = await startGroup({voterCount: 3});
    const host = follower();
    group.leader()!.process!.membership.admit(`${host.address}/earlier`);
    await group.advance(CATCH_UP_MS);
    const {voters, learners} = group.status();
    expect(voters).toContain(host.member);
    expect(learners).toEqual([]);
  });
});

// The platform lets losses overlap if no more disks are lost than tolerated:
// service may stop until the hosts are back, but not for good.
describe.each([
  {voterCount: 3, wipedCount: 1},
  {voterCount: 5, wipedCount: 2},
])('a control group of $voterCount voters', ({voterCount, wipedCount}) => {
  it('recovers from the loss of other disks in the middle of a replacement once the replaced host is back', async () => {
    group = await startGroup({voterCount, spares: 1});
    const leader = group.leader()!;
    const {voters} = group.status();
    const [cutHost, ...others] = group.hosts.filter(
      host => host !== leader && voters.includes(host.member),
    );
    const wiped = others.slice(0, wipedCount);
    group.cut(cutHost!);
    while (leader.process!.replica.status().voters.length === voterCount) {
      await group.advance(1);
    }
    for (const host of wiped) {
      group.powerOff(host);
      group.wipe(host);
    }
    await group.advance(2000);
    for (const host of wiped) await group.powerOn(host);
    group.heal(cutHost!);
    await group.advance(12_000);
    expect(group.leader()).toBeDefined();
  });
});
