/** Tests that each safety mechanism works and that weakened variants fail. */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {MemberChange, Rules} from '@lentildrift/consensus';
import {Cluster, type ClusterOptions, type Host} from './cluster.js';
import {
  WithoutCheckQuorum,
  WithoutPreVote,
  WithoutReadRound,
  WithoutSync,
} from './weakened-rules.js';

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

async function startCluster(options: Partial<ClusterOptions> = {}) {
  const cluster = new Cluster({seed: 7, advance, ...options});
  await cluster.start();
  const leader = await cluster.waitForLeader();
  await advance(1000);
  const others = cluster.hosts.filter(host => host !== leader);
  return {cluster, leader, others: others as [Host, Host]};
}

function isolate(cluster: Cluster, host: Host): void {
  const others = cluster.hosts.filter(other => other !== host);
  const ids = others.map(({member}) => member);
  cluster.network.isolate(host.member, ids);
}

async function propose(cluster: Cluster, host: Host): Promise<boolean> {
  const proposing = cluster.propose(host);
  await advance(1000);
  const timeout = new Promise<boolean>(resolve => {
    setTimeout(() => resolve(false), 0);
  });
  await advance(1);
  return Promise.race([proposing, timeout]);
}

/** Whether the leader keeps its role and term when an isolated host returns. */
async function keepsLeaderOnReturn(rules?: Rules): Promise<boolean> {
  const {cluster, leader, others} = await startCluster({rules});
  const {term} = leader.replica!.status();
  isolate(cluster, others[0]);
  await advance(10_000);
  cluster.network.heal();
  await advance(5000);
  const status = leader.replica!.status();
  await cluster.stop();
  return status.role === 'leader' && status.term === term;
}

/**
 * Isolates the leader until the others have elected a new one, and reads from
 * the old one. Returns the old leader's role, whether the new leader committed
 * a change, and the violations.
 */
async function isolateLeader(rules?: Rules) {
  const {cluster, leader, others} = await startCluster({rules});
  isolate(cluster, leader);
  await advance(8000);
  const {role} = leader.replica!.status();
  const next = others.find(host => host.replica!.status().role === 'leader')!;
  const accepted = await propose(cluster, next);
  void cluster.read(leader);
  await advance(3000);
  await cluster.stop();
  return {role, accepted, violations: cluster.history.violations};
}

/**
 * Crashes the only connected follower before it has synced a new change, then
 * loses the leader. Returns the violations.
 */
async function crashBeforeSync(rules?: Rules): Promise<string[]> {
  const {cluster, leader, others} = await startCluster({rules});
  const [crashing, isolated] = others;
  isolate(cluster, isolated);
  crashing.crashAt = {point: 'before', skip: 0};
  await propose(cluster, leader);
  cluster.kill(leader);
  cluster.network.heal();
  await cluster.start(crashing);
  return collectViolations(cluster);
}

/**
 * Loses the disk of a host that acknowledged a change while the third host
 * lags behind, and loses the leader. Returns the violations.
 */
async function wipeAfterAcknowledge(
  memberId?: (host: string, wipes: number) => string,
): Promise<string[]> {
  const {cluster, leader, others} = await startCluster({memberId});
  const [wiped, lagging] = others;
  isolate(cluster, lagging);
  expect(await propose(cluster, leader)).toBe(true);
  cluster.kill(leader);
  cluster.wipe(wiped);
  cluster.network.heal();
  await cluster.start(wiped);
  return collectViolations(cluster);
}

/** Lets the live hosts go on, if they can, and returns the violations. */
async function collectViolations(cluster: Cluster): Promise<string[]> {
  await advance(10_000);
  const leader = cluster.leader();
  if (leader) {
    await propose(cluster, leader);
    cluster.history.checkComplete(leader.member, leader.replica!.state());
  }
  await cluster.stop();
  return cluster.history.violations;
}

