/** Each mechanism holds its check, and its weakened variant breaks it. */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {Rules} from '@lentildrift/consensus';
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
  const leader = await cluster.untilLeader();
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
  const late = new Promise<boolean>(resolve => {
    setTimeout(() => resolve(false), 0);
  });
  await advance(1);
  return Promise.race([proposing, late]);
}

/** Whether the leader keeps its term when a host returns from isolation. */
async function survivesReturn(rules?: Rules): Promise<boolean> {
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

/** What a leader that is cut off reports after the others have moved on. */
async function cutOffLeader(rules?: Rules) {
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

/** The follower that acknowledges loses power before its sync. */
async function crashBeforeSync(rules?: Rules): Promise<string[]> {
  const {cluster, leader, others} = await startCluster({rules});
  const [crashing, isolated] = others;
  isolate(cluster, isolated);
  crashing.crashAt = {point: 'before', skip: 0};
  await propose(cluster, leader);
  cluster.kill(leader);
  cluster.network.heal();
  await cluster.start(crashing);
  return conclude(cluster);
}

/** A host that acknowledged loses its disk while the third one lags. */
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
  return conclude(cluster);
}

/** The violations once the live hosts have gone on, if they can. */
async function conclude(cluster: Cluster): Promise<string[]> {
  await advance(10_000);
  const leader = cluster.leader();
  if (leader) {
    await propose(cluster, leader);
    cluster.history.complete(leader.member, leader.replica!.state());
  }
  await cluster.stop();
  return cluster.history.violations;
}

describe('mechanism', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('pre-vote: a returning host deposes a healthy leader only without it', async () => {
    expect(await survivesReturn()).toBe(true);
    expect(await survivesReturn(new WithoutPreVote())).toBe(false);
  });

  it('check-quorum: a leader that is cut off goes on only without it', async () => {
    expect((await cutOffLeader()).role).not.toBe('leader');
    const weak = await cutOffLeader(new WithoutCheckQuorum());
    expect(weak.role).toBe('leader');
    // The read round still protects reads from such a leader.
    expect(weak).toMatchObject({accepted: true, violations: []});
  });

  it('read round: a leader that is cut off gives a stale read only without it', async () => {
    const {violations} = await cutOffLeader(new WithoutReadRound());
    expect(violations).toEqual([expect.stringContaining('a read gave')]);
  });

  it('sync: an acknowledged change is lost in a crash only without it', async () => {
    expect(await crashBeforeSync()).toEqual([]);
    expect(await crashBeforeSync(new WithoutSync())).not.toEqual([]);
  });

  it('new ID after a wipe: a forgotten change is outvoted only without it', async () => {
    expect(await wipeAfterAcknowledge()).toEqual([]);
    expect(await wipeAfterAcknowledge(host => host)).not.toEqual([]);
  });

  it('repair: an accepted change survives the loss of a second host', async () => {
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
    const next = await cluster.untilLeader();
    expect([wiped, other]).toContain(next);
    expect(await propose(cluster, next)).toBe(true);
    // One of these is the repair's own.
    expect(cluster.history.acknowledged).toHaveLength(8);
    expect(await conclude(cluster)).toEqual([]);
  });

  it('membership: a removed ID is admitted again, or one that lags is promoted', async () => {
    const {cluster, leader, others} = await startCluster();
    const {replica} = leader;
    const [gone] = others;
    const change = async (
      type: 'add-learner' | 'promote' | 'remove',
      id: string,
    ) => {
      const changing = replica!.changeMembers({type, member: id}).then(
        () => 'done',
        (error: Error) => error.message,
      );
      await advance(1000);
      return changing;
    };
    expect(await change('remove', gone.member)).toBe('done');
    expect(await change('add-learner', gone.member)).toContain('was removed');
    expect(await change('add-learner', 'absent')).toBe('done');
    expect(await change('promote', 'absent')).toContain('not caught up');
    expect(await change('remove', leader.member)).toContain('hand leadership');
    await advance(10_000);
    // The removed member does not hear this and must not disturb the rest.
    expect(leader.replica!.status().role).toBe('leader');
    await cluster.stop();
  });

  it('crash: a member that dies at any of its syncs breaks the group', async () => {
    for (const point of ['before', 'after'] as const) {
      for (let skip = 0; skip < 12; skip++) {
        const cluster = new Cluster({seed: 3, advance, snapshotEvery: 4});
        for (const host of cluster.hosts) host.crashAt = {point, skip};
        await cluster.start();
        await advance(6000);
        for (let i = 0; i < 12; i++) {
          await cluster.start();
          const leader = await cluster.untilLeader();
          await propose(cluster, leader);
        }
        expect(cluster.hosts.every(({crashAt}) => !crashAt)).toBe(true);
        expect(await conclude(cluster)).toEqual([]);
        expect(cluster.history.acknowledged.length).toBeGreaterThan(5);
      }
    }
  });

  it('lease: answers that waited for a frozen leader renew its trust', async () => {
    const {cluster, leader, others} = await startCluster();
    const {network} = cluster;
    const {member, replica} = leader;
    expect(replica!.isConfirmedLeader()).toBe(true);
    network.hold(member);
    // Time for one heartbeat round.
    await advance(600);
    for (const other of others) network.cut(member, other.member);
    await advance(300);
    network.release(member);
    // Longer than an election since the round, not since its answers.
    await advance(1250);
    expect(replica!.status().role).toBe('leader');
    expect(replica!.isConfirmedLeader()).toBe(false);
    await cluster.stop();
  });

  it('stop: the group waits for an election instead of a hand-over', async () => {
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
