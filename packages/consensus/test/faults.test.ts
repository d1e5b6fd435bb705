import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {Rules} from '@lentildrift/consensus';
import {runFaults, type Outcome} from './faults.js';
import {SpacedReads, WithoutSync} from './weakened-rules.js';

const SEEDS = 200;
const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

async function runSeeds(rules?: Rules) {
  const outcomes: Outcome[] = [];
  const failures: string[] = [];
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
    if (violation) failures.push(`seed ${seed}: ${violation}`);
    if (violation && rules) break;
  }
  const sum = (of: (outcome: Outcome) => number) =>
    outcomes.reduce((total, outcome) => total + of(outcome), 0);
  return {failures, sum};
}

describe('random faults', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('leave all committed changes in place and cause no stale reads', async () => {
    const {failures, sum} = await runSeeds();
    expect(failures).toEqual([]);
    // Runs with too few changes, reads and snapshots would prove nothing.
    expect(sum(({acknowledged}) => acknowledged)).toBeGreaterThan(10 * SEEDS);
    expect(sum(({reads}) => reads)).toBeGreaterThan(5 * SEEDS);
    expect(sum(({snapshotParts}) => snapshotParts)).toBeGreaterThan(SEEDS);
  }, 120_000);

  it('cause no stale reads where reads share rounds and the commit index waits', async () => {
    const {failures, sum} = await runSeeds(new SpacedReads());
    expect(failures).toEqual([]);
    expect(sum(({reads}) => reads)).toBeGreaterThan(5 * SEEDS);
  }, 120_000);

  it('reveal a violation when members acknowledge entries before the sync', async () => {
    const {failures} = await runSeeds(new WithoutSync());
    expect(failures).toHaveLength(1);
  }, 120_000);
});
