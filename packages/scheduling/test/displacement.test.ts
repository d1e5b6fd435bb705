import {
  apply,
  EMPTY_STATE,
  EMPTY_TABLES,
  JobSpec,
  subtract,
  workerKey,
  ZERO_SIZE,
  type Event,
  type StartRow,
  type State,
} from '@lentildrift/queue';
import {describe, expect, it} from 'vitest';
import {
  CostDisplacement,
  measureBacklog,
  measureLoad,
  NoDisplacement,
  NO_DURATIONS,
  ObjectiveCost,
  type DisplacementInput,
  type LiveRun,
  type RunProgress,
} from '../src/index.js';
import {QUEUE, worker, type StepInput} from './build.js';

const NAMES = ['w0', 'w1', 'w2', 'w3'];

/** Submits to the queue `urgent` or `batch`. */
function submit(
  id: string,
  queue: string,
  step: StepInput,
  team?: string,
): Event {
  const {cpu = 4000, ...rest} = step;
  return {
    type: 'submit',
    atMs: 0,
    job: JobSpec.parse({
      id,
      queue,
      payload: '',
      ...(team && {team}),
      steps: [
        {
          count: 1,
          estimateMs: 1000,
          ...rest,
          size: {cpuMillis: cpu, memoryMb: 100, gpus: 0},
        },
      ],
    }),
  };
}

/** One batch task of 4 cores runs on each of the workers, which it fills. */
function stateWith(
  step: StepInput & {checkpoints?: boolean} = {},
  priorities: {urgent?: number; batch?: number} = {},
  ...events: Event[]
): State {
  const {urgent = 0, batch = 1} = priorities;
  const tables = {
    ...EMPTY_TABLES,
    version: 1,
    queues: [
      {
        ...QUEUE,
        name: 'urgent',
        prefix: '/u/',
        targetMs: 1500,
        priority: urgent,
      },
      {...QUEUE, name: 'batch', prefix: '/b/', priority: batch},
    ],
    pools: [{name: 'p', guardsCapacity: false, standby: false}],
    teams: [
      {
        name: 't',
        keys: ['k'],
        weight: 1,
        cap: {cpuMillis: 2500, memoryMb: 0, gpus: 0},
      },
    ],
  };
  const runs = NAMES.map((name, at): StartRow => [
    `b.0.0.${at}`,
    1,
    `${name}@1`,
  ]);
  return apply(EMPTY_STATE, {
    events: [
      {type: 'tables', tables},
      ...NAMES.map(name => ({type: 'worker', worker: worker(name)}) as const),
      submit('b', 'batch', {count: 4, estimateMs: 20_000, ...step}),
      {type: 'start', runs},
      ...events,
    ],
  }).state;
}

const URGENT = submit('u', 'urgent', {});
/** Runs of the batch have progressed by the index of their task. */
const progressOf = ({key}: LiveRun): RunProgress => ({
  elapsedMs: 1000 * (1 + Number(key.at(-1))),
  sinceCheckpointMs: undefined,
});

function choose(state: State, overrides: Partial<DisplacementInput> = {}) {
  const load = measureLoad(state);
  return new CostDisplacement(new ObjectiveCost()).choose({
    state,
    load,
    backlog: measureBacklog(state),
    plan: {
      starts: [],
      shortPools: new Set(['p']),
      usedByTeam: () => ({cpuMillis: 0, memoryMb: 0, gpus: 0}),
      candidatesLeft: () =>
        state.workers.values().map(row => ({
          key: workerKey(row),
          worker: row,
          free: subtract(
            row.capacity,
            load.byWorker.get(workerKey(row)) ?? ZERO_SIZE,
          ),
          emptyInMs: 0,
          quarantined: false,
        })),
    },
    nowMs: 0,
    durations: NO_DURATIONS,
    advisedWorkers: new Map(),
    progressOf,
    isStopping: () => false,
    ...overrides,
  });
}

const displacedBy = (...args: Parameters<typeof choose>) =>
  choose(...args).flatMap(({runs}) => runs.map(({key}) => key));

