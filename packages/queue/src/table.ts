/** The tables that operators edit: queues, pools and teams. */
import {z} from 'zod';
import {Size} from './size.js';

/**
 * Settings of the placement advice that a queue's policy requires before a
 * step starts.
 */
export const Advice = z.object({
  /** Fixed part of the duration of a call for advice. */
  decideMs: z.number().nonnegative(),
  /** Additional duration of a call for each worker named in the call. */
  perWorkerMs: z.number().nonnegative(),
  /** How long a ticket from the advice remains valid. */
  validMs: z.number().nonnegative(),
});
export type Advice = z.infer<typeof Advice>;

export const Queue = z.object({
  name: z.string(),
  /** Host name by which, with the path prefix, callers address the queue. */
  host: z.string(),
  prefix: z.string(),
  pool: z.string(),
  timeoutMs: z.number().positive(),
  /**
   * Fixed part of a job's objective, added to `stretch` times its critical
   * path.
   */
  targetMs: z.number().nonnegative(),
  /** Factor of the critical path in a job's objective. */
  stretch: z.number().nonnegative(),
  /** A job fails once one of its tasks has failed this many times. */
  maxAttempts: z.int().positive(),
  /** Lower numbers come first; 0 is the highest priority. */
  priority: z.number(),
  /** Whether the queue accepts calls without a key. */
  open: z.boolean(),
  advice: Advice.optional(),
});
export type Queue = z.infer<typeof Queue>;

export const Pool = z.object({
  name: z.string(),
  /** Whether the pool's workers refuse tasks that exceed their capacity. */
  guardsCapacity: z.boolean(),
  /** Whether the pool's hosts are switched off and cost nothing. */
  standby: z.boolean(),
});
export type Pool = z.infer<typeof Pool>;

export const Team = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Weight of the team's share when all capacity is in use. */
  weight: z.number().nonnegative(),
  /**
   * Upper limit of the resources in use at once; an amount of 0 means no limit.
   */
  cap: Size,
});
export type Team = z.infer<typeof Team>;

export const Tables = z.object({
  /** 0 before the first edit. */
  version: z.number().nonnegative(),
  queues: z.array(Queue),
  pools: z.array(Pool),
  teams: z.array(Team),
  /**
   * Text that the operator sent, returned unchanged when the tables are read.
   */
  document: z.string(),
});
export type Tables = z.infer<typeof Tables>;

export const EMPTY_TABLES: Tables = {
  version: 0,
  queues: [],
  pools: [],
  teams: [],
  document: '',
};

/** Describes a contradiction in the tables; undefined if there is none. */
export function findContradiction(tables: Tables): string | undefined {
  return (
    findDuplicate(
      'pool',
      tables.pools.map(pool => pool.name),
    ) ??
    findDuplicate(
      'queue',
      tables.queues.map(queue => queue.name),
    ) ??
    findDuplicate(
      'team',
      tables.teams.map(team => team.name),
    ) ??
    findDuplicate(
      'key',
      tables.teams.flatMap(team => [...new Set(team.keys)]),
    ) ??
    findDuplicate(
      'address',
      tables.queues.map(q => `${q.host} ${q.prefix}`),
    ) ??
    findUnknownPool(tables)
  );
}

function findDuplicate(
  kind: string,
  names: readonly string[],
): string | undefined {
  const seen = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) return `two rows share the ${kind} ${name}`;
    seen.add(name);
  }
  return undefined;
}

function findUnknownPool({queues, pools}: Tables): string | undefined {
  const names = new Set(pools.map(pool => pool.name));
  const queue = queues.find(({pool}) => !names.has(pool));
  return queue && `queue ${queue.name} names the unknown pool ${queue.pool}`;
}

/** Lookups in one version of the tables, which may have thousands of rows. */
interface TablesIndex {
  readonly queuesByName: ReadonlyMap<string, Queue>;
  readonly routesByHost: ReadonlyMap<string, HostRoutes>;
  readonly teamsByKey: ReadonlyMap<string, Team>;
}

/** The queues on one host. */
interface HostRoutes {
  readonly byPrefix: Map<string, Queue>;
  /** Lengths of the prefixes, the longest first. */
  readonly lengths: number[];
}

const indexes = new WeakMap<Tables, TablesIndex>();

/** Returns the index of the tables, which is built once for each version. */
function indexOf(tables: Tables): TablesIndex {
  let index = indexes.get(tables);
  if (!index) indexes.set(tables, (index = buildIndex(tables)));
  return index;
}

function buildIndex({queues, teams}: Tables): TablesIndex {
  const routesByHost = new Map<string, HostRoutes>();
  for (const queue of queues) {
    let routes = routesByHost.get(queue.host);
    if (!routes) {
      routes = {byPrefix: new Map(), lengths: []};
      routesByHost.set(queue.host, routes);
    }
    routes.byPrefix.set(queue.prefix, queue);
  }
  for (const {byPrefix, lengths} of routesByHost.values()) {
    const distinct = new Set([...byPrefix.keys()].map(({length}) => length));
    lengths.push(...[...distinct].sort((a, b) => b - a));
  }
  return {
    queuesByName: new Map(queues.map(queue => [queue.name, queue])),
    routesByHost,
    teamsByKey: new Map(
      teams.flatMap(team => team.keys.map(key => [key, team] as const)),
    ),
  };
}

/**
 * Finds the queue on `host` with the longest prefix that `path` begins with.
 */
export function findQueue(
  tables: Tables,
  host: string,
  path: string,
): Queue | undefined {
  const routes = indexOf(tables).routesByHost.get(host);
  if (!routes) return undefined;
  for (const length of routes.lengths) {
    if (length > path.length) continue;
    const queue = routes.byPrefix.get(path.slice(0, length));
    if (queue) return queue;
  }
  return undefined;
}

/** The queues by name. */
export function queuesByName(tables: Tables): ReadonlyMap<string, Queue> {
  return indexOf(tables).queuesByName;
}

/** Finds the team that owns `key`. */
export function findTeam(tables: Tables, key: string): Team | undefined {
  return indexOf(tables).teamsByKey.get(key);
}
