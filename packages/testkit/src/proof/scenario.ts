/** Scenarios of the fleet: timed steps in YAML files, checked by a schema. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {parse} from 'yaml';
import {z} from 'zod';

const FOLDER = fileURLToPath(
  new URL('../../../scenarios/fleet/', import.meta.url),
);

/** Mechanisms that a weakened variant can stand in for. */
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
const at = {atS: z.number().int().positive()};

export const stepSchema = z.discriminatedUnion('do', [
  z.strictObject({...at, do: z.literal('fail-host'), host}),
  z.strictObject({
    ...at,
    do: z.literal('fail-domain'),
    dataCentre: z.string(),
    /** Absent means the whole data centre. */
    rack: z.string().optional(),
  }),
  z.strictObject({...at, do: z.literal('return-host'), host}),
  z.strictObject({...at, do: z.literal('spoil-host'), host}),
  z.strictObject({...at, do: z.literal('open-wave')}),
  z.strictObject({
    ...at,
    do: z.literal('set-wave'),
    phase: z.enum(['open', 'paused', 'withdrawn']),
  }),
  /** An edit of the pools table that assigns the host to another pool. */
  z.strictObject({...at, do: z.literal('move'), host, pool: z.string()}),
  z.strictObject({...at, do: z.literal('drain'), hosts: z.array(host)}),
  z.strictObject({...at, do: z.literal('undrain'), host}),
  /** Holds the next commands of the planner back, until it is thawed. */
  z.strictObject({...at, do: z.literal('freeze-planner')}),
  z.strictObject({...at, do: z.literal('thaw-planner')}),
  /** The planner loses its memory. */
  z.strictObject({...at, do: z.literal('restart-planner')}),
  z.strictObject({...at, do: z.literal('new-leader')}),
  z.strictObject({
    ...at,
    do: z.literal('submit'),
    team: z.string(),
    queue: z.string(),
    count: z.number().int().positive(),
    /** Job IDs are the prefix and a number. */
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
    /** Hosts of the wave that are healthy again, at least. */
    maintained: z.number().int().optional(),
    /** Commands of operators that were refused so far, at least. */
    refused: z.number().int().optional(),
    finishedJobs: z.number().int().optional(),
    unfinishedJobs: z.number().int().optional(),
    failedHosts: z.number().int().optional(),
    quarantined: z.array(host).optional(),
    /** Host to the pool that it is in. */
    pools: z.record(z.string(), z.string()).optional(),
  }),
]);
export type Step = z.infer<typeof stepSchema>;
export type StepOf<T extends Step['do']> = Extract<Step, {do: T}>;

export const scenarioSchema = z.strictObject({
  name: z.string(),
  about: z.string(),
  lengthS: z.number().int().positive(),
  /** Pool to the availability budget that replaces the usual one. */
  budgets: z.record(z.string(), z.number().int()).default({}),
  /** Without one of these the scenario ends with a violation. */
  mechanisms: z.array(mechanismSchema).min(1),
  steps: z.array(stepSchema).min(1),
});
export type FleetScenario = z.infer<typeof scenarioSchema>;

/** Every scenario of the folder; throws `ZodError` for a malformed one. */
export function readScenarios(): FleetScenario[] {
  return readdirSync(FOLDER)
    .filter(file => file.endsWith('.yaml'))
    .sort()
    .map(file =>
      scenarioSchema.parse(parse(readFileSync(join(FOLDER, file), 'utf8'))),
    );
}
