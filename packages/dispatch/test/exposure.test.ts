/**
 * Tests how long a control group tolerates no further loss after the loss of
 * its leader's host: from the loss until a quorum would be left again.
 */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {startGroup, type Group, type GroupHost} from './group.js';

/**
 * A lost host no longer counts as lost once it, or its successor, has run for
 * this long.
 */
const CATCH_UP_MS = 4000;
const SAMPLE_MS = 25;
const OBSERVED_MS = 15_000;

type Loss = 'crash' | 'power' | 'cut' | 'replaced' | 'wiped';

/** Time until the host, or its successor, runs and is connected. */
const ABSENCE_MS: Readonly<Record<Loss, number>> = {
  crash: 1000,
  power: 3000,
  cut: 6000,
  replaced: 1000,
  wiped: 2000,
};

let group: Group;

beforeEach(() => void vi.useFakeTimers());

afterEach(async () => {
  await group.stop();
  vi.useRealTimers();
});

function lose(host: GroupHost, loss: Loss): void {
  if (loss === 'crash') group.crash(host);
  else if (loss === 'cut') group.cut(host);
  else group.powerOff(host);
  if (loss === 'wiped') group.wipe(host);
}

async function bringBack(host: GroupHost, loss: Loss): Promise<void> {
  if (loss === 'crash') await group.start(host);
  else if (loss === 'cut') group.heal(host);
  else if (loss === 'replaced') await group.addHost();
  else await group.powerOn(host);
}

/** Loses hosts, the leader's first; returns the time without tolerance. */
async function measureExposure(loss: Loss, count: number): Promise<number> {
  const leader = group.leader()!;
  const {voters} = group.status();
  const others = group.hosts.filter(
    host => host !== leader && voters.includes(host.member),
  );
  const hosts = [leader, ...others].slice(0, count);
  for (const host of hosts) lose(host, loss);
  let exposedMs = 0;
  for (let elapsedMs = 0; elapsedMs < OBSERVED_MS; elapsedMs += SAMPLE_MS) {
    if (elapsedMs === ABSENCE_MS[loss]) {
      for (const host of hosts) await bringBack(host, loss);
    }
    await group.advance(SAMPLE_MS);
    if (!group.toleratesLoss()) exposedMs += SAMPLE_MS;
  }
  return exposedMs;
}

describe.each([
  {voterCount: 3, count: 1},
  {voterCount: 5, count: 2},
])('a group of $voterCount voters that loses $count', ({voterCount, count}) => {
  it.each<Loss>(['crash', 'power', 'cut', 'replaced', 'wiped'])(
    'tolerates one more loss soon after the end of an absence: %s',
    async loss => {
      group = await startGroup({voterCount});
      const exposedMs = await measureExposure(loss, count);
      expect(exposedMs).toBeLessThanOrEqual(ABSENCE_MS[loss] + CATCH_UP_MS);
    },
  );

  it.each<Loss>(['power', 'cut'])(
    'tolerates one more loss before the end of an absence if there are spare members: %s',
    async loss => {
      group = await startGroup({voterCount, spares: count});
      expect(await measureExposure(loss, count)).toBeLessThanOrEqual(
        CATCH_UP_MS,
      );
    },
  );
});
