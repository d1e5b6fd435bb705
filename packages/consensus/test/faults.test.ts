import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {Rules} from '@lentildrift/consensus';
import {runFaults, type Outcome} from './faults.js';
import {WithoutSync} from './weakened-rules.js';

const SEEDS = 200;
const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

async function runSeeds(rules?: Rules) {
  const outcomes: Outcome[] = [];
  const found: string[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const size = seed % 8 === 0 ? 5 : 3;
    const outcome = await runFaults({
      seed,
      size,
      advance,
      ...(rules && {rules}),
    });
    outcomes.push(outcome);
    const [violation] = outcome.violations;
    if (violation) found.push(`seed ${seed}: ${violation}`);
    if (violation && rules) break;
  }
  const sum = (of: (outcome: Outcome) => number) =>
    outcomes.reduce((total, outcome) => total + of(outcome), 0);
  return {found, sum};
}

describe('random faults', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('lose, change or reorder no committed change, and give no stale read', async () => {
    const {found, sum} = await runSeeds();
    expect(found).toEqual([]);
    // A run in which little happens would show nothing.
    expect(sum(({acknowledged}) => acknowledged)).toBeGreaterThan(10 * SEEDS);
    expect(sum(({reads}) => reads)).toBeGreaterThan(5 * SEEDS);
    expect(sum(({snapshotParts}) => snapshotParts)).toBeGreaterThan(SEEDS);
  }, 120_000);

  it('are found out when members acknowledge before the sync', async () => {
    const {found} = await runSeeds(new WithoutSync());
    expect(found).toHaveLength(1);
  }, 120_000);
});