describe('safety mechanism', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('pre-vote: a returning host does not depose a healthy leader', async () => {
    expect(await keepsLeaderOnReturn()).toBe(true);
    expect(await keepsLeaderOnReturn(new WithoutPreVote())).toBe(false);
  });

  it('check-quorum: an isolated leader steps down', async () => {
    expect((await isolateLeader()).role).not.toBe('leader');
    const weak = await isolateLeader(new WithoutCheckQuorum());
    expect(weak.role).toBe('leader');
    // The read round still keeps such a leader from answering stale reads.
    expect(weak).toMatchObject({accepted: true, violations: []});
  });

  it('read round: without it, an isolated leader answers a stale read', async () => {
    const {violations} = await isolateLeader(new WithoutReadRound());
    expect(violations).toEqual([expect.stringContaining('a read returned')]);
  });

  it('sync: an acknowledged change survives a crash', async () => {
    expect(await crashBeforeSync()).toEqual([]);
    expect(await crashBeforeSync(new WithoutSync())).not.toEqual([]);
  });

  it('new member ID: an acknowledged change survives the loss of a disk', async () => {
    expect(await wipeAfterAcknowledge()).toEqual([]);
    expect(await wipeAfterAcknowledge(host => host)).not.toEqual([]);
  });

  it('repair: accepted changes survive the loss of a second host', async () => {
    const {cluster, leader, others} = await startCluster({snapshotEvery: 3});
    for (let i = 0; i < 5; i++) {
      expect(await propose(cluster, leader)).toBe(true);
    }
    const [wiped, other] = others;
    const old = wiped.member;
    cluster.wipe(wiped);
    await cluster.start(wiped);
    expect(await cluster.repair(wiped, old)).toBe(true);
    expect(await propose(cluster, leader)).toBe(true);
    cluster.wipe(leader);
    await advance(10_000);
    const next = await cluster.waitForLeader();
    expect([wiped, other]).toContain(next);
    expect(await propose(cluster, next)).toBe(true);
    // One of these changes was proposed by `repair`.
    expect(cluster.history.acknowledged).toHaveLength(8);
    expect(await collectViolations(cluster)).toEqual([]);
  });

  it('membership: a removed ID is not admitted again and a lagging learner is not promoted', async () => {
    const {cluster, leader, others} = await startCluster();
    const {replica} = leader;
    const [removed] = others;
    const change = async (type: MemberChange['type'], id: string) => {
      const changing = replica!.changeMembers({type, member: id}).then(
        () => 'done',
        (error: Error) => error.message,
      );
      await advance(1000);
      return changing;
    };
    expect(await change('remove', removed.member)).toBe('done');
    expect(await change('add-learner', removed.member)).toContain(
      'was removed',
    );
    expect(await change('add-learner', 'absent')).toBe('done');
    expect(await change('promote', 'absent')).toContain('not caught up');
    expect(await change('remove', leader.member)).toContain('hand leadership');
    await advance(10_000);
    // The removed member does not learn of its removal and keeps asking for
    // votes, which must not disturb the others.
    expect(leader.replica!.status().role).toBe('leader');
    for (let i = 0; i < 5; i++) {
      expect(await propose(cluster, leader)).toBe(true);
    }
    // It has kept its disk, so it may join again, without a vote at first.
    expect(await change('rejoin', removed.member)).toBe('done');
    expect(removed.replica!.status().role).toBe('learner');
    expect(removed.replica!.state()).toHaveLength(5);
    expect(await change('promote', removed.member)).toBe('done');
    expect(removed.replica!.status().role).toBe('follower');
    expect(leader.replica!.status().role).toBe('leader');
    expect(await collectViolations(cluster)).toEqual([]);
  });

  it('crash: acknowledged changes survive crashes before and after any sync', async () => {
    for (const point of ['before', 'after'] as const) {
      for (let skip = 0; skip < 12; skip++) {
        const cluster = new Cluster({seed: 3, advance, snapshotEvery: 4});
        for (const host of cluster.hosts) host.crashAt = {point, skip};
        await cluster.start();
        await advance(6000);
        for (let i = 0; i < 12; i++) {
          await cluster.start();
          const leader = await cluster.waitForLeader();
          await propose(cluster, leader);
        }
        expect(cluster.hosts.every(({crashAt}) => !crashAt)).toBe(true);
        expect(await collectViolations(cluster)).toEqual([]);
        expect(cluster.history.acknowledged.length).toBeGreaterThan(5);
      }
    }
  });

  it('lease: answers that waited for a frozen leader do not confirm it', async () => {
    const {cluster, leader, others} = await startCluster();
    const {network} = cluster;
    const {member, replica} = leader;
    expect(replica!.isConfirmedLeader()).toBe(true);
    network.hold(member);
    // Long enough for one heartbeat round.
    await advance(600);
    for (const other of others) network.cut(member, other.member);
    await advance(300);
    network.release(member);
    // The shortest election timeout has now passed since the round began, but
    // not since its answers arrived.
    await advance(1250);
    expect(replica!.status().role).toBe('leader');
    expect(replica!.isConfirmedLeader()).toBe(false);
    await cluster.stop();
  });

  it('stop: a leader hands over instead of leaving the group to an election timeout', async () => {
    const {cluster, leader} = await startCluster();
    const stopping = leader.replica!.stop();
    await advance(200);
    const next = cluster.leader();
    expect(next).toBeDefined();
    expect(next).not.toBe(leader);
    await advance(1500);
    await stopping;
    await cluster.stop();
  });
});
