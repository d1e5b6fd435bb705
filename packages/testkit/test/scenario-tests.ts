/**
 * Runs each scenario with its fixed seeds, and with each of its mechanisms
 * weakened: a checker must then find a violation, or it would not notice that
 * the mechanism is missing.
 */
import {
  loadScenarios,
  runScenario,
  WEAKENED_MECHANISMS,
  type Mechanisms,
  type Scenario,
} from '@lentildrift/testkit';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

/** Registers the tests of part `part` out of `parts` of all scenarios. */
export function registerScenarioTests(part: number, parts: number): void {
  const scenarios = loadScenarios();
  const own = scenarios.filter((_, index) => index % parts === part);
  const findFirst = (mechanism: string) =>
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
      each => findFirst(each) === scenario,
    );
    it.each(weakened)('shows a violation without %s', async mechanism => {
      const [seed] = scenario.seeds;
      const result = await run(scenario, seed!, WEAKENED_MECHANISMS[mechanism]);
      expect(result.violations).not.toEqual([]);
    });
  });

  if (part > 0) return;
  it('every mechanism has a scenario that fails without it', () => {
    const proven = new Set(scenarios.flatMap(each => each.mechanisms));
    expect([...proven].sort()).toEqual(Object.keys(WEAKENED_MECHANISMS).sort());
  });
}

function run(scenario: Scenario, seed: number, mechanisms?: Mechanisms) {
  return runScenario(scenario, {seed, mechanisms, advance});
}
