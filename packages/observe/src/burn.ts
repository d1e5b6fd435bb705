/**
 * The service-level burn report, as pure functions over recorded buckets.
 * Buckets start at multiples of `BUCKET_MS` of the wall clock, so that those
 * of several entry hosts can be added.
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

export const SHORT_BURN_WINDOW_MS = 5 * 60 * 1000;

const count = z.number().int().nonnegative();

export const burnWindowSchema = z.object({
  calls: count,
  bad: count,
  /** Part of bad calls divided by the allowed part; 0 without calls. */
  burnRate: z.number().nonnegative(),
});
export type BurnWindow = z.infer<typeof burnWindowSchema>;

export const burnRowSchema = z.object({
  route: z.string(),
  team: z.string(),
  /** Part of calls that should be answered well. */
  objective: z.number(),
  /** Bad calls that the objective allows among the calls of the last hour. */
  errorBudget: z.number(),
  /** What is left of it; negative when it is overspent. */
  errorBudgetLeft: z.number(),
  short: burnWindowSchema,
  long: burnWindowSchema,
});
export type BurnRow = z.infer<typeof burnRowSchema>;

/** What operators read as `report`. */
export const reportSchema = z.object({
  burn: z.array(burnRowSchema).optional(),
  /** The four measures, by name. */
  measures: z.record(z.string(), z.number()).optional(),
});
export type Report = z.infer<typeof reportSchema>;

export type CallClass = 'good' | 'bad' | 'ignored';

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

/** The facts that decide how a call counts. */
export interface CallOutcome {
  /** Why the call was refused or failed; absent when an upstream answered. */
  readonly code?: RefusalCode;
  /** HTTP status that the caller was sent; absent or 0 when none was. */
  readonly status?: number;
  /** `false` when the response broke off. */
  readonly complete?: boolean;
  /** `true` when the caller went away before the response was complete. */
  readonly callerLeft?: boolean;
}

/**
 * Bad: refused for lack of capacity, failed, broken off or timed out.
 * Ignored: the caller got it wrong (4xx other than 429), or went away.
 */
export function classifyCall(call: CallOutcome): CallClass {
  const {code, status = 0, complete, callerLeft} = call;
  if (callerLeft) return 'ignored';
  if (code !== undefined && BAD_REFUSAL_CODES.has(code)) return 'bad';
  if (status >= 400 && status < 500 && status !== 429) return 'ignored';
  if (complete === false || status >= 400) return 'bad';
  return status === 0 ? 'ignored' : 'good';
}

/** Start of the bucket that contains `atMs`. */
export function getBucketStart(atMs: number): number {
  return Math.floor(atMs / BURN_BUCKET_MS) * BURN_BUCKET_MS;
}

/** Adds the reports of several entry hosts, route by route, team by team. */
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
    // Clocks of hosts differ a little, so the union may be a bucket longer.
    return {route, team, buckets: buckets.slice(-MAX_BURN_BUCKETS)};
  });
}

/**
 * Takes one host's newer buckets into those held of it: a bucket that is sent
 * again replaces the one held. Buckets that left the long window are dropped.
 */
export function updateBurnSeries(
  held: readonly BurnSeries[],
  newer: readonly BurnSeries[],
  nowMs: number,
): BurnSeries[] {
  const after = getBucketStart(nowMs) - LONG_BURN_WINDOW_MS;
  const byKey = new Map<string, BurnSeries>();
  for (const {route, team, buckets} of [...held, ...newer]) {
    const key = JSON.stringify([route, team]);
    const known = byKey.get(key)?.buckets ?? [];
    const byStart = new Map(
      [...known, ...buckets].map(bucket => [bucket.startMs, bucket]),
    );
    const kept = [...byStart.values()]
      .filter(({startMs}) => startMs > after)
      .sort((a, b) => a.startMs - b.startMs)
      .slice(-MAX_BURN_BUCKETS);
    byKey.set(key, {route, team, buckets: kept});
  }
  return [...byKey.values()].filter(({buckets}) => buckets.length > 0);
}

/**
 * One row for each series, the fastest burn first. `objectiveOf` gives a
 * team's objective; series of teams without one are left out.
 */
export function computeBurnReport(
  series: readonly BurnSeries[],
  objectiveOf: (team: string) => number | undefined,
  nowMs: number,
): BurnRow[] {
  const rows = series.flatMap(one => {
    const objective = objectiveOf(one.team);
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

/** The current bucket and those before it that make up the window. */
function computeBurnWindow(
  buckets: readonly BurnBucket[],
  objective: number,
  nowMs: number,
  windowMs: number,
): BurnWindow {
  const after = getBucketStart(nowMs) - windowMs;
  let calls = 0;
  let bad = 0;
  for (const bucket of buckets) {
    if (bucket.startMs <= after || bucket.startMs > nowMs) continue;
    calls += bucket.good + bucket.bad;
    bad += bucket.bad;
  }
  const burnRate =
    calls === 0 ? 0 : roundToSignificantDigits(bad / calls / (1 - objective));
  return {calls, bad, burnRate};
}

/** The report as a table for a terminal. */
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

/** Left-aligned columns, two spaces apart. */
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

/** Drops the noise of binary fractions. */
function roundToSignificantDigits(value: number): number {
  return Number(value.toPrecision(9));
}

function compareStrings(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
