/**
 * Tables of routes, pools and teams that operators edit, and their validation.
 */
import {z} from 'zod';

/** Names of routes, pools, teams, services and hosts. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be 1 to 63 characters of a-z, 0-9, "." or "-", starting with a letter or digit',
  )
  // Rows are looked up by name in plain objects, which inherit these names.
  .refine(name => !(name in Object.prototype), 'is a reserved name');

export const MAX_CALL_TIMEOUT_MS = 30_000;
export const MAX_BODY_BYTES = 64 * 1024 * 1024;
const DEFAULT_MAINTENANCE_PERIOD_DAYS = 42;

export const routeSchema = z.strictObject({
  name: nameSchema,
  pool: nameSchema,
  service: nameSchema,
  /**
   * Whether callers need no key; the work is charged to the team `chargeTo`.
   */
  open: z.boolean().default(false),
  chargeTo: nameSchema.optional(),
  /** Teams that may call; if absent, every team may. */
  teams: z.array(nameSchema).optional(),
  /**
   * Which requests may be retried. `by-method`: those with an idempotent HTTP
   * method. `idempotent`: all requests. `once`: none.
   */
  repeat: z.enum(['by-method', 'idempotent', 'once']).default('by-method'),
  timeoutMs: z.number().int().min(1).max(MAX_CALL_TIMEOUT_MS).default(10_000),
  maxBodyBytes: z
    .number()
    .int()
    .min(0)
    .max(MAX_BODY_BYTES)
    .default(1024 * 1024),
  urgent: z.boolean().default(false),
});
export type Route = z.infer<typeof routeSchema>;

export const poolSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(['calls', 'jobs', 'spare']),
  hosts: z.array(nameSchema),
  /** Availability budget: minimum number of healthy serving hosts. */
  minAvailable: z.number().int().nonnegative().default(0),
  slotsPerHost: z.number().int().min(1).max(10_000).default(8),
  connectionsPerHost: z.number().int().min(1).max(10_000).default(64),
  maintenancePeriodDays: z
    .number()
    .int()
    .min(1)
    .max(366)
    .default(DEFAULT_MAINTENANCE_PERIOD_DAYS),
});
export type Pool = z.infer<typeof poolSchema>;

export const teamSchema = z.strictObject({
  name: nameSchema,
  /** Weight of the team's share when the fleet is fully used. */
  share: z.number().positive().max(1_000_000),
  /** Upper limit of running calls across the fleet. */
  limit: z.number().int().min(0).max(1_000_000),
  /** Upper limit of running jobs; if absent, `limit` applies. */
  jobLimit: z.number().int().min(0).max(1_000_000).optional(),
  /** Service-level objective: required fraction of good calls. */
  objective: z.number().gt(0).lt(1).default(0.999),
});
export type Team = z.infer<typeof teamSchema>;

export const tablesSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: z.record(z.string(), routeSchema),
  pools: z.record(z.string(), poolSchema),
  teams: z.record(z.string(), teamSchema),
});
export type Tables = z.infer<typeof tablesSchema>;

/** An edit of the tables; a section that is absent is not modified. */
export const tableEditSchema = z.strictObject({
  /** Version of the tables on which the edit is based. */
  basedOn: z.number().int().nonnegative(),
  routes: z.array(routeSchema).optional(),
  pools: z.array(poolSchema).optional(),
  teams: z.array(teamSchema).optional(),
});
export type TableEdit = z.infer<typeof tableEditSchema>;

export const EMPTY_TABLES: Tables = {
  version: 0,
  routes: {},
  pools: {},
  teams: {},
};

/** An inconsistency in the tables; `path` locates the invalid field. */
export interface TableProblem {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

/** Result of merging an edit into the tables, with all problems found. */
export interface MergedTables {
  readonly tables: Tables;
  readonly problems: readonly TableProblem[];
}

/**
 * Merges `edit` into `tables` as the next version, and validates the result.
 */
export function mergeTables(tables: Tables, edit: TableEdit): MergedTables {
  const problems: TableProblem[] = [];
  const merged: Tables = {
    version: tables.version + 1,
    routes: mergeSection('routes', edit.routes, tables.routes, problems),
    pools: mergeSection('pools', edit.pools, tables.pools, problems),
    teams: mergeSection('teams', edit.teams, tables.teams, problems),
  };
  checkPools(edit.pools ?? Object.values(merged.pools), problems);
  checkRoutes(edit.routes ?? Object.values(merged.routes), merged, problems);
  return {tables: merged, problems};
}

function mergeSection<T extends {name: string}>(
  name: string,
  rows: readonly T[] | undefined,
  current: Record<string, T>,
  problems: TableProblem[],
): Record<string, T> {
  if (rows === undefined) return current;
  const byName: Record<string, T> = {};
  rows.forEach((row, index) => {
    if (Object.hasOwn(byName, row.name)) {
      problems.push({
        path: [name, index, 'name'],
        message: `duplicate name "${row.name}"`,
      });
    }
    byName[row.name] = row;
  });
  return byName;
}

function checkPools(pools: readonly Pool[], problems: TableProblem[]): void {
  const poolOfHost = new Map<string, string>();
  pools.forEach((pool, index) => {
    if (pool.minAvailable > pool.hosts.length) {
      problems.push({
        path: ['pools', index, 'minAvailable'],
        message: `minAvailable ${pool.minAvailable} is above the pool's ${pool.hosts.length} hosts`,
      });
    }
    pool.hosts.forEach((host, position) => {
      const other = poolOfHost.get(host);
      if (other !== undefined) {
        problems.push({
          path: ['pools', index, 'hosts', position],
          message: `host "${host}" is already in pool "${other}"`,
        });
      }
      poolOfHost.set(host, pool.name);
    });
  });
}

function checkRoutes(
  routes: readonly Route[],
  merged: Tables,
  problems: TableProblem[],
): void {
  routes.forEach((route, index) => {
    const pool = findRow(merged.pools, route.pool);
    if (pool === undefined) {
      problems.push({
        path: ['routes', index, 'pool'],
        message: `unknown pool "${route.pool}"`,
      });
    } else if (pool.kind === 'spare') {
      problems.push({
        path: ['routes', index, 'pool'],
        message: `pool "${route.pool}" is a spare pool and serves no route`,
      });
    }
    checkRouteTeams(route, index, merged, problems);
  });
}

function checkRouteTeams(
  route: Route,
  index: number,
  merged: Tables,
  problems: TableProblem[],
): void {
  if (route.open && route.chargeTo === undefined) {
    problems.push({
      path: ['routes', index, 'chargeTo'],
      message: 'an open route needs the team to which its work is charged',
    });
  }
  if (route.chargeTo !== undefined && !findRow(merged.teams, route.chargeTo)) {
    problems.push({
      path: ['routes', index, 'chargeTo'],
      message: `unknown team "${route.chargeTo}"`,
    });
  }
  route.teams?.forEach((team, position) => {
    if (findRow(merged.teams, team)) return;
    problems.push({
      path: ['routes', index, 'teams', position],
      message: `unknown team "${team}"`,
    });
  });
}

/**
 * Returns the row of that name. Inherited names such as "constructor" are no
 * rows.
 */
function findRow<T>(rows: Record<string, T>, name: string): T | undefined {
  return Object.hasOwn(rows, name) ? rows[name] : undefined;
}
