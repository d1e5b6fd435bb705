/** Tables in docs/operators.md, generated from the schemas. */
import {
  poolSchema,
  routeSchema,
  teamSchema,
  type Pool,
  type RefusalCode,
  type Route,
  type Team,
} from '@lentildrift/model';
import {z} from 'zod';

type FieldMeanings<Row> = Readonly<Record<keyof Required<Row>, string>>;

const ROUTE_MEANINGS: FieldMeanings<Route> = {
  name: 'Name in the path, `/call/NAME/`; also the queue of jobs.',
  pool: 'Pool that serves the route; not a spare pool.',
  service: 'Service that upstreams announce.',
  open: 'Needs no key; the work is charged to `chargeTo`.',
  chargeTo: 'Team to which work without a key is charged; needed when `open`.',
  teams: 'Teams that may call; without it every team may.',
  repeat:
    '`by-method`: only methods that HTTP calls idempotent may be sent to a second upstream; `idempotent`: every method may; `once`: none may, and a request with an `idempotency-key` runs at most once.',
  timeoutMs: 'Longest time from arrival to the end of the answer, in ms.',
  maxBodyBytes: 'Largest request body, in bytes.',
  urgent: 'Work of this route may reclaim lent share.',
};

const POOL_MEANINGS: FieldMeanings<Pool> = {
  name: 'Name of the pool.',
  kind: '`calls`: serves routes; `jobs`: runs jobs; `spare`: kept free.',
  hosts: 'Hosts of the pool; each host is in exactly one pool.',
  minAvailable:
    'Availability budget: healthy serving hosts that must remain; at most the number of hosts.',
  slotsPerHost: 'Calls that one host runs at once.',
  connectionsPerHost: 'Connections that one host accepts.',
  maintenancePeriodDays: 'Longest time between two maintenances, in days.',
};

const TEAM_MEANINGS: FieldMeanings<Team> = {
  name: 'Name of the team.',
  share: "Weight of the team's share when the fleet is full.",
  limit: 'Upper limit of running calls, across the fleet.',
  jobLimit: 'Upper limit of running jobs; without it the same as `limit`.',
  objective: 'Service-level objective: part of calls answered well.',
};

interface RefusalRow {
  readonly status: number;
  readonly verdict: string;
  readonly meaning: string;
  readonly action: string;
}

const REFUSALS: Readonly<Record<RefusalCode, RefusalRow>> = {
  malformed: {
    status: 400,
    verdict: 'not-run; may-have-run if it was found while forwarding',
    meaning: 'The request breaks HTTP or a rule of the entry host.',
    action: 'Correct the request.',
  },
  'unknown-route': {
    status: 404,
    verdict: 'not-run',
    meaning: 'The path names no route.',
    action: 'Check the path, and `lentildrift get tables`.',
  },
  unauthorised: {
    status: 401,
    verdict: 'not-run',
    meaning: 'No key, a wrong key or a withdrawn key.',
    action: 'Check `lentildrift keys list`; give a new key.',
  },
  forbidden: {
    status: 403,
    verdict: 'not-run',
    meaning: "The key's team or pool may not do this.",
    action: "Check the route's `teams`, or the host's pool.",
  },
  stale: {
    status: 503,
    verdict: 'not-run',
    meaning: 'The entry host has not heard from control for 3 s.',
    action: 'Resend later; check `lentildrift status` and the network.',
  },
  'over-limit': {
    status: 429,
    verdict: 'not-run',
    meaning: "The team's limit, or the entry host's slice of it, is in use.",
    action: 'Resend after `retry-after`; raise `limit` if this lasts.',
  },
  overloaded: {
    status: 429,
    verdict: 'not-run',
    meaning:
      'Every upstream of the pool is full, or the requests in flight hold all of `--body-budget-bytes`.',
    action: 'Resend after `retry-after`; add hosts to the pool if this lasts.',
  },
  'no-upstream': {
    status: 503,
    verdict: 'not-run',
    meaning: 'No upstream of the service is announced, serving and reachable.',
    action: 'Check `lentildrift hosts`, and that upstreams announce.',
  },
  'body-too-large': {
    status: 413,
    verdict: 'not-run if it was found before forwarding, else may-have-run',
    meaning: "The body is above the route's `maxBodyBytes`.",
    action: 'Send less, or raise `maxBodyBytes`.',
  },
  timeout: {
    status: 504,
    verdict: 'not-run or may-have-run, as it was',
    meaning:
      "No complete answer within the route's `timeoutMs`, or the body did not arrive in time.",
    action: 'Resend only with not-run; look at the upstreams.',
  },
  'upstream-failed': {
    status: 502,
    verdict: 'not-run or may-have-run, as it was',
    meaning: 'The connection to the upstream failed.',
    action: 'Resend only with not-run; look at the upstreams.',
  },
  duplicate: {
    status: 409,
    verdict: 'ran or may-have-run',
    meaning: 'A request with this idempotency key was claimed before.',
    action: 'With ran, do not resend; with may-have-run, look first.',
  },
  stopping: {
    status: 503,
    verdict: 'not-run',
    meaning: 'The entry host is shutting down.',
    action: 'Resend; the load balancer chooses another entry host.',
  },
  internal: {
    status: 500,
    verdict: 'may-have-run',
    meaning: 'A fault of lentildrift.',
    action: 'Report it, with the log lines of that time.',
  },
};

