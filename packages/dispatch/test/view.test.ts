/** Tests of the answers to reads. */
import {
  EMPTY_STATE,
  PersistentMap,
  type Job,
  type State,
} from '@lentildrift/queue';
import {expect, it} from 'vitest';
import {answerRead} from '../src/view.js';
import {job, TABLES} from './harness.js';

/** Number of jobs of which a read has looked at the phase. */
let visitedCount = 0;

function waitingJob(id: string, queue = 'q'): Job {
  const rest = {acceptedAtMs: 0, started: false, tasks: {}, done: {}};
  return {
    ...rest,
    spec: {...job(id), queue},
    get phase() {
      visitedCount++;
      return 'active' as const;
    },
  };
}

function stateOf(jobs: PersistentMap<Job>): State {
  return {...EMPTY_STATE, tables: TABLES, jobs};
}

function edit(
  jobs: PersistentMap<Job>,
  ...changes: (Job | string)[]
): PersistentMap<Job> {
  const editor = jobs.edit();
  for (const change of changes) {
    if (typeof change === 'string') editor.delete(change);
    else editor.set(change.spec.id, change);
  }
  return editor.finish();
}

function countWaiting(jobs: PersistentMap<Job>, path = '/q/') {
  return answerRead(stateOf(jobs), {type: 'inspect', host: 'h', path});
}

// Callers ask for this number again and again, for each queue.
it('counts the waiting jobs of a queue without a look at the jobs that have not changed', () => {
  const count = 1000;
  const ids = Array.from({length: count}, (_, index) => `a${index}`);
  const jobs = edit(
    PersistentMap.empty<Job>(),
    ...ids.map(id => waitingJob(id)),
  );
  expect(countWaiting(jobs)).toEqual({type: 'waiting', count});
  visitedCount = 0;
  expect(countWaiting(jobs)).toEqual({type: 'waiting', count});
  expect(countWaiting(jobs, '/r/')).toEqual({type: 'waiting', count: 0});
  const next = edit(jobs, 'a0', 'a1', waitingJob('b', 'r'), {
    ...waitingJob('a2'),
    started: true,
  });
  expect(countWaiting(next)).toEqual({type: 'waiting', count: count - 3});
  expect(countWaiting(next, '/r/')).toEqual({type: 'waiting', count: 1});
  // Four jobs before and after the change, and one look by the copy above.
  expect(visitedCount).toBeLessThanOrEqual(2 * 4 + 1);
  // An older state, as after an answer that was delayed.
  expect(countWaiting(jobs)).toEqual({type: 'waiting', count});
});
