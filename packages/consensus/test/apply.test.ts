/** Tests that applying a long log does not keep a member from its other work. */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {Rules} from '@lentildrift/consensus';
import {EMPTY_LOG} from '@lentildrift/storage';
import {Cluster, type ClusterOptions} from './cluster.js';

/** Number of changes between two snapshots, unless a deployment sets another. */
const LOG_LENGTH = 1000;

class ShortTimeouts extends Rules {
  override readonly heartbeatIntervalMs = 100;
  override readonly minElectionTimeoutMs = 550;
  override readonly maxElectionTimeoutMs = 950;
  override readonly startupTimeoutFactor = 0.35;
}

class OneEntryPerTurn extends ShortTimeouts {
  override readonly applySliceMs = 0;
}

/** Proposes `count` changes at once and returns how many were acknowledged. */
async function proposeMany(cluster: Cluster, count: number): Promise<number> {
  const leader = await cluster.waitForLeader();
  const proposals = Array.from({length: count}, () => cluster.propose(leader));
  await cluster.advance(1000);
  const results = await Promise.all(proposals);
  return results.filter(isAcknowledged => isAcknowledged).length;
}

describe('a group whose members all restart with a long log', () => {
  const sleep = (ms: number) =>
    new Promise<void>(resolve => setTimeout(resolve, ms));
  afterEach(() => void vi.useRealTimers());

  it('elects one leader, which sends heartbeats while all apply their logs', async () => {
    // The log is written with fake timers, and applied in real time.
    vi.useFakeTimers();
    let applyMs = 0;
    const cluster = new Cluster({
      seed: 11,
      rules: new ShortTimeouts(),
      snapshotEvery: 2 * LOG_LENGTH,
      advance: ms =>
        vi.isFakeTimers() ? vi.advanceTimersByTimeAsync(ms) : sleep(ms),
      onApplying() {
        const endMs = performance.now() + applyMs;
        while (performance.now() < endMs);
      },
    });
    await cluster.start();
    expect(await proposeMany(cluster, LOG_LENGTH)).toBe(LOG_LENGTH);
    const {term} = cluster.leader()!.replica!.status();
    for (const host of cluster.hosts) cluster.kill(host);
    await cluster.advance(100);
    vi.useRealTimers();
    applyMs = 1;
    await cluster.start();
    const terms = new Set<number>();
    for (const {replica} of cluster.hosts) {
      replica!.onStatusChange(status => terms.add(status.term));
    }
    await Promise.all(
      cluster.hosts.map(({replica}) => replica!.waitForRevision(LOG_LENGTH)),
    );
    await sleep(1000);
    expect([...terms].filter(each => each > term)).toEqual([term + 1]);
    expect(cluster.history.violations).toEqual([]);
    await cluster.stop();
  }, 30_000);
});

describe('a member that has applied only a part of the committed entries', () => {
  const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);
  let appliedInTurn = 0;
  let mostInTurn = 0;
  let onApplying: (() => void) | undefined;

  function createCluster(snapshotEvery: number): Cluster {
    return new Cluster({
      seed: 5,
      rules: new OneEntryPerTurn(),
      snapshotEvery,
      advance,
      onApplying() {
        if (appliedInTurn++ === 0) setImmediate(() => (appliedInTurn = 0));
        mostInTurn = Math.max(mostInTurn, appliedInTurn);
        onApplying?.();
      },
    });
  }

  beforeEach(() => {
    vi.useFakeTimers();
    appliedInTurn = 0;
    mostInTurn = 0;
    onApplying = undefined;
  });
  afterEach(() => void vi.useRealTimers());

  it('applies the rest in later turns and compacts only what is applied', async () => {
    const cluster = createCluster(7);
    await cluster.start();
    expect(await proposeMany(cluster, 50)).toBe(50);
    for (let restart = 0; restart < 3; restart++) {
      for (const host of cluster.hosts) cluster.kill(host);
      await cluster.start();
      const leader = await cluster.waitForLeader();
      const reading = leader.replica!.readIndex();
      await advance(1000);
      expect(await reading).toBe(50);
      for (const {member, replica} of cluster.hosts) {
        expect(replica!.status().revision).toBe(50);
        cluster.history.checkComplete(member, replica!.state());
      }
    }
    // Each of the three members applies one entry a turn.
    expect(mostInTurn).toBeLessThanOrEqual(cluster.hosts.length);
    expect(cluster.history.violations).toEqual([]);
    await cluster.stop();
  });

  it('answers committed proposals although leadership has ended meanwhile', async () => {
    const cluster = createCluster(1000);
    await cluster.start();
    const leader = await cluster.waitForLeader();
    onApplying = () => {
      onApplying = undefined;
      leader.replica!.transferLeadership();
    };
    expect(await proposeMany(cluster, 300)).toBe(300);
    expect(cluster.leader()).not.toBe(leader);
    expect(cluster.history.violations).toEqual([]);
    await cluster.stop();
  });

  it('rejects waiting reads and proposals when it stops', async () => {
    const cluster = createCluster(1000);
    await cluster.start();
    const leader = await cluster.waitForLeader();
    onApplying = () => {
      onApplying = undefined;
      leader.replica!.kill();
    };
    const waiting = leader
      .replica!.waitForRevision(100)
      .catch((error: Error) => error.name);
    const proposals = Array.from({length: 100}, () =>
      leader.replica!.propose('x').catch((error: Error) => error.name),
    );
    await advance(1000);
    expect(await waiting).toBe('TaskStoppedError');
    const results = await Promise.all(proposals);
    expect(results.slice(1)).toEqual(Array(99).fill('OutcomeUnknown'));
    expect(leader.replica!.status().revision).toBeLessThan(100);
    await cluster.stop();
  });
});

