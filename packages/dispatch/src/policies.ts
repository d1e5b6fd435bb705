/**
 * The scheduling policies that a deployment chooses by name. Each name has a
 * default that keeps the behaviour of a deployment whose settings do not
 * mention it.
 */
import {
  CostAdmission,
  CostDisplacement,
  CostOrder,
  DeadlineAdmission,
  DeadlineOrder,
  FirstArrivalReturns,
  LateCopies,
  NoCopies,
  NoDisplacement,
  ObjectiveCost,
  WeightedShares,
  type Admission,
  type CopyPolicy,
  type DisplacementPolicy,
  type JobOrder,
  type ReturnOrder,
  type ShareRule,
} from '@lentildrift/scheduling';
import VError from 'verror';
import {z} from 'zod';

export const PolicyNames = z.strictObject({
  /** Which waiting job gets room first. */
  order: z.enum(['deadline', 'cost']).default('deadline'),
  /** Which jobs are accepted. */
  admission: z.enum(['deadline', 'cost']).default('deadline'),
  /** Which tasks that last long get a second run. */
  copies: z.enum(['none', 'late']).default('none'),
  /** Which running tasks urgent jobs may displace. */
  displacement: z.enum(['none', 'cost']).default('none'),
});
export type PolicyNames = z.infer<typeof PolicyNames>;

/** The policies of a leader. */
export interface Policies {
  readonly order: JobOrder;
  readonly admission: Admission;
  readonly shareRule?: ShareRule;
  /** For each leader anew, since it holds the callers that a leader refused. */
  readonly createReturns?: () => ReturnOrder;
  readonly copies: CopyPolicy;
  readonly displacement: DisplacementPolicy;
}

/**
 * Parses names of the form `order=deadline,admission=deadline`; what is not
 * named has its default. Throws an error with a one-line message that names the
 * policy if the text is malformed or has an unknown name.
 */
export function parsePolicyNames(text: string): PolicyNames {
  const entries = text
    .split(',')
    .filter(part => part.trim() !== '')
    .map(part => part.split('=').map(word => word.trim()));
  const malformed = entries.find(words => words.length !== 2);
  if (malformed) {
    throw new VError('policies: "%s" is not NAME=VALUE', malformed.join('='));
  }
  const keys = entries.map(([key]) => key!);
  const repeated = keys.find((key, at) => keys.indexOf(key) !== at);
  if (repeated !== undefined) {
    throw new VError('policies: %s is given more than once', repeated);
  }
  const result = PolicyNames.safeParse(Object.fromEntries(entries));
  if (result.success) return result.data;
  const {path, message} = result.error.issues[0]!;
  throw new VError('policies: %s', [...path, message].join(': '));
}

const ORDERS = {
  deadline: () => new DeadlineOrder(),
  cost: () => new CostOrder(),
} satisfies Record<PolicyNames['order'], () => JobOrder>;

const ADMISSIONS = {
  deadline: () => ({admission: new DeadlineAdmission()}),
  cost: () => ({
    admission: new CostAdmission(),
    shareRule: new WeightedShares(),
    createReturns: () => new FirstArrivalReturns(),
  }),
} satisfies Record<
  PolicyNames['admission'],
  () => Omit<Policies, 'order' | 'copies' | 'displacement'>
>;

const COPIES = {
  none: () => new NoCopies(),
  late: () => new LateCopies(),
} satisfies Record<PolicyNames['copies'], () => CopyPolicy>;

const DISPLACEMENTS = {
  none: () => new NoDisplacement(),
  cost: () => new CostDisplacement(new ObjectiveCost()),
} satisfies Record<PolicyNames['displacement'], () => DisplacementPolicy>;

export function createPolicies(names: PolicyNames): Policies {
  return {
    order: ORDERS[names.order](),
    ...ADMISSIONS[names.admission](),
    copies: COPIES[names.copies](),
    displacement: DISPLACEMENTS[names.displacement](),
  };
}
