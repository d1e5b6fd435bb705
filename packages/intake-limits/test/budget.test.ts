import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createBudget, SMALL_HOLDING_BYTES} from '../src/index.js';
import {createHolder} from './fakes.js';

const KIB = 1024;
const LIMIT_BYTES = 1024 * KIB;

describe('the budget', () => {
  beforeEach(() => vi.useFakeTimers({toFake: ['performance']}));
  afterEach(() => vi.useRealTimers());

  it('never hands out more than its limit', () => {
    const budget = createBudget(LIMIT_BYTES);
    let held = 0;
    while (budget.reserve(createHolder(budget), SMALL_HOLDING_BYTES)) held += 1;
    expect(held * SMALL_HOLDING_BYTES).toBe(LIMIT_BYTES);
    expect(budget.usedBytes()).toBe(LIMIT_BYTES);
  });

  it('keeps a part that large holdings cannot take from small ones', () => {
    const budget = createBudget(LIMIT_BYTES);
    const large = createHolder(budget);
    while (budget.reserve(large, 64 * KIB));
    expect(budget.usedBytes()).toBe(768 * KIB);
    expect(budget.reserve(createHolder(budget), 8 * KIB)).toBe(true);
  });

  it('evicts the holder that has waited longest for its client, and no more than needed', () => {
    const budget = createBudget(LIMIT_BYTES);
    const newer = createHolder(budget, 500);
    const older = createHolder(budget, 100);
    const busy = createHolder(budget);
    for (const holder of [newer, older, busy]) {
      expect(budget.reserve(holder, 256 * KIB)).toBe(true);
    }
    vi.advanceTimersByTime(5000);
    expect(budget.reserve(createHolder(budget), 200 * KIB)).toBe(true);
    expect([newer.evicted, older.evicted, busy.evicted]).toEqual([0, 1, 0]);
  });

  it('does not evict a holder whose client paused for a moment', () => {
    const budget = createBudget(LIMIT_BYTES);
    const pausing = createHolder(budget, 0);
    expect(budget.reserve(pausing, 700 * KIB)).toBe(true);
    vi.advanceTimersByTime(900);
    const next = createHolder(budget);
    expect(budget.reserve(next, 200 * KIB)).toBe(false);
    vi.advanceTimersByTime(100);
    expect(budget.reserve(next, 200 * KIB)).toBe(true);
    expect(pausing.heldBytes).toBe(0);
  });

  it('does not count bytes twice that are released after an eviction', () => {
    const budget = createBudget(LIMIT_BYTES);
    const holder = createHolder(budget);
    budget.reserve(holder, 100);
    budget.release(holder, 100);
    budget.release(holder, 100);
    expect(budget.usedBytes()).toBe(0);
  });
});
