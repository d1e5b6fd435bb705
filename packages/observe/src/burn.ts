/**
 * The service-level burn report, as pure functions over recorded buckets.
 * Buckets start at multiples of `BURN_BUCKET_MS` of the wall clock, so that
 * the buckets of several entry hosts can be added.
 */
import {
  BURN_BUCKET_MS,
  MAX_BURN_BUCKETS,
  LONG_BURN_WINDOW_MS,
  type BurnBucket,
  type BurnSeries,
  type RefusalCode,
} from '@lentildrift/model';
import {z} from 'zod';

export {
  BURN_BUCKET_MS,
  MAX_BURN_BUCKETS,
  burnBucketSchema,
  burnSeriesSchema,
  LONG_BURN_WINDOW_MS,
  type BurnBucket,
  type BurnSeries,
} from '@lentildrift/model';

/** Shorter window over which the burn rate is computed, in milliseconds. */
export const SHORT_BURN_WINDOW_MS = 5 * 60 * 1000;

const count = z.number().int().nonnegative();

export const burnWindowSchema = z.object({
  calls: count,
  bad: count,
  /** Fraction of bad calls divided by the allowed fraction; 0 without calls. */
  burnRate: z.number().nonnegative(),
});
export type BurnWindow = z.infer<typeof burnWindowSchema>;

/** The burn report of one route and team. */
export const burnRowSchema = z.object({
  route: z.string(),
  team: z.string(),
  /** Service-level objective: the fraction of calls that must be good. */
  objective: z.number(),
  /** Bad calls that the objective allows among the calls of the last hour. */
  errorBudget: z.number(),
  /** Error budget minus bad calls; negative when the budget is exceeded. */
  errorBudgetLeft: z.number(),
  short: burnWindowSchema,
  long: burnWindowSchema,
});
export type BurnRow = z.infer<typeof burnRowSchema>;

/** The answer to an operator's read of the topic `report`. */
export const reportSchema = z.object({
  burn: z.array(burnRowSchema).optional(),
  /** The four measures, by name. */
  measures: z.record(z.string(), z.number()).optional(),
});
export type Report = z.infer<typeof reportSchema>;

/** How a call counts in the burn report; ignored calls do not count. */
export type CallClass = 'good' | 'bad' | 'ignored';

/** Refusals that are due to the system, not to the caller. */
const BAD_REFUSAL_CODES: ReadonlySet<string> = new Set<RefusalCode>([
  'stale',
  'over-limit',
  'overloaded',
  'no-upstream',
  'timeout',
  'upstream-failed',
  'stopping',
  'internal',
]);

/** The properties of a finished call that decide its class. */
export interface CallOutcome {
  /** Why the call was refused or failed; absent when an upstream answered. */
  readonly code?: RefusalCode;
  /** HTTP status sent to the caller; absent or 0 when none was sent. */
  readonly status?: number;
  /** `false` when the response was cut short. */
  readonly complete?: boolean;
  /** `true` when the caller disconnected before the response was complete. */
  readonly callerLeft?: boolean;
}

/**
 * Classifies a finished call. Bad: refused for lack of capacity, failed, cut
 * short or timed out. Ignored: the request was invalid (4xx other than 429),
 * or the caller disconnected.
 */
export function classifyCall(call: CallOutcome): CallClass {
  const {code, status = 0, complete, callerLeft} = call;
  if (callerLeft) return 'ignored';
  if (code !== undefined && BAD_REFUSAL_CODES.has(code)) return 'bad';
  if (status >= 400 && status < 500 && status !== 429) return 'ignored';
  if (complete === false || status >= 400) return 'bad';
  return status === 0 ? 'ignored' : 'good';
}

/** Returns the start of the bucket that contains `atMs`, in ms. */
export function getBucketStart(atMs: number): number {
  return Math.floor(atMs / BURN_BUCKET_MS) * BURN_BUCKET_MS;
}

/** Adds up the series of several entry hosts for each route and team. */
export function mergeBurnSeries(
  reports: readonly (readonly BurnSeries[])[],
): BurnSeries[] {
  const merged = new Map<string, Map<number, BurnBucket>>();
  for (const {route, team, buckets} of reports.flat()) {
    const key = JSON.stringify([route, team]);
    const sums = merged.get(key) ?? new Map<number, BurnBucket>();
    merged.set(key, sums);
    for (const {startMs, good, bad} of buckets) {
      const sum = sums.get(startMs) ?? {startMs, good: 0, bad: 0};
      sums.set(startMs, {
        startMs,
        good: sum.good + good,
        bad: sum.bad + bad,
      });
    }
  }
  return [...merged].map(([key, sums]) => {
    const [route, team] = JSON.parse(key) as [string, string];
    const buckets = [...sums.values()].sort((a, b) => a.startMs - b.startMs);
    // Host clocks differ slightly, so the union may be one bucket longer.
    return {route, team, buckets: buckets.slice(-MAX_BURN_BUCKETS)};
  });
}

