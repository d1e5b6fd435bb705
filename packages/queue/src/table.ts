/** The tables that operators edit: queues, pools and teams. */
import {z} from 'zod';
import {Size} from './size.js';

/** Placement advice that a queue's policy demands before a step starts. */
export const Advice = z.object({
  /** Fixed part of the duration of one call. */
  decideMs: z.number().nonnegative(),
  /** Part of the duration of one call for each worker named in it. */
  perWorkerMs: z.number().nonnegative(),
  /** How long a ticket remains valid. */
  validMs: z.number().nonnegative(),
});
export type Advice = z.infer<typeof Advice>;

export const Queue = z.object({
  name: z.string(),
  /** Callers address a queue by host name and path prefix. */
  host: z.string(),
  prefix: z.string(),
  pool: z.string(),
  timeoutMs: z.number().positive(),
  /** Added to `stretch` times the critical path for a job's objective. */
  targetMs: z.number().nonnegative(),
  stretch: z.number().nonnegative(),
  /** A job has failed once one of its tasks has failed this often. */
  maxAttempts: z.int().positive(),
  /** 0 comes first. */
  priority: z.number(),
  /** Accepts calls without a key. */
  open: z.boolean(),
  advice: Advice.optional(),
});
export type Queue = z.infer<typeof Queue>;

export const Pool = z.object({
  name: z.string(),
  /** Its workers refuse what exceeds their capacity. */
  guardsCapacity: z.boolean(),
  /** Its hosts are switched off and cost nothing. */
  standby: z.boolean(),
});
export type Pool = z.infer<typeof Pool>;

export const Team = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Share when everything is in use. */
  weight: z.number().nonnegative(),
  /** Upper limit of what runs at once; an amount of 0 means no limit. */
  cap: Size,
});
export type Team = z.infer<typeof Team>;

export const Tables = z.object({
  /** 0 before the first edit. */
  version: z.number().nonnegative(),
  queues: z.array(Queue),
  pools: z.array(Pool),
  teams: z.array(Team),
  /** Text that the operator sent; it is what reading the tables returns. */
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

/** Why the tables contradict themselves, or undefined if they do not. */
export function findContradiction(tables: Tables): string | undefined {
  return (
    repeated(
      'pool',
      tables.pools.map(pool => pool.name),
    ) ??
    repeated(
      'queue',
      tables.queues.map(queue => queue.name),
    ) ??
    repeated(
      'team',
      tables.teams.map(team => team.name),
    ) ??
    repeated(
      'key',
      tables.teams.flatMap(team => [...new Set(team.keys)]),
    ) ??
    repeated(
      'address',
      tables.queues.map(q => `${q.host} ${q.prefix}`),
    ) ??
    unknownPool(tables)
  );
}

function repeated(what: string, names: readonly string[]): string | undefined {
  const seen = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) return `two rows share the ${what} ${name}`;
    seen.add(name);
  }
  return undefined;
}

function unknownPool({queues, pools}: Tables): string | undefined {
  const names = new Set(pools.map(pool => pool.name));
  const queue = queues.find(({pool}) => !names.has(pool));
  return queue && `queue ${queue.name} names the unknown pool ${queue.pool}`;
}

/** The queue with the longest prefix of `path` on `host`. */
export function findQueue(
  tables: Tables,
  host: string,
  path: string,
): Queue | undefined {
  let best: Queue | undefined;
  for (const queue of tables.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (!best || queue.prefix.length > best.prefix.length) best = queue;
  }
  return best;
}

/** The team that holds `key`. */
export function findTeam(tables: Tables, key: string): Team | undefined {
  return tables.teams.find(team => team.keys.includes(key));
}
