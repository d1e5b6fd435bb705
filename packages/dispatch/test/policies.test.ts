import {
  CostAdmission,
  CostOrder,
  DeadlineAdmission,
  DeadlineOrder,
  LateCopies,
  NoCopies,
} from '@lentildrift/scheduling';
import {describe, expect, it} from 'vitest';
import {createPolicies, parsePolicyNames} from '../src/policies.js';

describe('the policies of a deployment', () => {
  it('are those of the earlier versions if the settings name none', () => {
    const {order, admission, copies} = createPolicies(parsePolicyNames(''));
    expect(order).toBeInstanceOf(DeadlineOrder);
    expect(admission).toBeInstanceOf(DeadlineAdmission);
    expect(copies).toBeInstanceOf(NoCopies);
  });

  it('have copies where the settings name them', () => {
    const {copies} = createPolicies(parsePolicyNames('copies=late'));
    expect(copies).toBeInstanceOf(LateCopies);
  });

  it('are those that weigh costs if the settings name them', () => {
    const names = parsePolicyNames('order=cost,admission=cost');
    const {order, admission, createReturns} = createPolicies(names);
    expect(order).toBeInstanceOf(CostOrder);
    expect(admission).toBeInstanceOf(CostAdmission);
    expect(createReturns!()).not.toBe(createReturns!());
  });

  // A misspelt name would leave a deployment with the default unnoticed.
  it.each([
    ['order', /"order" is not NAME=VALUE/],
    ['order=none', /policies: order/],
    ['sort=deadline', /policies: .*sort/],
    ['order=deadline,order=deadline', /order is given more than once/],
  ])('refuse the text %s and name the fault', (text, message) => {
    expect(() => parsePolicyNames(text)).toThrow(message);
  });
});
