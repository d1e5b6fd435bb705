import {apply, workerKey, type State} from '@lentildrift/queue';
import {describe, expect, it} from 'vitest';
import {
  accuse,
  groupByPool,
  measureBacklog,
  measureLoad,
  NO_DURATIONS,
  ArrivalOrder,
  PackPlacement,
  plan,
  type CrashedRun,
} from '../src/index.js';
import {stateOf, submit, worker, type StepInput} from './build.js';

/** Runs of the tasks of one job on one worker. */
function crashedRuns(...facts: Partial<CrashedRun>[]): CrashedRun[] {
  const names = facts.map((_, index) => `j.0.0.${index}`);
  const state = stateOf(
    [worker('w', {capacity: {cpuMillis: 9000, memoryMb: 9000, gpus: 0}})],
    submit('j', [{count: facts.length}]),
    {type: 'start', runs: names.map(name => [name, 1, 'w@1'])},
  );
  return measureLoad(state)
    .runsByWorker.get('w@1')!
    .map((live, index) => ({
      live,
      isInherited: false,
      mayHaveRun: true,
      isConfirmed: true,
      isProven: true,
      ranMs: 60_000,
      ...facts[index],
    }));
}

const STARTED = {isProven: false, ranMs: 10};

describe('the accusation after a crash', () => {
  it('names the task that had just started, not those beside it', () => {
    const runs = crashedRuns({}, STARTED, {ranMs: 3000});
    expect(accuse({runs, isShared: false})).toEqual({
      tasks: ['j.0.0.1'],
      isPrompt: true,
      isAlone: true,
    });
  });

  it('does not single out a task if a rack is lost', () => {
    const runs = crashedRuns({}, STARTED);
    expect(accuse({runs, isShared: true})).toMatchObject({isAlone: false});
  });

  // The next incarnation of the worker carries out such orders.
  it('names no task whose order the worker had not carried out', () => {
    const never = {...STARTED, mayHaveRun: false, isConfirmed: false};
    expect(accuse({runs: crashedRuns(never), isShared: false})).toBe(undefined);
    const runs = crashedRuns(never, STARTED);
    expect(accuse({runs, isShared: false})).toMatchObject({
      tasks: ['j.0.0.1'],
      isAlone: true,
    });
  });

  // The worker may have ended before the order, or crashed before its answer.
  it('does not single out a task whose order has no answer', () => {
    const runs = crashedRuns({...STARTED, isConfirmed: false});
    expect(accuse({runs, isShared: false})).toEqual({
      tasks: ['j.0.0.0'],
      isPrompt: true,
      isAlone: false,
    });
  });

  it('names no task that had run for long', () => {
    expect(accuse({runs: crashedRuns({}, {}), isShared: false})).toBe(
      undefined,
    );
  });

  it('names a task that crashes its worker later, unless a rack is lost', () => {
    const runs = crashedRuns({}, {ranMs: 3000});
    expect(accuse({runs, isShared: false})).toEqual({
      tasks: ['j.0.0.1'],
      isPrompt: false,
      isAlone: true,
    });
    expect(accuse({runs, isShared: true})).toBe(undefined);
  });

  it('does not take the runs of an earlier leader for new ones', () => {
    const runs = crashedRuns(
      {...STARTED, isInherited: true, ranMs: undefined},
      {...STARTED, isInherited: true, ranMs: undefined},
    );
    expect(accuse({runs, isShared: false})).toMatchObject({isPrompt: false});
  });
});

/** A state in which a worker has crashed under the first task of the job. */
function suspectState(step: StepInput, ...workers: string[]): State {
  const state = stateOf(
    [worker('gone'), ...workers.map(id => worker(id))],
    submit('j', [step]),
    submit('k', [{count: 2}]),
  );
  const crash = {
    type: 'crash' as const,
    worker: 'gone@1',
    tasks: ['j.0.0.0'],
    isCertain: true,
    isPrompt: true,
    isAlone: false,
  };
  return apply(state, {
    events: [crash, {type: 'worker-gone', worker: 'gone@1'}],
  }).state;
}

function workersByTask(state: State, trialSlots = 1): Map<string, string> {
  const {starts} = plan({
    state,
    load: measureLoad(state),
    backlog: measureBacklog(state),
    candidatesIn: groupByPool(
      state.workers.values().map(row => ({
        key: workerKey(row),
        worker: row,
        free: row.capacity,
        emptyInMs: 0,
        quarantined: false,
      })),
    ),
    trialSlotsIn: () => trialSlots,
    maxLateStarts: Infinity,
    nowMs: 0,
    durations: NO_DURATIONS,
    advisedWorkers: new Map(),
    order: new ArrivalOrder(),
    placement: new PackPlacement(),
  });
  return new Map(starts.map(([task, , key]) => [task, key]));
}

describe('a suspect', () => {
  it('gets no other run beside it, in the same round either', () => {
    const placed = workersByTask(suspectState({count: 2}, 'a', 'b'));
    const own = placed.get('j.0.0.0');
    const others = [...placed].filter(([task]) => task !== 'j.0.0.0');
    expect(own).toBeDefined();
    expect(others).toHaveLength(3);
    expect(others.map(([, key]) => key)).not.toContain(own);
  });

  it('waits for a trial slot, and the tasks behind it do not', () => {
    const placed = workersByTask(suspectState({count: 2}, 'a'), 0);
    expect([...placed.keys()].sort()).toEqual([
      'j.0.0.1',
      'k.0.0.0',
      'k.0.0.1',
    ]);
  });

  it('does not wait for a trial slot while a worker is idle', () => {
    const placed = workersByTask(suspectState({count: 2}, 'a', 'b'), 0);
    const own = placed.get('j.0.0.0');
    const others = [...placed].filter(([task]) => task !== 'j.0.0.0');
    expect(own).toBeDefined();
    expect(others).toHaveLength(3);
    expect(others.map(([, key]) => key)).not.toContain(own);
  });

  it('does not keep a gang from starting as a whole', () => {
    const placed = workersByTask(suspectState({count: 3, gang: true}, 'a'), 0);
    expect([...placed.keys()].filter(task => task[0] === 'j')).toHaveLength(3);
  });
});
