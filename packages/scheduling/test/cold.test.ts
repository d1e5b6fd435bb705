import {workerKey} from '@lentildrift/queue';
import {describe, expect, it} from 'vitest';
import {
  createCandidate,
  FirstFitPlacement,
  maxColdCpuMillis,
  measureBacklog,
  measureLoad,
  NO_DURATIONS,
  DeadlineOrder,
  PackPlacement,
  plan,
  SpreadPlacement,
  type Placement,
} from '../src/index.js';
import {stateOf, submit, worker, type StepInput} from './build.js';

describe('the limit of runs on a cold worker', () => {
  it('is never below a quarter, rises as the worker warms up, and ends before that time', () => {
    const limits = [60_000, 8000, 4000, 2000, 1001, 1000, 1, 0, -5].map(
      leftMs => Math.floor(maxColdCpuMillis(leftMs, 32_000)),
    );
    expect(limits).toEqual([
      8000,
      8000,
      8000,
      16_000,
      31_968,
      ...Array.from({length: 4}, () => Infinity),
    ]);
  });
});

/**
 * Plans the tasks of one step, or of two jobs with one each, on one cold worker
 * of which one core may be in use, and perhaps warm ones.
 */
function startsOn(
  placement: Placement,
  count: number,
  names: string[],
  ...steps: StepInput[]
) {
  if (steps.length === 0) steps = [{}];
  const state = stateOf(
    names.map((name, at) => worker(name, {labels: [`r0-${at}`]})),
    ...steps.map((step, at) =>
      submit(`${at}`, [{count, cpu: 500, ...step}], {atMs: at}),
    ),
  );
  const candidates = state.workers.values().map(row =>
    createCandidate(
      {
        key: workerKey(row),
        worker: row,
        free: row.capacity,
        quarantined: false,
        isDue: false,
        ...(row.id === 'cold' && {coldCpuMillisLeft: 1000}),
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

  // A limit in runs let two large tasks fill a worker that small ones left idle.
  it('counts the size of the runs on a cold worker, and gives it one of any size', () => {
    const large = startsOn(placement, 6, ['cold'], {cpu: 2000});
    expect(large.cold).toBe(1);
    expect(startsOn(placement, 6, ['cold'], {cpu: 250}).cold).toBe(4);
  });

  it.each([{gang: true}, {lasting: true}, {sameRack: true, gang: true}])(
    'does not limit the tasks of a step with %o',
    step => {
      expect(startsOn(placement, 6, ['cold'], step).cold).toBe(6);
    },
  );

  // The tasks that the limit kept waiting counted as proof that no other task of
  // their size fits.
  it('starts a gang after tasks of the same size that the limit holds back', () => {
    const counts = startsOn(placement, 4, ['cold'], {}, {gang: true});
    expect(counts.cold).toBe(6);
  });

  // A task that lasts would read from another rack for its whole life.
  it('prefers the rack to a warm worker for a task that lasts, and only for that', () => {
    const names = ['cold', 'warm'];
    const rack = 'r0-0';
    const lasting = startsOn(placement, 1, names, {rack, lasting: true});
    expect(lasting).toMatchObject({cold: 1, warm: 0});
    const short = startsOn(placement, 1, names, {rack});
    expect(short).toMatchObject({cold: 0, warm: 1});
  });
});

it('the first-fit baseline keeps to the limit of a cold worker as well', () => {
  expect(startsOn(new FirstFitPlacement(), 6, ['cold']).cold).toBe(2);
});
