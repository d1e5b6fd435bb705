/** Fleet scenarios: timed steps in YAML files, validated by a schema. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {parse} from 'yaml';
import {z} from 'zod';

const FOLDER = fileURLToPath(
  new URL('../../../scenarios/fleet/', import.meta.url),
);

/** Mechanisms that a run can replace by a weakened variant. */
export const MECHANISMS = [
  'budget-check',
  'permit-until-healthy',
  'fencing-token',
  'pool-switch',
  'quarantine',
] as const;
export const mechanismSchema = z.enum(MECHANISMS);
export type Mechanism = z.infer<typeof mechanismSchema>;

const host = z.string();
/** Seconds since the start of the scenario. */
const at = {atS: z.number().int().positive()};

export const stepSchema = z.discriminatedUnion('do', [
  z.strictObject({...at, do: z.literal('fail-host'), host}),
  z.strictObject({
    ...at,
    do: z.literal('fail-domain'),
    dataCentre: z.string(),
    /** If absent, the whole data centre fails. */
    rack: z.string().optional(),
  }),
  z.strictObject({...at, do: z.literal('return-host'), host}),
  /** From now on, every task on the host fails. */
  z.strictObject({...at, do: z.literal('spoil-host'), host}),
  z.strictObject({...at, do: z.literal('open-wave')}),
  z.strictObject({
    ...at,
    do: z.literal('set-wave'),
    phase: z.enum(['open', 'paused', 'withdrawn']),
  }),
  /** Edits the pools table: assigns the host to another pool. */
  z.strictObject({...at, do: z.literal('move'), host, pool: z.string()}),
  z.strictObject({...at, do: z.literal('drain'), hosts: z.array(host)}),
  z.strictObject({...at, do: z.literal('undrain'), host}),
  /** Delays the planner's commands to the platform until `thaw-planner`. */
  z.strictObject({...at, do: z.literal('freeze-planner')}),
  z.strictObject({...at, do: z.literal('thaw-planner')}),
  /** Resets the planner's soft state, as a restart does. */
  z.strictObject({...at, do: z.literal('restart-planner')}),
  /** Starts a planner with a newer leader token beside the old planner. */
  z.strictObject({...at, do: z.literal('new-leader')}),
  z.strictObject({
    ...at,
    do: z.literal('submit'),
    team: z.string(),
    queue: z.string(),
    count: z.number().int().positive(),
    /** A job ID is this prefix and a number from 0. */
    prefix: z.string(),
    cores: z.number().positive().default(4),
    runS: z.number().int().positive(),
  }),
  z.strictObject({
    ...at,
    do: z.literal('cancel'),
    team: z.string(),
    prefix: z.string(),
    count: z.number().int().positive(),
  }),
  z.strictObject({
    ...at,
    do: z.literal('expect'),
    /** Minimum number of hosts that the wave has finished. */
    maintained: z.number().int().optional(),
    /** Minimum number of operator commands refused so far. */
    refused: z.number().int().optional(),
    /** Minimum. */
    finishedJobs: z.number().int().optional(),
    /** Exact number. */
    unfinishedJobs: z.number().int().optional(),
    /** Minimum. */
    failedHosts: z.number().int().optional(),
    /** All quarantined hosts. */
    quarantined: z.array(host).optional(),
    /** Host to the pool that must hold the host. */
    pools: z.record(z.string(), z.string()).optional(),
  }),
]);
export type Step = z.infer<typeof stepSchema>;
export type StepOf<T extends Step['do']> = Extract<Step, {do: T}>;

export const scenarioSchema = z.strictObject({
  name: z.string(),
  /** What happens in the scenario, in one sentence. */
  about: z.string(),
  lengthS: z.number().int().positive(),
  /** Pool to its availability budget (`minAvailable`), where not the default. */
  budgets: z.record(z.string(), z.number().int()).default({}),
  /** Weakening any one of these must cause a violation. */
  mechanisms: z.array(mechanismSchema).min(1),
  steps: z.array(stepSchema).min(1),
});
export type FleetScenario = z.infer<typeof scenarioSchema>;

/** Reads all fleet scenarios. Throws `ZodError` for a malformed file. */
export function readScenarios(): FleetScenario[] {
  return readdirSync(FOLDER)
    .filter(file => file.endsWith('.yaml'))
    .sort()
    .map(file =>
      scenarioSchema.parse(parse(readFileSync(join(FOLDER, file), 'utf8'))),
    );
}
