import {apply, queuesOf, type State} from '@lentildrift/queue';
import {describe, expect, it} from 'vitest';
import {
  CostOrder,
  findJobsOnLentRoom,
  FirstArrivalReturns,
  measureBacklog,
  measureTeamUse,
  NO_DURATIONS,
  PacedReturns,
  SHARE_WINDOW_MS,
  UnlimitedShares,
  WeightedShares,
  type TeamUse,
} from '../src/index.js';
import {QUEUE, stateOf, submit, worker} from './build.js';

const NO_CAP = {cpuMillis: 0, memoryMb: 0, gpus: 0};
/** A pool of ten cores. */
const ROOM_MS = 10 * SHARE_WINDOW_MS;

/** Teams by name: weight, part of the room that it uses, and maybe its cap. */
type TeamRow = [weight: number, part: number, capCores?: number];

/** All teams with use have handed in far more jobs than their weight allows. */
function sharesOf(rows: Record<string, TeamRow>, jobs = 100) {
  const entries = Object.entries(rows);
  const teams = entries.map(([name, [weight, , cores = 0]]) => {
    const cap = {...NO_CAP, cpuMillis: cores * 1000};
    return {name, keys: [], weight, cap};
  });
  const use = new Map<string, TeamUse>(
    entries.map(([name, [, part]]) => [name, {jobs, workMs: part * ROOM_MS}]),
  );
  return new WeightedShares().createShares({teams, use, cpuMillis: 10_000});
}

function isBeyond(rows: Record<string, TeamRow>, team: string, jobs = 100) {
  return sharesOf(rows, jobs).standing(team, 1).isBeyondShare;
}

describe('the shares of teams', () => {
  it('divide a full pool by weight', () => {
    const rows: Record<string, TeamRow> = {a: [3, 0.6], b: [1, 0.4]};
    expect(isBeyond(rows, 'a')).toBe(false);
    expect(isBeyond(rows, 'b')).toBe(true);
  });

  it('lend what other teams leave idle', () => {
    const rows: Record<string, TeamRow> = {a: [3, 0.1], b: [1, 0.8]};
    expect(isBeyond(rows, 'b')).toBe(false);
  });

  // One team that sent many times its usual took the room of all others.
  it('never count against a team within its weight', () => {
    const rows: Record<string, TeamRow> = {a: [10, 0.3], b: [1, 5]};
    expect(isBeyond(rows, 'b', 29)).toBe(true);
    expect(isBeyond(rows, 'a', 29)).toBe(false);
  });

  it('hold for twenty teams of uneven size, three of them beyond theirs', () => {
    const rows: Record<string, TeamRow> = {};
    for (let at = 0; at < 20; at++) {
      const weight = 20 / (at + 1);
      rows[`t${at}`] = [weight, (at % 7 === 0 ? 5 : 0.5) * (weight / 72)];
    }
    const beyond = Object.keys(rows).filter(name => isBeyond(rows, name));
    expect(beyond).toEqual(['t0', 't7', 't14']);
  });

  it('give a team with a weight of 0 only what is lent', () => {
    const full: Record<string, TeamRow> = {a: [1, 1], b: [0, 0]};
    expect(isBeyond(full, 'b', 0)).toBe(true);
    expect(isBeyond({b: [0, 0.5]}, 'b')).toBe(true);
    expect(isBeyond(full, 'a')).toBe(true);
    expect(isBeyond({a: [1, 0.9], b: [0, 4]}, 'a')).toBe(false);
  });

  it('count jobs without a team as those of one team of the mean weight', () => {
    const shares = sharesOf({a: [3, 0.6], b: [1, 0.3]});
    expect(shares.standing(undefined, 1).shareMs).toBeCloseTo(ROOM_MS / 3);
  });

  it('do not exist without teams', () => {
    const rule = new WeightedShares();
    const shares = rule.createShares({teams: [], use: new Map(), cpuMillis: 1});
    expect(shares.standing(undefined, 1e9).isBeyondShare).toBe(false);
  });

  // A team at its upper limit cannot use more room, so the rest goes to others.
  it('pass on what a team may not use', () => {
    const rows: Record<string, TeamRow> = {a: [9, 0.5, 1], b: [1, 0.8]};
    expect(isBeyond(rows, 'b')).toBe(false);
    expect(isBeyond(rows, 'a')).toBe(true);
  });

  it('do not judge any team in the baseline', () => {
    const use = new Map([['a', {jobs: 1e6, workMs: 1e12}]]);
    const shares = new UnlimitedShares().createShares({
      teams: [],
      use,
      cpuMillis: 1,
    });
    expect(shares.standing('a', 1).isBeyondShare).toBe(false);
    expect(shares.excessMs('a')).toBe(0);
  });

  it('come from the replicated state, as a new leader reads it', () => {
    const state = stateOf(
      [],
      submit('old', [{}], {atMs: 1000, team: 't'}),
      submit('a', [{count: 2}], {atMs: 4500, team: 't'}),
      submit('b', [{}], {atMs: 4600}),
      submit('c', [{}], {atMs: 4700, team: 't'}),
      {type: 'cancel', job: 'c'},
    );
    const uses = measureTeamUse({
      recentJobs: measureBacklog(state).recentJobs(2000),
      queues: queuesOf(state),
      durations: NO_DURATIONS,
      nowMs: 5000,
    });
    expect(uses.get('p')).toEqual(
      new Map([
        ['t', {jobs: 1, workMs: 2000}],
        ['', {jobs: 1, workMs: 1000}],
      ]),
    );
  });

  it('put the newest jobs of a team on lent room, and no started one', () => {
    const jobs = ['a', 'b', 'c', 'd'].map(id => submit(id, [{}], {team: 't'}));
    let state: State = stateOf([worker('w')], ...jobs);
    state = apply(state, {
      events: [{type: 'start', runs: [['d.0.0.0', 1, 'w@1']]}],
    }).state;
    const shares = sharesOf({t: [1, 0.5], u: [9, 0.9]}, 10);
    const excessMs = shares.excessMs('t');
    expect(excessMs).toBeGreaterThan(0);
    const lent = findJobsOnLentRoom(
      [...state.jobs.values()],
      shares,
      () => excessMs / 2.5,
    );
    expect([...lent].map(({spec}) => spec.id)).toEqual(['c']);
  });
});

