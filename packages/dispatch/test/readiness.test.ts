import {canStopRun} from '@lentildrift/scheduling';
import {describe, expect, it} from 'vitest';
import {createReadiness} from '../src/readiness.js';
import {job, STEP} from './harness.js';

const RUNS = [
  {number: 1, worker: 'w1@1'},
  {number: 1, worker: 'w2@1'},
];

function live() {
  const spec = job('l', {lasting: true, count: 2, mayMiss: 1});
  const task = {
    done: false,
    failures: 0,
    lastRun: 1,
    checkpoint: '',
    failedOn: [],
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
  };
}

function presence(silent: string[], stopping: string[]) {
  const all = createReadiness({
    isAnswering: worker => !silent.includes(worker),
    isStopping: id => stopping.includes(id),
  });
  for (const [index, {worker}] of RUNS.entries()) {
    all.observe(worker, {
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
    });
  }
  return all;
}

describe('the budget of a lasting step', () => {
  it('allows one to be stopped while all are at work', () => {
    expect(canStopRun(live(), presence([], []).isReady)).toBe(true);
  });

  it('counts a run that any part of the leader is stopping as away', () => {
    expect(canStopRun(live(), presence([], ['l.0.0.1 1']).isReady)).toBe(false);
  });

  it('counts a run on a silent worker as away, whatever was last reported', () => {
    expect(canStopRun(live(), presence(['w2@1'], []).isReady)).toBe(false);
  });
});
