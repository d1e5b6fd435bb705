import {FLEET_MECHANISMS, loadFleetProofs} from '@lentildrift/testkit';
import {describe, expect, test} from 'vitest';

const proofs = [...loadFleetProofs().values()];

describe('scenarios of the fleet', () => {
  test.each(proofs)(
    'no promise is broken in $name, and its checkers find what a weakened mechanism breaks',
    async ({run, mechanisms}) => {
      const whole = await run();
      expect(whole.violations).toEqual([]);
      expect(whole.unmetExpectations).toEqual([]);
      // A history without events of an invariant would prove nothing.
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

  test('no mechanism is without a scenario that needs it', () => {
    const needed = proofs.flatMap(({mechanisms}) => mechanisms);
    expect([...new Set(needed)].sort()).toEqual([...FLEET_MECHANISMS].sort());
  });
});