describe('an urgent job without room', () => {
  it('displaces the run that loses least', () => {
    const state = stateWith({}, {}, URGENT);
    const [choice, ...others] = choose(state);
    expect(others).toEqual([]);
    expect(choice!.runs.map(({key}) => key)).toEqual(['0.0.0']);
    expect(choice!.gainMs).toBeGreaterThan(choice!.lossMs);
  });

  it('displaces nothing under the baseline', () => {
    expect(new NoDisplacement().choose()).toEqual([]);
  });

  // Its work is kept, however long it has run.
  it('displaces a run with a recent checkpoint first', () => {
    const state = stateWith({checkpoints: true}, {}, URGENT);
    const keys = displacedBy(state, {
      progressOf: live => ({
        elapsedMs: 10_000,
        sinceCheckpointMs: live.key === '0.0.3' ? 100 : undefined,
      }),
    });
    expect(keys).toEqual(['0.0.3']);
  });

  // 40 s of work on 4 cores are more than the urgent job is worth.
  it('displaces nothing if more is lost than gained', () => {
    const state = stateWith({}, {}, URGENT);
    const elapsed = {elapsedMs: 40_000, sinceCheckpointMs: undefined};
    expect(displacedBy(state, {progressOf: () => elapsed})).toEqual([]);
  });

  it('displaces nothing if room comes in time by itself', () => {
    const state = stateWith({estimateMs: 200}, {}, URGENT);
    expect(displacedBy(state)).toEqual([]);
  });

  it('displaces nothing if it would be late all the same', () => {
    const state = stateWith({}, {}, URGENT);
    expect(displacedBy(state, {nowMs: 3000})).toEqual([]);
  });

  it.each<StepInput>([{lasting: true}, {gang: true}, {filler: true}])(
    'does not displace tasks with %o',
    step => {
      expect(displacedBy(stateWith(step, {}, URGENT))).toEqual([]);
    },
  );

  it('does not displace runs that nothing shows to be in progress', () => {
    const state = stateWith({}, {}, URGENT);
    expect(displacedBy(state, {progressOf: () => undefined})).toEqual([]);
  });

  // Each displacement throws its work away, and it would never end.
  it('does not displace a task again before it has a new checkpoint', () => {
    const rows = NAMES.map((name, at): StartRow => [
      `b.0.0.${at}`,
      1,
      `${name}@1`,
    ]);
    const stopped = NAMES.map((name, at): Event => ({
      type: 'ends',
      worker: `${name}@1`,
      after: 0,
      upTo: 1,
      ends: [[`b.0.0.${at}`, 1, 'stopped', 'c']],
    }));
    const again = rows.map(([task, , at]): StartRow => [task, 2, at]);
    const state = stateWith(
      {checkpoints: true},
      {},
      {type: 'displace', runs: rows},
      ...stopped,
      {type: 'start', runs: again},
      URGENT,
    );
    const since = (sinceCheckpointMs?: number) => () => ({
      elapsedMs: 1000,
      sinceCheckpointMs,
    });
    expect(displacedBy(state, {progressOf: since()})).toEqual([]);
    expect(displacedBy(state, {progressOf: since(50)})).toHaveLength(1);
  });

  it('waits for the room of runs that are being stopped', () => {
    const state = stateWith(
      {},
      {},
      {type: 'displace', runs: [['b.0.0.2', 1, 'w2@1']]},
      URGENT,
    );
    expect(displacedBy(state)).toEqual([]);
  });

  // A quarter of 16 cores.
  it('leaves three quarters of a pool at once as they are', () => {
    const two = submit('v', 'urgent', {});
    expect(displacedBy(stateWith({}, {}, URGENT, two))).toHaveLength(1);
  });

  it('keeps to the upper limit of its team', () => {
    const capped = submit('u', 'urgent', {cpu: 3000}, 't');
    expect(displacedBy(stateWith({}, {}, capped))).toEqual([]);
    const small = submit('u', 'urgent', {cpu: 2500}, 't');
    expect(displacedBy(stateWith({}, {}, small))).toHaveLength(1);
  });

  // All tasks of a step are needed for its end.
  it('displaces nothing for a part of its tasks', () => {
    const wide = submit('u', 'urgent', {count: 2});
    expect(displacedBy(stateWith({}, {}, wide))).toEqual([]);
  });
});

// Priorities come from an operator's tables, which may hold any number.
it.each([
  [0, 1, 1],
  [-3, 1, 1],
  [0, 0.5, 1],
  [0, 1e9, 1],
  [0, 0, 0],
  [-5, -1, 0],
  [-5, 0, 0],
  [0.5, 1, 0],
  [1, 2, 0],
])('priority %d displaces priority %d in %d runs', (urgent, batch, count) => {
  const state = stateWith({}, {urgent, batch}, URGENT);
  expect(displacedBy(state)).toHaveLength(count);
});
