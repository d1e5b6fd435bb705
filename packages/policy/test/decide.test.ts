import {
  apply,
  EMPTY_STATE,
  failureDomain,
  poolSchema,
  routeSchema,
  teamSchema,
  type ChangeBody,
  type Job,
  type State,
} from '@lentildrift/model';
import {
  toChanges,
  checkProposal,
  createDefaultPolicies,
  EMPTY_SOFT_STATE,
  estimateDemand,
  computeFairShares,
  FirstFitPlacement,
  FixedSpareMoves,
  GreedyWaves,
  LastingShortageMoves,
  propose,
  StaticShares,
  weightsSchema,
  type SoftState,
  type Policies,
} from '@lentildrift/policy';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

const EMPTY_OBSERVATION = {hosts: [], tasks: [], drained: [], rebooted: []};
const BASELINE_POLICIES: Policies = {
  shares: new StaticShares(),
  placement: new FirstFitPlacement(),
  moves: new FixedSpareMoves(),
  waves: new GreedyWaves(),
};

interface Scenario {
  readonly failed: readonly number[];
  readonly jobs: readonly {
    team: number;
    cores: number;
    urgent: boolean;
    place: boolean;
  }[];
  readonly minAvailable: number;
  readonly limit: number;
}

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  failed: fc.uniqueArray(fc.nat(8), {maxLength: 4}),
  jobs: fc.array(
    fc.record({
      team: fc.nat(2),
      cores: fc.integer({min: 1, max: 20}),
      urgent: fc.boolean(),
      place: fc.boolean(),
    }),
    {minLength: 5, maxLength: 60},
  ),
  minAvailable: fc.integer({min: 0, max: 6}),
  limit: fc.integer({min: 0, max: 12}),
});

/**
 * Creates a state with nine hosts in three racks: eight workers and one spare.
 */
function createState({failed, jobs, minAvailable, limit}: Scenario): State {
  let state = EMPTY_STATE;
  const run = (body: ChangeBody) => {
    state = apply(state, {atMs: state.nowMs + 1, body}).state;
  };
  const ids = [...Array(9).keys()].map(i => `host-${i}`);
  const edit = {
    basedOn: 0,
    teams: [1, 2, 4].map((share, t) =>
      teamSchema.parse({name: `team-${t}`, share, limit}),
    ),
    pools: [
      poolSchema.parse({
        name: 'pool',
        kind: 'jobs',
        hosts: ids.slice(0, 8),
        minAvailable,
      }),
      poolSchema.parse({name: 'spare', kind: 'spare', hosts: ids.slice(8)}),
    ],
    routes: [routeSchema.parse({name: 'q', pool: 'pool', service: 's'})],
  };
  run({type: 'command', requestId: 'e', command: {type: 'edit', edit}});
  const facts = {dataCentre: 'd', cores: 16, memoryMiB: 100, accelerators: 0};
  const hosts = ids.map((id, i) => ({id, rack: `r${i % 3}`, ...facts}));
  run({type: 'observe-hosts', hosts: hosts.map(h => ({...h, healthy: true}))});
  jobs.forEach(({team, cores, urgent}, i) =>
    run({
      type: 'submit-jobs',
      team: `team-${team}`,
      jobs: [
        {
          id: `j${i}`,
          queue: 'q',
          declared: {cores, memoryMiB: 1, accelerators: 0},
          runTimeMs: 1,
          urgent,
          command: '',
        },
      ],
    }),
  );
  const placed = jobs.flatMap(({place, cores}, i) =>
    place && cores <= 4 ? [{job: `j${i}`, host: `host-${i % 8}`}] : [],
  );
  run({type: 'place-jobs', placements: placed});
  const lost = failed.map(i => ({...hosts[i]!, healthy: false}));
  run({type: 'observe-hosts', hosts: lost});
  const deadlineMs = 60 * 24 * 3600_000;
  const wave = {type: 'open-wave' as const, wave: 'w', deadlineMs};
  run({type: 'command', requestId: 'w', command: wave});
  return state;
}

function decide(
  policies: Policies,
  state: State,
  softState = EMPTY_SOFT_STATE,
) {
  const weights = weightsSchema.parse({});
  const round = {
    state,
    observation: EMPTY_OBSERVATION,
    softState,
    weights,
    callDemand: {},
  };
  const estimated = estimateDemand({...round, nowMs: state.nowMs + 120_000});
  return propose(policies, estimated);
}

