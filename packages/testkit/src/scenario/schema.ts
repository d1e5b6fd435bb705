/** Schema of cluster scenarios: timed steps and expectations. */
import {verdictSchema} from '@lentildrift/model';
import {z} from 'zod';
import {INVARIANTS} from '../check/checker.js';
import {WEAKENED_MECHANISMS} from '../cluster/weakened.js';

const count = z.number().int().nonnegative();
const percent = z.number().int().min(0).max(90);
/**
 * A control host (`c1`), entry host (`e1`) or upstream (`u1`), or the hosts that
 * have a role or status when the step runs.
 */
const hostSchema = z
  .string()
  .regex(/^([ceu]\d+|leader|follower|last-follower|down|frozen)$/, {
    error:
      'must be c1, e1, u1 and so on, leader, follower, last-follower, down or frozen',
  });
const at = {at: count.describe('milliseconds since the start')};
const team = z.string().default('club');
const request = z.string();

const callFields = {
  team,
  route: z.enum(['lanes', 'book']).default('lanes'),
  method: z.enum(['GET', 'POST']).default('GET'),
  entry: hostSchema.optional(),
  /** Whether the request carries an idempotency key. */
  once: z.boolean().default(false),
  /** Maximum number of times that the caller resends a call. */
  resends: count.default(0),
  /** Where the upstream breaks the connection; it answers if this is absent. */
  breaks: z.enum(['before-answer', 'in-answer']).optional(),
};

export const faultsSchema = z.strictObject({
  lossPercent: percent.default(0),
  duplicatePercent: percent.default(0),
  minDelayMs: count.default(1),
  maxDelayMs: count.default(1),
  reorder: z.boolean().default(false),
});

const hostStep = <T extends string>(name: T) =>
  z.strictObject({...at, do: z.literal(name), host: hostSchema});
const bareStep = <T extends string>(name: T) =>
  z.strictObject({...at, do: z.literal(name)});

export const stepSchema = z.discriminatedUnion('do', [
  hostStep('start'),
  hostStep('kill'),
  hostStep('freeze'),
  hostStep('thaw'),
  hostStep('stop'),
  /** Deletes the disk of a control host and repairs the consensus group. */
  hostStep('wipe'),
  z.strictObject({
    ...at,
    do: z.literal('cut'),
    host: hostSchema,
    from: z.enum(['controls', 'entries', 'upstreams', 'operators', 'all']),
    direction: z.enum(['both', 'in', 'out']).default('both'),
  }),
  bareStep('heal'),
  z.strictObject({...at, do: z.literal('faults'), faults: faultsSchema}),
  /** Sets the upper limit of a team. */
  z.strictObject({
    ...at,
    do: z.literal('edit'),
    team,
    limit: count,
    request,
    /** How many versions older than the current one the edit is based on. */
    versionsBack: count.default(0),
  }),
  /** Several operators edit the same version at once, one limit each. */
  z.strictObject({
    ...at,
    do: z.literal('race'),
    team,
    limits: z.array(count).min(2),
  }),
  /** Sends an earlier command again under its request ID. */
  z.strictObject({...at, do: z.literal('resend'), request}),
  /** Sends many commands with little effect, so that snapshots are written. */
  z.strictObject({...at, do: z.literal('commands'), count}),
  z.strictObject({...at, do: z.literal('give-key'), team}),
  z.strictObject({...at, do: z.literal('withdraw-key'), team}),
  /** Resends the last announcement of an upstream, `repeat` times. */
  z.strictObject({
    ...at,
    do: z.literal('announce'),
    host: hostSchema,
    entry: hostSchema.optional(),
    repeat: z.number().int().min(1).default(1),
    everyMs: count.default(0),
  }),
  hostStep('leave'),
  z.strictObject({
    ...at,
    ...callFields,
    do: z.literal('load'),
    perSecond: z.number().positive(),
    forMs: count,
    runMs: z.tuple([count, count]),
  }),
  z.strictObject({
    ...at,
    ...callFields,
    do: z.literal('call'),
    id: z.string(),
    runMs: count.default(10),
  }),
  z.strictObject({
    ...at,
    do: z.literal('expect'),
    call: z.string().optional(),
    verdict: z.union([verdictSchema, z.literal('broken')]).optional(),
    status: count.optional(),
    /** Minimum number of calls answered by an upstream so far. */
    answered: count.optional(),
    request: request.optional(),
    ok: z.boolean().optional(),
    leader: z.boolean().optional(),
  }),
]);
export type Step = z.infer<typeof stepSchema>;
export type StepOf<T extends Step['do']> = Extract<Step, {do: T}>;

export const scenarioSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/),
  /** What happens in the scenario, in one sentence. */
  about: z.string(),
  invariant: z.enum(INVARIANTS),
  /** Weakening any one of these must cause a violation. */
  mechanisms: z
    .array(
      z.string().refine(name => Object.hasOwn(WEAKENED_MECHANISMS, name), {
        error: issue => `unknown mechanism "${String(issue.input)}"`,
      }),
    )
    .default([]),
  controls: z.number().int().min(1).max(5).default(3),
  entries: z.number().int().min(1).max(8).default(3),
  upstreams: z.number().int().min(1).max(9).default(3),
  /**
   * Policy that divides limits into slices: the product's own, or one that
   * requests the whole limit for every entry host.
   */
  policy: z.enum(['own', 'greedy']).default('own'),
  /** Slots per upstream host. */
  slots: z.number().int().min(1).default(64),
  /** Team to its upper limit. */
  teams: z.record(z.string(), count).default({club: 12}),
  seeds: z.array(z.number().int()).min(1),
  faults: faultsSchema.default(faultsSchema.parse({})),
  lastsMs: z.number().int().min(1).max(600_000),
  steps: z.array(stepSchema).min(1),
});
export type Scenario = z.infer<typeof scenarioSchema>;
