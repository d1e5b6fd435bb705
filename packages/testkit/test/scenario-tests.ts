/** Runs scenarios with their fixed seeds, and each mechanism's weakened variant. */
import {
  loadScenarios,
  runScenario,
  WITHOUT,
  type Mechanisms,
  type Scenario,
} from '@lentildrift/testkit';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

/** Registers part `part` of `parts` of all scenarios. */
export function registerScenarioTests(part: number, parts: number): void {
  const scenarios = loadScenarios();
  const own = scenarios.filter((_, index) => index % parts === part);
  const first = (mechanism: string) =>
    scenarios.find(each => each.mechanisms.includes(mechanism));

  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  describe.each(own)('scenario $name', scenario => {
    it.each(scenario.seeds)(
      'holds every invariant with seed %i',
      async seed => {
        const result = await run(scenario, seed);
        expect(result.violations).toEqual([]);
        expect(result.failures).toEqual([]);
        expect(result.examined[scenario.invariant]).toBeGreaterThan(0);
      },
    );

    const weakened = scenario.mechanisms.filter(
      each => first(each) === scenario,
    );
    it.each(weakened)('is found violated without %s', async mechanism => {
      const [seed] = scenario.seeds;
      const result = await run(scenario, seed!, WITHOUT[mechanism]);
      expect(result.violations).not.toEqual([]);
    });
  });

  if (part > 0) return;
  it('no mechanism is without a scenario that proves it', () => {
    const proven = new Set(scenarios.flatMap(each => each.mechanisms));
    expect([...proven].sort()).toEqual(Object.keys(WITHOUT).sort());
  });
}

function run(scenario: Scenario, seed: number, mechanisms?: Mechanisms) {
  return runScenario(scenario, {seed, mechanisms, advance});
}
