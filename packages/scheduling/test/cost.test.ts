import {describe, expect, it} from 'vitest';
import {
  LatenessCost,
  NO_DURATIONS,
  ObjectiveCost,
  objectiveMs,
  type DelayCost,
  type OrderInput,
} from '../src/index.js';
import {QUEUE, stateOf, submit, type StepInput} from './build.js';

function inputOf(
  steps: StepInput[] = [{}],
  queue: Partial<OrderInput['queue']> = {},
): OrderInput {
  const job = stateOf([], submit('a', steps)).jobs.get('a')!;
  const durations = NO_DURATIONS;
  return {
    job,
    queue: {...QUEUE, ...queue},
    occurrence: 0,
    nowMs: 0,
    durations,
  };
}

/** The cost of an end after a multiple of the objective. */
function costAt(cost: DelayCost, input: OrderInput, multiple: number): number {
  return cost.cost(input, multiple * objectiveMs(input));
}

describe('the cost of delay', () => {
  const cost = new ObjectiveCost();

  it.each([cost, new LatenessCost()])(
    'never falls with a later end (%#)',
    each => {
      const input = inputOf();
      let last = 0;
      for (let multiple = -1; multiple < 5; multiple += 0.01) {
        const next = costAt(each, input, multiple);
        expect(next).toBeGreaterThanOrEqual(last);
        last = next;
      }
      expect(last).toBeGreaterThan(0);
    },
  );

  it('does not rise once the answer is of no use any more', () => {
    const input = inputOf();
    expect(costAt(cost, input, 0.7)).toBe(0);
    expect(costAt(cost, input, 3)).toBe(costAt(cost, input, 30));
  });

  it('counts a small job for more than its work', () => {
    const small = costAt(cost, inputOf([{cpu: 10}]), 3);
    const large = costAt(cost, inputOf([{count: 100}]), 3);
    expect(small).toBeGreaterThan(large / 10);
    expect(large).toBeGreaterThan(3 * small);
  });

  // Tables accept any number. Without bounds, a negative priority would outweigh
  // all other work, and a large one would cost nothing.
  it.each([
    [0, 1],
    [1, 0.5],
    [0.5, Math.SQRT1_2],
    [-3, 1],
    [-1e300, 1],
    [1e300, 1 / 64],
  ])('weighs the priority %d as %d', (priority, weight) => {
    const whole = costAt(cost, inputOf(), 3);
    expect(costAt(cost, inputOf([{}], {priority}), 3)).toBeCloseTo(
      weight * whole,
    );
  });

  it('is constant for an objective of 0, which no end meets', () => {
    const input = inputOf([{}], {stretch: 0, targetMs: 0});
    expect(cost.cost(input, 0)).toBeGreaterThan(0);
    expect(cost.cost(input, 1e9)).toBe(cost.cost(input, 0));
  });

  it('grows for as long as a long-running job is not at work', () => {
    const input = inputOf([{count: 3, lasting: true}]);
    expect(cost.cost(input, -5)).toBe(0);
    expect(cost.cost(input, 1000)).toBe(3000);
  });
});