/**
 * Updates the series `stored` for one host with its `newer` buckets. A bucket
 * that the host sends again replaces the stored one. Buckets older than the
 * long window are dropped.
 */
export function updateBurnSeries(
  stored: readonly BurnSeries[],
  newer: readonly BurnSeries[],
  nowMs: number,
): BurnSeries[] {
  const afterMs = getBucketStart(nowMs) - LONG_BURN_WINDOW_MS;
  const byKey = new Map<string, BurnSeries>();
  for (const {route, team, buckets} of [...stored, ...newer]) {
    const key = JSON.stringify([route, team]);
    const known = byKey.get(key)?.buckets ?? [];
    const byStart = new Map(
      [...known, ...buckets].map(bucket => [bucket.startMs, bucket]),
    );
    const kept = [...byStart.values()]
      .filter(({startMs}) => startMs > afterMs)
      .sort((a, b) => a.startMs - b.startMs)
      .slice(-MAX_BURN_BUCKETS);
    byKey.set(key, {route, team, buckets: kept});
  }
  return [...byKey.values()].filter(({buckets}) => buckets.length > 0);
}

/**
 * Computes one row for each series, highest burn rate first. `getObjective`
 * returns a team's objective; series of teams without one are left out.
 */
export function computeBurnReport(
  series: readonly BurnSeries[],
  getObjective: (team: string) => number | undefined,
  nowMs: number,
): BurnRow[] {
  const rows = series.flatMap(one => {
    const objective = getObjective(one.team);
    return objective === undefined
      ? []
      : [computeBurnRow(one, objective, nowMs)];
  });
  return rows.sort(
    (a, b) =>
      b.short.burnRate - a.short.burnRate ||
      b.long.burnRate - a.long.burnRate ||
      compareStrings(a.route, b.route) ||
      compareStrings(a.team, b.team),
  );
}

function computeBurnRow(
  series: BurnSeries,
  objective: number,
  nowMs: number,
): BurnRow {
  const {route, team, buckets} = series;
  const short = computeBurnWindow(
    buckets,
    objective,
    nowMs,
    SHORT_BURN_WINDOW_MS,
  );
  const long = computeBurnWindow(
    buckets,
    objective,
    nowMs,
    LONG_BURN_WINDOW_MS,
  );
  const errorBudget = roundToSignificantDigits(long.calls * (1 - objective));
  const errorBudgetLeft = roundToSignificantDigits(errorBudget - long.bad);
  return {route, team, objective, errorBudget, errorBudgetLeft, short, long};
}

/** Sums the current bucket and the earlier buckets within the window. */
function computeBurnWindow(
  buckets: readonly BurnBucket[],
  objective: number,
  nowMs: number,
  windowMs: number,
): BurnWindow {
  const afterMs = getBucketStart(nowMs) - windowMs;
  let calls = 0;
  let bad = 0;
  for (const bucket of buckets) {
    if (bucket.startMs <= afterMs || bucket.startMs > nowMs) continue;
    calls += bucket.good + bucket.bad;
    bad += bucket.bad;
  }
  const burnRate =
    calls === 0 ? 0 : roundToSignificantDigits(bad / calls / (1 - objective));
  return {calls, bad, burnRate};
}

/** Formats the report as a table for a terminal. */
export function formatBurnReport(rows: readonly BurnRow[]): string {
  if (rows.length === 0) return 'no calls recorded in the last hour\n';
  const cells = rows.map(row => [
    row.route,
    row.team,
    String(row.objective),
    `${row.errorBudgetLeft.toFixed(1)} of ${row.errorBudget.toFixed(1)}`,
    `${row.short.burnRate.toFixed(2)} (${row.short.bad}/${row.short.calls})`,
    `${row.long.burnRate.toFixed(2)} (${row.long.bad}/${row.long.calls})`,
  ]);
  const head = ['ROUTE', 'TEAM', 'OBJECTIVE', 'BUDGET LEFT', '5 MIN', '1 H'];
  return formatColumns([head, ...cells]);
}

/** Formats rows of cells as left-aligned columns, two spaces apart. */
export function formatColumns(lines: readonly (readonly string[])[]): string {
  const widths = lines[0]!.map((_, column) =>
    Math.max(...lines.map(line => line[column]!.length)),
  );
  return lines
    .map(line =>
      line.map((cell, column) => cell.padEnd(widths[column]!)).join('  '),
    )
    .map(line => line.trimEnd() + '\n')
    .join('');
}

/** Rounds to 9 significant digits, which removes floating-point errors. */
function roundToSignificantDigits(value: number): number {
  return Number(value.toPrecision(9));
}

function compareStrings(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
