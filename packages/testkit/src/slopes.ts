/** How state, messages and processor time grow with the size of the fleet. */
import {
  apply,
  diffViews,
  EMPTY_VIEW,
  projectView,
  type State,
} from '@lentildrift/model';
import {DemandPolicy, type SliceHolder} from '@lentildrift/control';
import {syncRequestSchema} from '@lentildrift/protocol';
import {fitLine, medianMs, type Fit, type Point} from './fit.js';
import {measureRounds} from './round.js';
import {buildState, range, type StateSize} from './synthetic-state.js';

/** A fleet like today's. */
export const CURRENT_SIZE: StateSize = {
  hosts: 75,
  pools: 6,
  teams: 6,
  routes: 12,
  keys: 20,
  jobs: 100,
  sessions: 8,
  answers: 100,
};

export const TARGET_SIZE: StateSize = {
  hosts: 2200,
  pools: 128,
  teams: 280,
  routes: 500,
  keys: 1000,
  jobs: 20_000,
  sessions: 55,
  answers: 8192,
};

export interface Slope {
  readonly name: string;
  readonly per: string;
  readonly unit: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

/** The sizes of one dimension at which each slope is measured. */
const SIZES: Readonly<Record<keyof StateSize, readonly number[]>> = {
  hosts: [100, 550, 1100, 2200],
  pools: [16, 32, 64, 128],
  teams: [35, 70, 140, 280],
  routes: [64, 128, 256, 512],
  keys: [125, 250, 500, 1000],
  jobs: [2500, 5000, 10_000, 20_000],
  sessions: [7, 14, 28, 55],
  answers: [1024, 2048, 4096, 8192],
};

const REPEATS = 15;

/** Measures `value` at each size of `dimension`, the rest as in `base`. */
export function measureSlope(
  name: string,
  unit: string,
  dimension: keyof StateSize,
  value: (state: State) => number,
  base: StateSize = CURRENT_SIZE,
): Slope {
  const points = SIZES[dimension].map(x => ({
    x,
    y: value(buildState({...base, [dimension]: x}, 11)),
  }));
  return {name, per: dimension, unit, points, fit: fitLine(points)};
}

const snapshotBytes = (state: State) => JSON.stringify(state).length;
const viewBytes = (state: State) =>
  JSON.stringify(diffViews(EMPTY_VIEW, projectView(state))).length;

/** Time to apply one observation of one host. */
function observeMs(state: State): number {
  const host = Object.values(state.hosts)[0]!;
  const {id, dataCentre, rack, cores, memoryMiB, accelerators} = host;
  const observed = {id, dataCentre, rack, cores, memoryMiB, accelerators};
  return medianMs(
    () =>
      apply(state, {
        atMs: 0,
        body: {type: 'observe-hosts', hosts: [{...observed, healthy: true}]},
      }),
    REPEATS,
  );
}

/** Time from a change of one host to the encoded difference of the view. */
function viewDeltaMs(state: State): number {
  const before = projectView(state);
  const id = Object.keys(state.hosts)[0]!;
  const host = {...state.hosts[id]!, phase: 'failed' as const};
  const after = {...state, hosts: {...state.hosts, [id]: host}};
  return medianMs(
    () => JSON.stringify(diffViews(before, projectView(after, before))),
    REPEATS,
  );
}

/** A sync request that lists every team, as the first one after a failover. */
function syncRequest(state: State) {
  const use = Object.keys(state.tables.teams).map(team => [
    team,
    {running: 3, demand: 5, generation: 17, ceiling: 12},
  ]);
  return {
    session: '00000000-0000-0000-0000-000000000000',
    revision: state.revision,
    sequence: 1,
    useSince: 0,
    use: Object.fromEntries(use),
    roster: [],
    rosterVersion: 1,
  };
}

const syncBytes = (state: State) => JSON.stringify(syncRequest(state)).length;
const syncParseMs = (state: State) => {
  const text = JSON.stringify(syncRequest(state));
  return medianMs(() => syncRequestSchema.parse(JSON.parse(text)), REPEATS);
};

function commandMs(state: State): number {
  let count = 0;
  return medianMs(
    () =>
      apply(state, {
        atMs: 0,
        body: {
          type: 'command',
          requestId: `measured-${count++}`,
          command: {type: 'withdraw-key', keyId: '000000000000'},
        },
      }),
    REPEATS,
  );
}

/** Growth of the heap when the state is held, in bytes. */
function heapBytes(state: State): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const copies = range(3).map(() => JSON.parse(JSON.stringify(state)) as State);
  globalThis.gc?.();
  const grown = process.memoryUsage().heapUsed - before;
  return grown / copies.length;
}