describe('the return of refused callers', () => {
  const input = {pool: 'p', nowMs: 0, roomInMs: 600, paceMs: 200};

  // A caller that was refused again went behind all that came after it.
  it('keeps the place of a caller that is refused again', () => {
    const ids = Array.from({length: 10}, (_, at) => `j${at}`);
    const refuseAll = (order: PacedReturns | FirstArrivalReturns) => {
      for (const job of ids) order.reserve({...input, job});
      const againMs = order.reserve({...input, job: 'j0'});
      return [againMs, order.reserve({...input, job: 'new'})] as const;
    };
    const [againMs, newMs] = refuseAll(new FirstArrivalReturns());
    expect(againMs).toBeLessThan(newMs);
    const [pacedMs] = refuseAll(new PacedReturns());
    expect(pacedMs).toBeGreaterThan(againMs);
  });

  it('spreads the first returns over the time that the pool needs', () => {
    const order = new FirstArrivalReturns();
    const times = Array.from({length: 5}, (_, at) =>
      order.reserve({...input, job: `j${at}`}),
    );
    expect(times).toEqual([600, 800, 1000, 1200, 1400]);
  });

  it('forgets callers that were accepted, and the first ones of very many', () => {
    const order = new FirstArrivalReturns();
    order.reserve({...input, job: 'a'});
    expect(order.waitedMs('a', 700)).toBe(700);
    order.settle('a');
    expect(order.waitedMs('a', 700)).toBe(0);
    for (let at = 0; at < 5000; at++) order.reserve({...input, job: `j${at}`});
    expect(order.waitedMs('j0', 700)).toBe(0);
    expect(order.waitedMs('j4999', 700)).toBe(700);
  });
});

describe('the order by cost', () => {
  const order = new CostOrder();
  const rank = (
    id: string,
    steps: Parameters<typeof submit>[1],
    {priority = 0, nowMs = 0, isOverloaded = true, isOnLentRoom = false} = {},
  ) => {
    const job = stateOf([], submit(id, steps)).jobs.get(id)!;
    const queue = {...QUEUE, priority};
    return order.rank(
      {job, queue, occurrence: 0, nowMs, durations: NO_DURATIONS},
      isOverloaded,
      isOnLentRoom,
    );
  };

  it.each([true, false])(
    'puts urgent jobs before others, overloaded: %s',
    isOverloaded => {
      const urgent = rank('a', [{count: 20}], {isOverloaded});
      const later = rank('a', [{count: 20}], {isOverloaded, priority: 2});
      expect(urgent).toBeLessThan(later);
    },
  );

  it('begins the job first that saves most for the room that it needs', () => {
    expect(rank('a', [{count: 2}])).toBeLessThan(rank('b', [{count: 200}]));
  });

  // The slack of large jobs is longer, and bounds the lead of small ones.
  it('does not put every small job before the large ones', () => {
    const large = rank('a', [{count: 4, estimateMs: 4000}]);
    expect(large).toBeLessThan(rank('b', [{cpu: 10}], {nowMs: 900}));
  });

  it('has a job beyond help yield, but not for ever', () => {
    const inTime = rank('a', [{count: 200}]);
    const late = rank('b', [{}], {nowMs: 4000});
    expect(late).toBeGreaterThan(inTime);
    expect(rank('b', [{}], {nowMs: 13_000})).toBeLessThan(inTime);
  });

  it('puts jobs on lent room after those within shares', () => {
    const lent = rank('a', [{}], {isOnLentRoom: true});
    expect(lent).toBeGreaterThan(rank('b', [{count: 200}], {priority: 6}));
    expect(lent).toBeLessThan(rank('c', [{}], {nowMs: 4000}));
  });
});
