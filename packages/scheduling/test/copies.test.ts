import {apply, workerKey, type Event, type State} from '@lentildrift/queue';
import {describe, expect, it} from 'vitest';
import {
  createPriorRatios,
  estimateSlowness,
  expectedRatio,
  LateCopies,
  measureLoad,
  PackPlacement,
  recordRatio,
  recordSpeedEvidence,
  type Candidate,
  type CopyInput,
  type LiveRun,
} from '../src/index.js';
import {stateOf, submit, worker, type StepInput} from './build.js';

const LARGE = {cpuMillis: 20_000, memoryMb: 20_000, gpus: 0};
const RACKS = {w0: 'r1-0', w1: 'r1-0', w2: 'r1-1', w3: 'r1-2'};
const WORKERS = Object.entries(RACKS).map(([id, rack]) =>
  worker(id, {labels: [rack], capacity: LARGE}),
);

/** One task in twenty lasts eight times as long as the others. */
const LONG_TAIL = Array.from({length: 500}, (_, nth) => (nth % 20 ? 1 : 8));
const RATIOS = LONG_TAIL.reduce(recordRatio, createPriorRatios(0.3));
const USUAL = estimateSlowness(undefined, [], 0);

/** A job whose task `a.0.0.0` runs on w0, beside enough work for a budget. */
function stateWith(step: StepInput = {}, ...events: Event[]): State {
  return stateOf(
    WORKERS,
    submit('a', [{speculative: true, ...step}], {team: 't'}),
    submit('other', [{cpu: 10_000, count: 2}]),
    {
      type: 'start',
      runs: [
        ['a.0.0.0', 1, 'w0@1'],
        ['other.0.0.0', 1, 'w0@1'],
        ['other.0.0.1', 1, 'w1@1'],
      ],
    },
    ...events,
  );
}

function choose(state: State, overrides: Partial<CopyInput> = {}) {
  const free = LARGE;
  const candidates = state.workers.values().map((row): Candidate => ({
    key: workerKey(row),
    worker: row,
    free,
    emptyInMs: 0,
    quarantined: false,
  }));
  return new LateCopies().choose({
    state,
    load: measureLoad(state),
    plan: {
      candidatesLeft: () => candidates,
      usedByTeam: () => ({cpuMillis: 1000, memoryMb: 0, gpus: 0}),
      shortPools: new Set(),
      stepsAwaitingAdvice: [],
    },
    advisedWorkers: new Map(),
    placement: new PackPlacement(),
    assess: () => ({
      elapsedMs: 3000,
      expectedMs: 1000,
      ratios: RATIOS,
      slowness: USUAL,
    }),
    wasCopied: () => false,
    isStopping: () => false,
    independence: () => 0.9,
    ...overrides,
  });
}

const rowsOf = (...args: Parameters<typeof choose>) =>
  choose(...args).map(({row}) => row);
const planOf = (overrides: Partial<CopyInput['plan']>) => ({
  plan: {
    candidatesLeft: () => [
      {
        key: 'w2@1',
        worker: WORKERS[2]!,
        free: LARGE,
        emptyInMs: 0,
        quarantined: false,
        ...('candidate' in overrides ? (overrides.candidate as object) : {}),
      },
    ],
    usedByTeam: () => ({cpuMillis: 1000, memoryMb: 0, gpus: 0}),
    shortPools: new Set<string>(),
    stepsAwaitingAdvice: [],
    ...overrides,
  },
});

