import {loadScenarios, runScenario, WITHOUT} from '@lentildrift/testkit';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

describe.each(loadScenarios())('scenario $name', scenario => {
  it.each(scenario.seeds)('holds with seed %i', async seed => {
    const t = process.hrtime.bigint();
    const result = await runScenario(scenario, {seed, advance});
    console.log(Number(process.hrtime.bigint()-t)/1e6, result.violations.slice(0,4), result.failures.slice(0,4), result.answered, JSON.stringify(result.examined));
    expect(result.violations).toEqual([]);
    expect(result.failures).toEqual([]);
    expect(result.examined[scenario.invariant]).toBeGreaterThan(0);
  });

  it.each(scenario.mechanisms)('is violated without %s', async name => {
    const [seed] = scenario.seeds;
    const mechanisms = WITHOUT[name];
    const result = await runScenario(scenario, {seed: seed!, mechanisms, advance});
    console.log(name, result.violations.slice(0,3), result.violations.length, result.failures.slice(0,5));
    expect(result.violations.length).toBeGreaterThan(0);
  });
});