/** Formats the fields of each section's rows as a Markdown table. */
export function formatFieldTables(): Readonly<
  Record<'teams' | 'routes' | 'pools', string>
> {
  return {
    teams: formatFieldTable(teamSchema, TEAM_MEANINGS),
    routes: formatFieldTable(routeSchema, ROUTE_MEANINGS),
    pools: formatFieldTable(poolSchema, POOL_MEANINGS),
  };
}

/** Formats the refusal codes of entry hosts as a Markdown table. */
export function formatRefusalTable(): string {
  const rows = Object.entries(REFUSALS).map(
    ([code, {status, verdict, meaning, action}]) =>
      `| \`${code}\` | ${status} | ${verdict} | ${meaning} | ${action} |`,
  );
  return formatMarkdownTable(
    ['Code', 'Status', 'Verdict', 'Meaning', 'What to do'],
    rows,
  );
}

function formatFieldTable(
  schema: z.ZodType,
  meanings: Readonly<Record<string, string>>,
): string {
  const {properties = {}, required = []} = z.toJSONSchema(schema, {
    io: 'input',
  });
  const rows = Object.entries(properties).map(([name, property]) => {
    const field = property as z.core.JSONSchema.JSONSchema;
    const defaultText =
      field.default !== undefined
        ? `\`${JSON.stringify(field.default)}\``
        : required.includes(name)
          ? 'required'
          : 'absent';
    return `| \`${name}\` | ${describeRange(field)} | ${defaultText} | ${meanings[name]} |`;
  });
  return formatMarkdownTable(['Field', 'Allowed', 'Default', 'Meaning'], rows);
}

function describeRange(field: z.core.JSONSchema.JSONSchema): string {
  if (field.enum) return field.enum.map(value => `\`${value}\``).join(', ');
  if (field.type === 'array') return 'list of names';
  if (field.type === 'boolean') return '`true`, `false`';
  if (field.type === 'string') return 'name';
  const kind = field.type === 'integer' ? 'whole number' : 'number';
  const min =
    field.exclusiveMinimum === undefined
      ? `${field.minimum} or more`
      : `above ${field.exclusiveMinimum}`;
  const max =
    field.exclusiveMaximum === undefined
      ? field.maximum === Number.MAX_SAFE_INTEGER
        ? ''
        : `, at most ${field.maximum}`
      : `, below ${field.exclusiveMaximum}`;
  return `${kind}, ${min}${max}`;
}

function formatMarkdownTable(
  head: readonly string[],
  rows: readonly string[],
): string {
  const separator = `|${head.map(() => '---').join('|')}|`;
  return [`| ${head.join(' | ')} |`, separator, ...rows].join('\n');
}