describe('a copy of a run that lasts long', () => {
  it('starts on another host and rack', () => {
    expect(rowsOf(stateWith())).toEqual([['a.0.0.0', 2, 'w2@1']]);
  });

  it('may stay in the rack of the data, outside which tasks are slower', () => {
    const rows = rowsOf(stateWith({rack: 'r1-0'}));
    expect(rows).toEqual([['a.0.0.0', 2, 'w1@1']]);
  });

  // Work that a copy cannot help, or that two runs at once would harm.
  it.each<StepInput>([
    {speculative: false},
    {gang: true},
    {lasting: true},
    {filler: true},
  ])('is not started for a step with %o', step => {
    expect(rowsOf(stateWith(step))).toEqual([]);
  });

  it('is not started where a second run has lasted as long as the first', () => {
    expect(rowsOf(stateWith(), {independence: () => 0.1})).toEqual([]);
  });

  it('is not started for a run that nothing shows to be running', () => {
    expect(rowsOf(stateWith(), {assess: () => undefined})).toEqual([]);
  });

  it('is not started for a task that has a second run', () => {
    const runs: [string, number, string][] = [['a.0.0.0', 2, 'w2@1']];
    expect(rowsOf(stateWith({}, {type: 'start', runs}))).toEqual([]);
  });

  it('is not started once more, or for a run that is being stopped', () => {
    expect(rowsOf(stateWith(), {wasCopied: () => true})).toEqual([]);
    expect(rowsOf(stateWith(), {isStopping: () => true})).toEqual([]);
  });

  // Both runs may fail, and the queue allows two attempts.
  it('is not started if a task could fail more often than its queue allows', () => {
    const failed: Event = {
      type: 'ends',
      worker: 'w0@1',
      after: 0,
      upTo: 1,
      ends: [['a.0.0.0', 1, 'failed', '']],
    };
    const restart: Event = {type: 'start', runs: [['a.0.0.0', 2, 'w0@1']]};
    expect(rowsOf(stateWith({}, failed, restart))).toEqual([]);
  });

  it('is not started for a task that may crash its workers', () => {
    const crash: Event = {
      type: 'crash',
      worker: 'w0@1',
      isCertain: false,
      isPrompt: true,
      isAlone: false,
      tasks: ['a.0.0.0'],
    };
    expect(rowsOf(stateWith({}, crash))).toEqual([]);
  });

  it('gets no room of a pool in which other tasks wait', () => {
    const shortPools = new Set(['p']);
    const stepsAwaitingAdvice = [{step: 'x.0.0', pool: 'p'}];
    expect(rowsOf(stateWith(), planOf({}))).toHaveLength(1);
    expect(rowsOf(stateWith(), planOf({shortPools}))).toEqual([]);
    expect(rowsOf(stateWith(), planOf({stepsAwaitingAdvice}))).toEqual([]);
  });

  it.each([{quarantined: true}, {isDue: true}, {isSlow: true}])(
    'is not started on a worker with %o',
    candidate => {
      const plan = planOf({candidate} as Partial<CopyInput['plan']>);
      expect(rowsOf(stateWith(), plan)).toEqual([]);
    },
  );

  // The team may use 2.5 cores.
  it('keeps to the upper limit of its team', () => {
    const usedByTeam = () => ({cpuMillis: 1600, memoryMb: 0, gpus: 0});
    expect(rowsOf(stateWith(), planOf({usedByTeam}))).toEqual([]);
  });

  it('keeps to the limit of its step for each worker', () => {
    const steps = {count: 2, maxPerWorker: 1};
    const second: Event = {type: 'start', runs: [['a.0.0.1', 1, 'w2@1']]};
    const plan = planOf({});
    expect(rowsOf(stateWith(steps), plan)).toHaveLength(1);
    expect(rowsOf(stateWith(steps, second), plan)).toEqual([]);
  });

  // A tenth of the 21 cores in use, and of 25.
  it('keeps to the budget of its pool', () => {
    const runs = [1, 2, 3].map((nth): [string, number, string] => [
      `a.0.0.${nth}`,
      1,
      'w0@1',
    ]);
    const state = stateWith({count: 4}, {type: 'start', runs});
    expect(rowsOf(state)).toHaveLength(1);
    const copied = apply(state, {
      events: [{type: 'start', runs: [['a.0.0.0', 2, 'w2@1']]}],
    }).state;
    const usedByTeam = () => ({cpuMillis: 0, memoryMb: 0, gpus: 0});
    expect(rowsOf(copied, planOf({usedByTeam}))).toHaveLength(1);
    const large = stateWith({cpu: 2300});
    expect(rowsOf(large, planOf({usedByTeam}))).toEqual([]);
  });
});

describe('the speed of a worker', () => {
  const slow = [4, 4.2, 3.9].reduce(
    (speed: ReturnType<typeof recordSpeedEvidence> | undefined, ratio) =>
      recordSpeedEvidence(speed, {ratio, hasEnded: true, ratios: RATIOS}, 0),
    undefined,
  );

  it('follows from ends that are late on this worker only, and fades', () => {
    expect(estimateSlowness(slow, [], 0)[0]).toBeLessThan(0.1);
    expect(estimateSlowness(slow, [], 60_000)[0]).toBeGreaterThan(0.9);
  });

  // One long task would condemn its worker.
  it('does not follow from one long task of a queue with such tasks', () => {
    const run = {ratio: 3, hasEnded: false, ratios: RATIOS};
    expect(estimateSlowness(undefined, [run], 0)[0]).toBeGreaterThan(0.5);
    expect(estimateSlowness(undefined, [run, run], 0)[0]).toBeLessThan(0.2);
  });
});

it('expects a run to go on for longer the longer it has lasted', () => {
  expect(expectedRatio(RATIOS, 0)).toBeLessThan(1.5);
  expect(expectedRatio(RATIOS, 3)).toBeGreaterThan(6);
  expect(expectedRatio(RATIOS, 100)).toBeGreaterThan(100);
});

// The order in which runs are listed must not decide which one gets the budget.
it('copies the run that a copy saves most time of first', () => {
  const state = stateWith(
    {count: 4},
    {
      type: 'start',
      runs: [
        ['a.0.0.1', 1, 'w0@1'],
        ['a.0.0.2', 1, 'w0@1'],
      ],
    },
  );
  const assess = ({key}: LiveRun) => ({
    elapsedMs: key === '0.0.1' ? 4000 : 2500,
    expectedMs: key === '0.0.1' ? 1500 : 1000,
    ratios: RATIOS,
    slowness: USUAL,
  });
  expect(rowsOf(state, {assess}).map(([task]) => task)).toEqual(['a.0.0.1']);
});