describe('a member that restarts', () => {
  const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);
  /** Shorter than the first election timeout after a start. */
  const BEFORE_ELECTION_MS = 150;

  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  /** A group that has committed 51 changes, the last one alone. */
  async function createGroupWithLog(
    options: Partial<ClusterOptions> = {},
  ): Promise<Cluster> {
    const cluster = new Cluster({
      seed: 5,
      rules: new OneEntryPerTurn(),
      snapshotEvery: 1000,
      advance,
      ...options,
    });
    await cluster.start();
    expect(await proposeMany(cluster, 50)).toBe(50);
    // Members record that the first 50 are committed when they write this one.
    expect(await proposeMany(cluster, 1)).toBe(1);
    return cluster;
  }

  async function restartAll(cluster: Cluster): Promise<void> {
    for (const host of cluster.hosts) cluster.kill(host);
    await advance(100);
    await cluster.start();
  }

  it('applies what it knew as committed before a leader is elected', async () => {
    const cluster = await createGroupWithLog();
    await restartAll(cluster);
    await advance(BEFORE_ELECTION_MS);
    for (const {member, replica} of cluster.hosts) {
      expect(replica!.status()).toMatchObject({
        role: 'follower',
        leader: undefined,
        revision: 50,
      });
      cluster.history.checkAll(member, replica!.state());
      await replica!.waitForRevision(50);
      // Only a confirmed leader answers reads, whatever is applied.
      const refused = replica!.readIndex().catch((error: Error) => error.name);
      await advance(1);
      expect(await refused).toBe('NotLeader');
    }
    const leader = await cluster.waitForLeader();
    const reading = leader.replica!.readIndex();
    await advance(1000);
    expect(await reading).toBe(51);
    expect(cluster.leader()!.replica!.status().revision).toBe(51);
    expect(cluster.history.violations).toEqual([]);
    expect(cluster.failures).toEqual([]);
    await cluster.stop();
  });

  it('applies no uncommitted entry, although a member without a leader holds it', async () => {
    const cluster = await createGroupWithLog();
    const deposed = await cluster.waitForLeader();
    const others = cluster.hosts.filter(host => host !== deposed);
    const isolate = () =>
      cluster.network.isolate(
        deposed.member,
        others.map(({member}) => member),
      );
    isolate();
    const uncommitted = [1, 2, 3].map(() => cluster.propose(deposed));
    await advance(20);
    for (const host of cluster.hosts) cluster.kill(host);
    expect(await Promise.all(uncommitted)).toEqual([false, false, false]);
    expect(deposed.disk.synced.records.at(-1)!.revision).toBe(54);

    await cluster.start(deposed);
    await advance(2000);
    expect(deposed.replica!.status().revision).toBe(51);
    await cluster.start(...others);
    isolate();
    expect(await proposeMany(cluster, 5)).toBe(5);
    cluster.network.heal();
    await advance(5000);
    for (const {member, replica} of cluster.hosts) {
      expect(replica!.status().revision).toBe(56);
      cluster.history.checkComplete(member, replica!.state());
    }
    expect(cluster.history.violations).toEqual([]);
    expect(cluster.failures).toEqual([]);
    await cluster.stop();
  });

  it('waits for the next leader if its log, written by an earlier version, records no commit index', async () => {
    const cluster = await createGroupWithLog();
    for (const host of cluster.hosts) cluster.kill(host);
    for (const {disk} of cluster.hosts) {
      disk.synced = {...disk.synced, commitIndex: EMPTY_LOG.commitIndex};
    }
    await cluster.start();
    await advance(BEFORE_ELECTION_MS);
    for (const {replica} of cluster.hosts) {
      expect(replica!.status().revision).toBe(0);
    }
    await cluster.waitForLeader();
    await advance(1000);
    for (const {replica} of cluster.hosts) {
      expect(replica!.status().revision).toBe(51);
    }
    expect(cluster.history.violations).toEqual([]);
    await cluster.stop();
  });
});
