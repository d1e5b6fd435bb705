/**
 * The measurement `jobs`: compares the policies of the job queues with their
 * baselines.
 */
import {
  AdmitAll,
  ArrivalOrder,
  CostAdmission,
  CostOrder,
  DeadlineAdmission,
  DeadlineOrder,
  ElasticPools,
  FirstArrivalReturns,
  FirstFitPlacement,
  FixedPools,
  LeastSlackOrder,
  PackPlacement,
  WeightedShares,
} from '@lentildrift/scheduling';
import {
  ARCHERS_JOBS,
  HUNDREDS_JOBS,
  IDLE_START_JOBS,
  OVERLOAD_JOBS,
  PRIORITIES_JOBS,
  TEAMS_JOBS,
  scaleShape,
  type TrafficShape,
} from './shape.js';
import {
  runJobTrial,
  type LeaderTimes,
  type TrialOptions,
  type TrialResult,
} from './trial.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

type Policies = Pick<
  TrialOptions,
  'order' | 'placement' | 'pools' | 'admission' | 'shareRule' | 'returns'
>;

function createDefaultPolicies(): Policies {
  return {
    order: new DeadlineOrder(),
    placement: new PackPlacement(),
    pools: new ElasticPools(),
    admission: new DeadlineAdmission(),
  };
}

/**
 * The default policies, and variants with one policy replaced by its baseline.
 */
const POLICIES: Readonly<Record<string, () => Policies>> = {
  ours: createDefaultPolicies,
  'by arrival': () => ({...createDefaultPolicies(), order: new ArrivalOrder()}),
  'least slack': () => ({
    ...createDefaultPolicies(),
    order: new LeastSlackOrder(),
  }),
  'first fit': () => ({
    ...createDefaultPolicies(),
    placement: new FirstFitPlacement(),
  }),
  'fixed pools': () => ({...createDefaultPolicies(), pools: new FixedPools()}),
  'admit all': () => ({...createDefaultPolicies(), admission: new AdmitAll()}),
};
/** The policies that weigh costs, one by one, beside the default ones. */
const COST_POLICIES: Readonly<Record<string, () => Policies>> = {
  ours: createDefaultPolicies,
  'order by cost': () => ({
    ...createDefaultPolicies(),
    order: new CostOrder(),
  }),
  'admission by cost': createCostAdmission,
  'both by cost': () => ({...createCostAdmission(), order: new CostOrder()}),
};

function createCostAdmission(): Policies {
  return {
    ...createDefaultPolicies(),
    admission: new CostAdmission(),
    shareRule: new WeightedShares(),
    returns: new FirstArrivalReturns(),
  };
}
/** Duration of a restart of all processes, during the turn of one queue. */
const OUTAGE = {fromMs: 12_000, untilMs: 14_500};
/** A change of leader in the first burst. */
export const TAKEOVER = {fromMs: 2500, untilMs: 3200};
/**
 * A leader with compiled code, by `measure -- leader` and a commit that crosses
 * the network and is written to disk.
 */
const LEADER_TIMES: LeaderTimes = {
  roundMs: 5,
  startMs: 0.35,
  endMs: 0.35,
  commitMs: 30,
  deliveryMs: 10,
  reportMs: 10,
};
/**
 * A leader that is out of processor time: a round waits for a commit that takes
 * several turns of a slow event loop, and so do orders and reports.
 */
export const BUSY_LEADER_TIMES: LeaderTimes = {
  roundMs: 30,
  startMs: 0.5,
  endMs: 0.5,
  commitMs: 130,
  deliveryMs: 200,
  reportMs: 250,
};
/** Multiples of the current fleet: about 35, 250 and 2,200 hosts. */
const FACTORS = [1, 7, 63];

