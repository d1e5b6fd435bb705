/** Tests the estimate of how long hosts are down for their maintenance. */
import {
  TimedWaves,
  type WaveDecision,
  type WaveView,
} from '@lentildrift/scheduling';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createDowntimeEstimate} from '../src/downtime.js';
import {createHarness, worker, type Harness} from './harness.js';

/** Records the expected time of a host in each view of a wave. */
class RecordingWaves extends TimedWaves {
  readonly hostTimesMs = new Set<number>();

  override select(view: WaveView): WaveDecision {
    this.hostTimesMs.add(view.hostTimeMs);
    return super.select(view);
  }
}

/** Longest wait for the tasks on a host, and the first estimate. */
const INITIAL_HOST_TIME_MS = 3500 + 2500;

describe('the estimate of the downtime', () => {
  // One host that hung for a minute had all hosts in use emptied too early.
  it('takes a host that is down for very long for one of the longest usual time', () => {
    const estimate = createDowntimeEstimate();
    estimate.record(60_000);
    expect(estimate.meanMs()).toBe(0.8 * 2500 + 0.2 * 10_000);
  });

  it('follows the hosts that return', () => {
    const estimate = createDowntimeEstimate();
    for (let nth = 0; nth < 30; nth++) estimate.record(4000);
    expect(estimate.meanMs()).toBeCloseTo(4000, -1);
  });
});

describe('a wave', () => {
  let harness: Harness;
  let waves: RecordingWaves;

  beforeEach(async () => {
    vi.useFakeTimers();
    waves = new RecordingWaves();
    harness = await createHarness({waves});
    for (const name of ['w1', 'w2', 'w3']) {
      await harness.addWorker(worker(name));
    }
  });

  afterEach(async () => {
    await harness.stop();
    vi.useRealTimers();
  });

  async function openWave(): Promise<void> {
    const hosts = {'m-w1': 'due', 'm-w2': 'due', 'm-w3': 'due'} as const;
    const acceptedAtMs = Date.now();
    const wave = {id: 1, durationMs: 26_000, atOnce: 1, acceptedAtMs, hosts};
    void harness.leader.commit({type: 'wave', wave});
    for (let turn = 0; harness.hosts.orders.length === 0; turn++) {
      expect(turn).toBeLessThan(200);
      await harness.advance(10);
    }
  }

  /** Advances until the second host is ordered down. */
  async function awaitSecondOrder(): Promise<void> {
    for (let turn = 0; harness.hosts.orders.length < 2; turn++) {
      expect(turn).toBeLessThan(2000);
      await harness.advance(10);
    }
  }

  it('learns from the hosts that return', async () => {
    await openWave();
    await awaitSecondOrder();
    await harness.advance(200);
    expect(waves.hostTimesMs.size).toBe(2);
  });

  // The time from the change of leader, or until a list lacked the host, was
  // taken for the time of a maintenance.
  it('learns nothing from a host that the last leader ordered down', async () => {
    await openWave();
    await harness.replaceLeader();
    await awaitSecondOrder();
    await harness.advance(200);
    expect([...waves.hostTimesMs]).toEqual([INITIAL_HOST_TIME_MS]);
  });

  it('learns nothing from a host that is removed', async () => {
    await openWave();
    const {host} = harness.hosts.orders[0]!;
    const list = harness.hosts.list.bind(harness.hosts);
    vi.spyOn(harness.hosts, 'list').mockImplementation(async () =>
      (await list()).filter(({id}) => id !== host),
    );
    await awaitSecondOrder();
    await harness.advance(200);
    expect([...waves.hostTimesMs]).toEqual([INITIAL_HOST_TIME_MS]);
  });
});