describe('decisions', () => {
  // The check must drop nothing that the default policies propose, and must
  // keep limits and budgets also when policies ignore them, as the baselines
  // do.
  test('the check passes all default proposals and keeps limits and budgets for the baselines', () => {
    let placements = 0;
    let grants = 0;
    fc.assert(
      fc.property(scenarios, plan => {
        const state = createState(plan);
        const ours = decide(createDefaultPolicies(), state);
        const checked = checkProposal(state, ours);
        expect(checked.grants).toEqual(ours.grants);
        expect(checked.placements).toEqual(ours.placements);
        placements += ours.placements.length;
        grants += ours.grants.length;
        for (const proposal of [ours, decide(BASELINE_POLICIES, state)]) {
          let next = state;
          for (const body of toChanges(checkProposal(state, proposal))) {
            const result = apply(next, {atMs: next.nowMs, body});
            expect(result.answer.ok).toBe(true);
            if (body.type === 'grant-permits') {
              const detail = String(body.grants.length);
              expect(result.answer).toMatchObject({detail});
            }
            next = result.state;
          }
          for (const held of Object.values(next.jobs.running)) {
            expect(held).toBeLessThanOrEqual(plan.limit);
          }
          const open = Object.values(next.hosts).filter(
            h =>
              h.pool === 'pool' &&
              h.permit &&
              state.hosts[h.id]!.phase === 'serving',
          );
          expect(new Set(open.map(failureDomain)).size).toBeLessThan(2);
        }
      }),
      {numRuns: 150, seed: 5},
    );
    expect(placements).toBeGreaterThan(500);
    expect(grants).toBeGreaterThan(100);
  });

  test('placements never exceed the cores of a worker by the declared sizes', () => {
    fc.assert(
      fc.property(scenarios, plan => {
        const state = createState(plan);
        const {placements} = decide(createDefaultPolicies(), state);
        const used = new Map<string, number>();
        const jobs = Object.values(state.jobs.buckets).flatMap(bucket =>
          Object.values(bucket),
        );
        const byId = new Map(jobs.map(job => [job.id, job]));
        const start = (host: string, job: Job) =>
          used.set(host, (used.get(host) ?? 0) + job.declared.cores);
        for (const job of jobs) if (job.token) start(job.host!, job);
        for (const {job, host} of placements) {
          start(host, byId.get(job)!);
          expect(used.get(host)).toBeLessThanOrEqual(16);
        }
      }),
      {numRuns: 100, seed: 6},
    );
  });

  test('fair shares are max-min fair and use the pool as far as there is demand', () => {
    const team = fc.record({
      team: fc.uuid(),
      weight: fc.double({min: 0.1, max: 10, noNaN: true}),
      wanted: fc.double({min: 0, max: 2, noNaN: true}),
    });
    fc.assert(
      fc.property(fc.array(team, {minLength: 1, maxLength: 12}), teams => {
        const fair = computeFairShares(teams);
        const given = [...fair.values()].reduce((a, b) => a + b, 0);
        const wanted = teams.reduce((sum, t) => sum + t.wanted, 0);
        expect(given).toBeCloseTo(Math.min(1, wanted), 6);
        const unmet = teams.filter(t => fair.get(t.team)! < t.wanted - 1e-9);
        for (const {team: name, weight, wanted: most} of teams) {
          expect(fair.get(name)!).toBeLessThanOrEqual(most + 1e-9);
          for (const poor of unmet) {
            const mine = fair.get(name)! / weight;
            expect(mine).toBeLessThanOrEqual(
              fair.get(poor.team)! / poor.weight + 1e-9,
            );
          }
        }
      }),
      {numRuns: 200, seed: 8},
    );
  });

  // A move costs work, so a short burst must not cause one.
  test('a host is moved only after a shortage has lasted ten minutes', () => {
    const jobs = [...Array(60).keys()].map(i => ({
      team: i % 3,
      cores: 10,
      urgent: false,
      place: false,
    }));
    const state = createState({failed: [], jobs, minAvailable: 0, limit: 12});
    const weights = weightsSchema.parse({});
    const moves = new LastingShortageMoves();
    let softState: SoftState = EMPTY_SOFT_STATE;
    const choose = (nowMs: number) => {
      const base = {
        state,
        observation: EMPTY_OBSERVATION,
        weights,
        callDemand: {},
        nowMs,
      };
      const {loads, ...rest} = estimateDemand({...base, softState});
      ({softState} = rest);
      return moves.choose({...softState, state, pools: loads, nowMs, weights});
    };
    expect(choose(0)).toEqual([]);
    expect(choose(9.9 * 60_000)).toEqual([]);
    expect(choose(10 * 60_000)).toEqual([{host: 'host-8', targetPool: 'pool'}]);
  });
});