/** Prints one line per row and returns all rows. */
export async function measureJobs(): Promise<object> {
  const rows = Object.keys(POLICIES).flatMap(policy => [
    measureRow(policy, ARCHERS_JOBS, SEEDS),
    measureRow(policy, ARCHERS_JOBS, SEEDS, {outage: OUTAGE}),
    measureRow(policy, HUNDREDS_JOBS, SEEDS.slice(0, 3)),
    measureRow(policy, OVERLOAD_JOBS, SEEDS.slice(0, 3)),
    measureRow(policy, IDLE_START_JOBS, SEEDS.slice(0, 3), {
      outage: TAKEOVER,
      leader: LEADER_TIMES,
    }),
    measureRow(policy, IDLE_START_JOBS, SEEDS.slice(0, 3), {
      outage: TAKEOVER,
      leader: BUSY_LEADER_TIMES,
    }),
  ]);
  const sizes = FACTORS.map(factor =>
    measureRow('ours', scaleShape(ARCHERS_JOBS, factor), SEEDS.slice(0, 1)),
  );
  const costs = measureCosts();
  for (const row of [...rows, ...sizes, ...costs]) {
    console.log(JSON.stringify(row));
  }
  return {measure: 'jobs', seeds: SEEDS, rows, sizes, costs};
}

/** Shapes in which teams, queues or priorities compete for too little room. */
function measureCosts() {
  const shapes = [TEAMS_JOBS, PRIORITIES_JOBS, OVERLOAD_JOBS, HUNDREDS_JOBS];
  return shapes.flatMap(shape =>
    Object.values(COST_POLICIES).map((create, at) => {
      const results = SEEDS.slice(0, 3).map(seed =>
        runJobTrial({...create(), shape, seed}),
      );
      const policy = Object.keys(COST_POLICIES)[at]!;
      const mean = (valueOf: (result: TrialResult) => number) =>
        round(
          results.reduce((sum, each) => sum + valueOf(each), 0) /
            results.length,
        );
      const names = Object.keys(results[0]!.classes);
      return {
        policy,
        shape: shape.name,
        worth: mean(({worthWithTeams}) => worthWithTeams),
        served: mean(({served}) => served),
        worstWindows: mean(({worstWindows}) => worstWindows),
        worstQueue: mean(({worstQueue}) => worstQueue),
        worstTeams: mean(({worstTeams}) => worstTeams),
        worstSize: mean(({worstSize}) => worstSize),
        neverServed: mean(({refused}) => refused),
        jobs: mean(({jobs}) => jobs),
        microsecondsPerStart: mean(r => (r.roundsMs * 1000) / r.starts),
        refusals: results.map(({refusals}) => refusals),
        classes: Object.fromEntries(
          names.map(name => [name, mean(({classes}) => classes[name] ?? 0)]),
        ),
      };
    }),
  );
}

function measureRow(
  policy: string,
  shape: TrafficShape,
  seeds: readonly number[],
  conditions: Pick<TrialOptions, 'outage' | 'leader'> = {},
) {
  const results = seeds.map(seed =>
    runJobTrial({
      ...POLICIES[policy]!(),
      shape,
      seed,
      ...conditions,
    }),
  );
  const mean = (valueOf: (result: TrialResult) => number) =>
    results.reduce((sum, result) => sum + valueOf(result), 0) / results.length;
  return {
    policy,
    shape: shape.name,
    outage: conditions.outage !== undefined,
    commitMs: conditions.leader?.commitMs ?? 0,
    worth: round(mean(({worth}) => worth)),
    served: round(mean(({served}) => served)),
    worstWindows: round(mean(({worstWindows}) => worstWindows)),
    worstQueue: round(mean(({worstQueue}) => worstQueue)),
    hostSeconds: Math.round(mean(({hostSeconds}) => hostSeconds)),
    moves: Math.round(mean(({moves}) => moves)),
    jobs: Math.round(mean(({jobs}) => jobs)),
    late: Math.round(mean(({late}) => late)),
    refused: Math.round(mean(({refused}) => refused)),
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
