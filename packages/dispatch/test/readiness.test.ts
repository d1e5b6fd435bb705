import {canStopRun} from '@lentildrift/scheduling';
import {describe, expect, it} from 'vitest';
import {createReadiness} from '../src/readiness.js';
import {job, STEP} from './harness.js';

const RUNS = [
  {number: 1, worker: 'w1@1'},
  {number: 1, worker: 'w2@1'},
];

function createLiveRun() {
  const spec = job('l', {lasting: true, count: 2, mayMiss: 1});
  const task = {
    done: false,
    failures: 0,
    lastRun: 1,
    checkpoint: '',
    failedOn: [],
    crashes: [],
  };
  const tasks = {
    '0.0.0': {...task, runs: [RUNS[0]!]},
    '0.0.1': {...task, runs: [RUNS[1]!]},
  };
  return {
    job: {
      spec,
      acceptedAtMs: 0,
      phase: 'active' as const,
      started: true,
      tasks,
      done: {},
    },
    key: '0.0.0',
    step: {...STEP, lasting: true, count: 2, mayMiss: 1},
    task: tasks['0.0.0'],
    run: RUNS[0]!,
    id: 'l.0.0.0 1',
  };
}

function createFilledReadiness(unreachable: string[], stopping: string[]) {
  const readiness = createReadiness({
    isAnswering: worker => !unreachable.includes(worker),
    isStopping: id => stopping.includes(id),
  });
  for (const [index, {worker}] of RUNS.entries()) {
    readiness.observe(worker, {
      bornMs: 1,
      clockMs: 0,
      running: [
        {
          task: `l.0.0.${index}`,
          run: 1,
          checkpoint: '',
          percent: 100,
          measure: 0,
        },
      ],
      ended: [],
      isComplete: true,
    });
  }
  return readiness;
}

describe('the availability budget of a long-running step', () => {
  it('allows one run to be stopped while all are ready', () => {
    expect(
      canStopRun(createLiveRun(), createFilledReadiness([], []).isReady),
    ).toBe(true);
  });

  it('counts a run that any part of the leader is stopping as not ready', () => {
    expect(
      canStopRun(
        createLiveRun(),
        createFilledReadiness([], ['l.0.0.1 1']).isReady,
      ),
    ).toBe(false);
  });

  it('counts a run on an unreachable worker as not ready, whatever was last reported', () => {
    expect(
      canStopRun(createLiveRun(), createFilledReadiness(['w2@1'], []).isReady),
    ).toBe(false);
  });
});
