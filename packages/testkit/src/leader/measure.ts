/**
 * The measurement `leader`: processor time and turns of the event loop of a
 * leader with growing fleets, at the same load per worker.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {fitLine} from '../fit.js';
import {
  createLeaderFleet,
  SLOTS_PER_WORKER,
  type LeaderFleet,
} from './fleet.js';
import type {MessageTimes} from './tap.js';

interface FleetShape {
  readonly workers: number;
  readonly pools: number;
  readonly teams: number;
}

/** Up to the size that the design targets. */
const SHAPES: readonly FleetShape[] = [
  {workers: 50, pools: 4, teams: 6},
  {workers: 250, pools: 15, teams: 32},
  {workers: 1000, pools: 58, teams: 128},
  {workers: 2200, pools: 128, teams: 280},
];
/** Share of all slots that are in use on average. */
const LOAD = 0.3;
const RUN_MS = 1000;
/** Longest wait for the reports of all workers to a new leader. */
const READY_TIMEOUT_MS = 5000;
const WARM_UP_MS = 3000;
const MEASURED_MS = 8000;
const TAKEOVER_MS = 3000;
const SUBMIT_INTERVAL_MS = 20;
/** Resolution of the histogram of delays, which each delay includes. */
const DELAY_RESOLUTION_MS = 5;
/** A leader that serves less than this share of the load is saturated. */
const MIN_SERVED = 0.95;

interface LeaderRow extends FleetShape {
  /** Processor time of the process, the stand-ins included. */
  readonly cores: number;
  readonly standInCores: number;
  /** Runs started and ended, as a share of those that the load implies. */
  readonly served: number;
  readonly changedRunsPerS: number;
  /** Processor time of the process for each start or end of a run. */
  readonly msPerChangedRun: number;
  readonly changesPerS: number;
  readonly changeBytes: number;
  readonly lagP99Ms: number;
  readonly lagMaxMs: number;
  /** Times of the leader's messages by kind, and those of all sessions. */
  readonly messages: Readonly<Record<string, MessageTimes>>;
  /** Times of decision rounds, warm-up included. */
  readonly round: PhaseTimes;
  /** Times of the leader's phases, if it records them, warm-up included. */
  readonly phases: Readonly<Record<string, PhaseTimes>>;
  readonly takeover: Takeover;
}

