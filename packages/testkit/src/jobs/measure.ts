/** Measures the policies of the job queues against their baselines. */
import {
  ArrivalOrder,
  DeadlineOrder,
  ElasticPools,
  FirstFitPlacement,
  FixedPools,
  PackPlacement,
} from '@lentildrift/scheduling';
import {ARCHERS_JOBS, scaleShape, type TrafficShape} from './shape.js';
import {runJobTrial, type TrialOptions, type TrialResult} from './trial.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

type Policies = Pick<TrialOptions, 'order' | 'placement' | 'pools'>;

function ours(): Policies {
  return {
    order: new DeadlineOrder(),
    placement: new PackPlacement(),
    pools: new ElasticPools(),
  };
}

/** Ours, and ours with one policy replaced by its baseline. */
const POLICIES: Readonly<Record<string, () => Policies>> = {
  ours,
  'by arrival': () => ({...ours(), order: new ArrivalOrder()}),
  'first fit': () => ({...ours(), placement: new FirstFitPlacement()}),
  'fixed pools': () => ({...ours(), pools: new FixedPools()}),
};
/** A start of all processes during the turn of a queue takes this long. */
const OUTAGE = {fromMs: 12_000, untilMs: 14_500};
/** Times the shape of today: about 35, 250 and 2,200 hosts. */
const FACTORS = [1, 7, 63];

/** Prints the tables and returns their figures. */
export async function measureJobs(): Promise<object> {
  const rows = Object.keys(POLICIES).flatMap(policy => [
    rowOf(policy, ARCHERS_JOBS, SEEDS),
    rowOf(policy, ARCHERS_JOBS, SEEDS, OUTAGE),
  ]);
  const sizes = FACTORS.map(factor =>
    rowOf('ours', scaleShape(ARCHERS_JOBS, factor), SEEDS.slice(0, 1)),
  );
  for (const row of [...rows, ...sizes]) console.log(JSON.stringify(row));
  return {measure: 'jobs', seeds: SEEDS, rows, sizes};
}

function rowOf(
  policy: string,
  shape: TrafficShape,
  seeds: readonly number[],
  outage?: TrialOptions['outage'],
) {
  const results = seeds.map(seed =>
    runJobTrial({
      ...POLICIES[policy]!(),
      shape,
      seed,
      ...(outage && {outage}),
    }),
  );
  const mean = (of: (result: TrialResult) => number) =>
    results.reduce((sum, result) => sum + of(result), 0) / results.length;
  return {
    policy,
    shape: shape.name,
    outage: outage !== undefined,
    worth: round(mean(({worth}) => worth)),
    served: round(mean(({served}) => served)),
    worstWindows: round(mean(({worstWindows}) => worstWindows)),
    worstQueue: round(mean(({worstQueue}) => worstQueue)),
    hostSeconds: Math.round(mean(({hostSeconds}) => hostSeconds)),
    moves: Math.round(mean(({moves}) => moves)),
    jobs: Math.round(mean(({jobs}) => jobs)),
    startsPerSecond: round(
      (mean(({starts}) => starts) * 1000) / shape.lengthMs,
    ),
    microsecondsPerStart: Math.round(
      mean(({roundsMs, starts}) => (roundsMs * 1000) / starts),
    ),
    longestRoundMs: Math.round(mean(({longestRoundMs}) => longestRoundMs)),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
