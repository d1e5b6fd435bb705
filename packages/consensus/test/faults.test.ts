import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {runFaults} from './faults.js';

const SEEDS = 200;
const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

describe('random faults', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('lose, change or reorder no committed change, and give no stale read', async () => {
    const found: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      const violations = await runFaults({seed, advance});
      if (violations.length > 0) found.push(`seed ${seed}: ${violations[0]}`);
    }
    expect(found).toEqual([]);
  }, 120_000);
});