interface PhaseTimes {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface Takeover {
  /** Time of the call that starts the next leader, after the last stopped. */
  readonly startMs: number;
  readonly longestTurnMs: number;
  /** Until the first order; absent if none was sent in time. */
  readonly firstOrderMs?: number;
}

/** Measures all sizes, prints the tables and returns the figures. */
export async function measureLeader(): Promise<object> {
  process.stdout.write(
    `Load: ${LOAD} of the slots, ${SLOTS_PER_WORKER} slots a worker, runs of ` +
      `${RUN_MS} ms. One process with stand-in workers.\nNot included: HTTP ` +
      'to workers and the provider, links to other members, disk, callers’ ' +
      'requests, moves of hosts, waves. The stand-ins are included in ' +
      '"cores" and listed beside it.\n',
  );
  // Only warms up the JIT compiler.
  await measureShape(SHAPES[0]!, 2000);
  const rows: LeaderRow[] = [];
  printRow([
    'workers',
    'cores',
    'stand-ins',
    'served',
    'ms per changed run',
    'round p50/p99 ms',
    'report mean/p99 ms',
    'tick mean/p99 ms',
    'committed mean ms',
    'lag p99/max ms',
    'takeover turn ms',
  ]);
  for (const shape of SHAPES) {
    const row = await measureShape(shape);
    rows.push(row);
    printLeaderRow(row);
  }
  const kinds = ['report', 'tick', 'committed', 'session'];
  const fits = [
    fitGrowth('cores', rows, ({cores}) => cores),
    // What a saturated leader would need if its work grew with what it serves.
    fitGrowth('cores / served', rows, ({cores, served}) => cores / served),
    fitGrowth('ms per changed run', rows, ({msPerChangedRun: ms}) => ms),
    fitGrowth('lag maximum ms', rows, ({lagMaxMs}) => lagMaxMs),
    fitGrowth('takeover turn ms', rows, row => row.takeover.longestTurnMs),
    fitGrowth('round ms', rows, ({round}) => round.meanMs),
    ...kinds.map(kind =>
      fitGrowth(`${kind} ms`, rows, row => row.messages[kind]?.meanMs ?? 0),
    ),
  ];
  if (rows.some(({served}) => served < MIN_SERVED)) {
    process.stdout.write(
      'A saturated leader serves less than the load, so its figures are those ' +
        'of what it served.\n',
    );
  }
  printRow(['quantity', 'per worker', 'at 0', 'residual', 'exponent']);
  for (const {name, slope, intercept, residual, exponent} of fits) {
    printRow([
      name,
      slope.toPrecision(3),
      intercept.toPrecision(3),
      `${(residual * 100).toFixed(1)} %`,
      exponent.toFixed(2),
    ]);
  }
  printPhases(rows);
  return {measure: 'leader', load: LOAD, rows, fits};
}

async function measureShape(
  shape: FleetShape,
  measuredMs = MEASURED_MS,
): Promise<LeaderRow> {
  globalThis.gc?.();
  const fleet = await createLeaderFleet({...shape, runMs: RUN_MS});
  await fleet.startNextLeader();
  await waitForReports(fleet, shape.workers);
  const load = startLoad(fleet, shape.workers);
  await sleep(WARM_UP_MS);

  const {tap, workers, replica} = fleet;
  tap.clear();
  const before = {
    cpu: process.cpuUsage(),
    ms: performance.now(),
    changedRuns: workers.changedRuns,
    ownMs: workers.ownMs,
    changes: replica.changes,
    bytes: replica.changeBytes,
  };
  const delay = startDelayHistogram();
  await sleep(measuredMs);
  const used = process.cpuUsage(before.cpu);
  const lag = delay.stop();
  const elapsedMs = performance.now() - before.ms;
  const changedRuns = workers.changedRuns - before.changedRuns;
  const cpuMs = (used.user + used.system) / 1000;
  const changes = replica.changes - before.changes;
  const messages = Object.fromEntries(
    tap.kinds().map(kind => [kind, tap.times(kind)]),
  );
  const text = fleet.metrics.text();
  const row = {
    ...shape,
    cores: cpuMs / elapsedMs,
    standInCores: (workers.ownMs - before.ownMs) / elapsedMs,
    served: changedRuns / ((load.runsPerS * 2 * elapsedMs) / 1000),
    changedRunsPerS: (changedRuns / elapsedMs) * 1000,
    msPerChangedRun: cpuMs / Math.max(1, changedRuns),
    changesPerS: (changes / elapsedMs) * 1000,
    changeBytes: (replica.changeBytes - before.bytes) / Math.max(1, changes),
    lagP99Ms: lag.p99Ms,
    lagMaxMs: lag.maxMs,
    messages,
    round: readSummary(text, 'lentildrift_round_duration_seconds')['']!,
    phases: readSummary(text, 'lentildrift_leader_phase_seconds'),
  };
  const takeover = await measureTakeover(fleet);
  load.stop();
  await fleet.stop();
  return {...row, takeover};
}

/** Starts a second leader on the same state under load. */
async function measureTakeover(fleet: LeaderFleet): Promise<Takeover> {
  const delay = startDelayHistogram();
  const beganMs = performance.now();
  const {token, startMs} = await fleet.startNextLeader();
  await sleep(TAKEOVER_MS);
  const orderedMs = fleet.workers.firstStartMs.get(token);
  return {
    startMs,
    longestTurnMs: delay.stop().maxMs,
    ...(orderedMs !== undefined && {firstOrderMs: orderedMs - beganMs}),
  };
}

/** Waits until as many reports as workers are handled, or for the timeout. */
async function waitForReports(
  {tap}: LeaderFleet,
  workers: number,
): Promise<void> {
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  while (tap.times('report').count < workers && performance.now() < untilMs) {
    await sleep(100);
  }
}

/** Submits jobs at the rate of the load, however fast they are accepted. */
function startLoad(
  fleet: LeaderFleet,
  workers: number,
): {runsPerS: number; stop(): void} {
  const runsPerS = (workers * SLOTS_PER_WORKER * LOAD * 1000) / RUN_MS;
  const beganMs = performance.now();
  let submitted = 0;
  const timer = setInterval(() => {
    const runs = (runsPerS * (performance.now() - beganMs)) / 1000;
    while (submitted < runs / SLOTS_PER_WORKER) {
      // A saturated leader refuses jobs, which shows as load not served.
      fleet.submit(submitted++).catch(() => {});
    }
  }, SUBMIT_INTERVAL_MS);
  return {runsPerS, stop: () => clearInterval(timer)};
}

function startDelayHistogram() {
  const histogram = monitorEventLoopDelay({resolution: DELAY_RESOLUTION_MS});
  histogram.enable();
  const toLagMs = (nanoseconds: number) =>
    Math.max(0, nanoseconds / 1e6 - DELAY_RESOLUTION_MS);
  return {
    stop() {
      histogram.disable();
      return {
        p99Ms: toLagMs(histogram.percentile(99)),
        maxMs: toLagMs(histogram.max),
      };
    },
  };
}

const SUMMARY_LINE =
  /^(\w+?)(_sum|_count)?(?:\{(?:phase="(\w+)")?,?(?:quantile="([\d.]+)")?\})? (\S+)$/gm;

/** Reads a latency summary from the metrics text, by its label `phase`. */
function readSummary(text: string, name: string): Record<string, PhaseTimes> {
  const values = new Map<string, Map<string, number>>();
  for (const [, metric, suffix, phase = '', quantile, value] of text.matchAll(
    SUMMARY_LINE,
  )) {
    if (metric !== name) continue;
    const row = values.get(phase) ?? new Map<string, number>();
    row.set(suffix ?? quantile!, Number(value));
    values.set(phase, row);
  }
  const rows = [...values].map(([phase, row]): [string, PhaseTimes] => {
    const ms = (key: string) => (row.get(key) ?? 0) * 1000;
    const count = row.get('_count') ?? 0;
    const meanMs = ms('_sum') / Math.max(1, count);
    return [phase, {count, meanMs, p50Ms: ms('0.5'), p99Ms: ms('0.99')}];
  });
  return Object.fromEntries(rows);
}

/** Slope per worker, and the exponent: the slope of log value over log size. */
function fitGrowth(
  name: string,
  rows: readonly LeaderRow[],
  valueOf: (row: LeaderRow) => number,
) {
  const points = rows.map(row => ({x: row.workers, y: valueOf(row)}));
  const logs = points.map(({x, y}) => ({
    x: Math.log(x),
    // The shortest time that is told apart; a zero has no logarithm.
    y: Math.log(Math.max(y, 1e-4)),
  }));
  return {name, ...fitLine(points), exponent: fitLine(logs).slope};
}

function printLeaderRow(row: LeaderRow): void {
  const {round} = row;
  const {report, tick, committed} = row.messages;
  const pair = (a = 0, b = 0) => `${format(a)} / ${format(b)}`;
  printRow([
    String(row.workers),
    row.cores.toFixed(2),
    row.standInCores.toFixed(2),
    `${(row.served * 100).toFixed(0)} %${
      row.served < MIN_SERVED ? ' (saturated)' : ''
    }`,
    format(row.msPerChangedRun),
    pair(round.p50Ms, round.p99Ms),
    pair(report?.meanMs, report?.p99Ms),
    pair(tick?.meanMs, tick?.p99Ms),
    format(committed?.meanMs ?? 0),
    pair(row.lagP99Ms, row.lagMaxMs),
    format(row.takeover.longestTurnMs),
  ]);
}

function printPhases(rows: readonly LeaderRow[]): void {
  const phases = [...new Set(rows.flatMap(row => Object.keys(row.phases)))];
  if (phases.length === 0) {
    process.stdout.write('This leader records no phases.\n');
    return;
  }
  const sizes = rows.map(({workers}) => `${workers} workers`);
  printRow(['phase p50/p99 ms', ...sizes]);
  for (const phase of phases) {
    const cells = rows.map(({phases: {[phase]: times}}) =>
      times ? `${format(times.p50Ms)} / ${format(times.p99Ms)}` : '-',
    );
    printRow([phase, ...cells]);
  }
}

function format(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toPrecision(2);
}

function printRow(cells: readonly string[]): void {
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
