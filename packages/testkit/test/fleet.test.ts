import {FLEET_MECHANISMS, loadFleetProofs} from '@lentildrift/testkit';
import {describe, expect, test} from 'vitest';

const proofs = [...loadFleetProofs().values()];

/**
 * Guards the planner's invariants under faults, and the checkers themselves:
 * with a mechanism weakened, a checker must find a violation.
 */
describe('fleet scenario', () => {
  test.each(proofs)(
    '$name holds every invariant, and violates one with any of its mechanisms weakened',
    async ({run, mechanisms}) => {
      const whole = await run();
      expect(whole.violations).toEqual([]);
      expect(whole.unmetExpectations).toEqual([]);
      // Without events to examine, a checker passes trivially.
      expect(whole.verdicts.budget.examined).toBeGreaterThan(0);
      expect(whole.verdicts['one-pool'].examined).toBeGreaterThan(0);
      for (const mechanism of mechanisms) {
        const weak = await run(mechanism);
        expect({mechanism, violations: weak.violations}).not.toEqual({
          mechanism,
          violations: [],
        });
      }
    },
    60_000,
  );

  test('every mechanism has a scenario that fails without it', () => {
    const needed = proofs.flatMap(({mechanisms}) => mechanisms);
    expect([...new Set(needed)].sort()).toEqual([...FLEET_MECHANISMS].sort());
  });
});
