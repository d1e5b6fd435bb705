/** Tests that applying a long log does not keep a member from its other work. */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {Rules} from '@lentildrift/consensus';
import {Cluster} from './cluster.js';

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
