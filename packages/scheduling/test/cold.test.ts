import {workerKey} from '@lentildrift/queue';
import {describe, expect, it} from 'vitest';
import {
  createCandidate,
  FirstFitPlacement,
  maxColdRuns,
  measureBacklog,
  measureLoad,
  NO_DURATIONS,
  DeadlineOrder,
  PackPlacement,
  plan,
  SpreadPlacement,
  type Placement,
} from '../src/index.js';
import {stateOf, submit, worker} from './build.js';

describe('the limit of runs on a cold worker', () => {
  it('is never below two, rises as the worker warms up, and ends with that time', () => {
    const limits = [60_000, 8000, 4000, 2000, 1000, 500, 1].map(maxColdRuns);
    expect(limits).toEqual([2, 2, 2, 4, 8, 16, 8000]);
    expect(maxColdRuns(0)).toBe(Infinity);
    expect(maxColdRuns(-5)).toBe(Infinity);
  });
});

/** Plans the tasks of one step on one cold worker and perhaps warm ones. */
function startsOn(placement: Placement, count: number, names: string[]) {
  const state = stateOf(
    names.map(name => worker(name)),
    submit('a', [{count, cpu: 500}]),
  );
  const candidates = state.workers.values().map(row =>
    createCandidate(
      {
        key: workerKey(row),
        worker: row,
        free: row.capacity,
        quarantined: false,
        isDue: false,
        ...(row.id === 'cold' && {coldRunsLeft: 2}),
      },
      () => 0,
    ),
  );
  const {starts, shortPools} = plan({
    state,
    load: measureLoad(state),
    backlog: measureBacklog(state),
    candidatesIn: () => candidates,
    trialSlotsIn: () => 1,
    maxLateStarts: Infinity,
    nowMs: 0,
    durations: NO_DURATIONS,
    advisedWorkers: new Map(),
    order: new DeadlineOrder(),
    placement,
  });
  const workers = starts.map(([, , key]) => key.slice(0, key.indexOf('@')));
  const cold = workers.filter(id => id === 'cold').length;
  return {cold, warm: workers.length - cold, short: shortPools.size > 0};
}

describe.each([
  ['spread', new SpreadPlacement()],
  ['pack', new PackPlacement()],
])('with the placement %s, a round', (_, placement) => {
  it('gives a cold worker nothing while a warm one has room', () => {
    const counts = startsOn(placement, 3, ['cold', 'warm']);
    expect(counts).toEqual({cold: 0, warm: 3, short: false});
  });

  it('gives a cold worker no more than its limit, however much room it has', () => {
    const counts = startsOn(placement, 6, ['cold']);
    expect(counts).toEqual({cold: 2, warm: 0, short: true});
  });
});

it('the first-fit baseline keeps to the limit of a cold worker as well', () => {
  expect(startsOn(new FirstFitPlacement(), 6, ['cold']).cold).toBe(2);
});