const policy = new DemandPolicy();

/** Time to divide every team's limit between all sessions. */
function divideMs(state: State): number {
  const teams = Object.values(state.tables.teams).map(team => ({
    limit: team.limit,
    holders: Object.values(state.sessions).map<SliceHolder>(
      (session, index) => {
        const slice = state.slices[team.name]?.[session.id];
        const use = {
          running: index % 5,
          demand: index % 9,
          generation: slice?.generation ?? 0,
          ceiling: slice?.amount ?? 0,
        };
        return {session: session.id, phase: session.phase, slice, use};
      },
    ),
  }));
  return medianMs(() => teams.forEach(team => policy.decide(team)), REPEATS);
}

/** The slopes of the replicated state and of the messages about it. */
export function measureStateSlopes(): Slope[] {
  const dimensions = Object.keys(SIZES) as (keyof StateSize)[];
  return [
    ...dimensions.map(d => measureSlope('snapshot', 'bytes', d, snapshotBytes)),
    ...dimensions.map(d => measureSlope('heap', 'bytes', d, heapBytes)),
    measureSlope('whole view', 'bytes', 'hosts', viewBytes),
    measureSlope('whole view', 'bytes', 'routes', viewBytes),
    measureSlope('whole view', 'bytes', 'keys', viewBytes),
    measureSlope('sync request', 'bytes', 'teams', syncBytes),
    measureSlope('parse sync', 'ms', 'teams', syncParseMs),
    measureSlope('apply observation', 'ms', 'hosts', observeMs),
    measureSlope('apply command', 'ms', 'answers', commandMs),
    measureSlope('view difference', 'ms', 'hosts', viewDeltaMs),
    measureSlope('divide limits', 'ms', 'teams', divideMs),
    measureSlope('divide limits', 'ms', 'sessions', divideMs, {
      ...CURRENT_SIZE,
      teams: TARGET_SIZE.teams,
    }),
  ];
}

/** Measures every slope, prints the table and returns the figures. */
export async function measureSlopes(): Promise<object> {
  const slopes = measureStateSlopes();
  const rounds = measureRounds();
  printRow(['slope', 'per', 'unit', 'values', 'per unit', 'at 0', 'residual']);
  for (const {name, per, unit, points, fit} of slopes) {
    const digits = unit === 'ms' ? 3 : 0;
    printRow([
      name,
      per,
      unit,
      points.map(({x, y}) => `${x}: ${y.toFixed(digits)}`).join(', '),
      fit.slope.toPrecision(3),
      fit.intercept.toFixed(digits),
      `${(fit.residual * 100).toFixed(1)} %`,
    ]);
  }
  const times = rounds.times.map(
    ({workers, medianMs}) => `${workers}: ${medianMs.toFixed(1)}`,
  );
  printRow([
    'decision round',
    'workers',
    'ms',
    times.join(', '),
    rounds.msPerWorker.toPrecision(3),
    rounds.interceptMs.toFixed(1),
    `${rounds.residualMs.toFixed(1)} ms`,
  ]);
  return {measure: 'slopes', slopes, rounds};
}

function printRow(cells: readonly string[]): void {
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
}
