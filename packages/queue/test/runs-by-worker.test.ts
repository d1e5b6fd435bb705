/** Tests the index of recorded runs by worker. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  apply,
  EMPTY_STATE,
  fromStored,
  Step,
  toStored,
  workerKey,
  type Event,
  type EventOf,
  type State,
  type Worker,
} from '../src/index.js';

const TASKS = 2;

function worker(id: string, bornMs: number): Worker {
  return {
    id,
    bornMs,
    host: '',
    pool: 'p',
    address: '10.0.0.1:1',
    dataCentre: 'a',
    capacity: {cpuMillis: 1, memoryMb: 1, gpus: 0},
    labels: [],
    phase: 'ready',
    sequence: 1,
    cursor: 0,
  };
}

function submit(id: string): Event {
  const size = {cpuMillis: 1, memoryMb: 1, gpus: 0};
  const steps = [Step.parse({count: TASKS, size, speculative: true})];
  const job = {id, queue: 'q', payload: '', steps};
  return {type: 'submit', atMs: 0, job};
}

const key = fc
  .tuple(fc.constantFrom('v', 'w'), fc.integer({min: 1, max: 2}))
  .map(([id, bornMs]) => workerKey({id, bornMs}));
const jobId = fc.constantFrom('a', 'b');
const task = fc
  .tuple(jobId, fc.nat({max: TASKS - 1}))
  .map(([id, index]) => `${id}.0.0.${index}`);
const row = fc.tuple(task, fc.integer({min: 1, max: 4}), key);
const event: fc.Arbitrary<Event> = fc.oneof(
  jobId.map(submit),
  row.map((run): Event => ({type: 'start', runs: [run]})),
  row.map((run): Event => ({type: 'start', runs: [run]})),
  row.map((run): Event => ({type: 'lost', runs: [run]})),
  fc
    .tuple(row, fc.constantFrom('done', 'failed'), fc.nat({max: 9}))
    .map(([[name, number, on], how, upTo]): EventOf<'ends'> => ({
      type: 'ends',
      worker: on,
      upTo,
      ends: [[name, number, how as 'done' | 'failed', '']],
    })),
  fc
    .tuple(fc.constantFrom('v', 'w'), fc.integer({min: 1, max: 2}))
    .map(([id, bornMs]): Event => ({
      type: 'worker',
      worker: worker(id, bornMs),
    })),
  key.map((on): Event => ({type: 'worker-gone', worker: on})),
  jobId.map((id): Event => ({type: 'cancel', job: id})),
  jobId.map((id): Event => ({type: 'forget', jobs: [id]})),
);

function entriesOf({runsByWorker}: State): [string, string[]][] {
  return [...runsByWorker]
    .map(([on, ids]): [string, string[]] => [on, [...ids].sort()])
    .sort();
}

describe('the runs by worker', () => {
  it('miss no run after any changes, so that no run outlives its worker', () => {
    const initial = apply(EMPTY_STATE, {
      events: [
        submit('a'),
        submit('b'),
        {type: 'worker', worker: worker('v', 1)},
        {type: 'worker', worker: worker('w', 1)},
      ],
    }).state;
    fc.assert(
      fc.property(fc.array(event, {maxLength: 40}), events => {
        let state = initial;
        for (const each of events) {
          state = apply(state, {events: [each]}).state;
          const recounted = fromStored(toStored(state));
          expect(entriesOf(state)).toEqual(entriesOf(recounted));
        }
      }),
      {numRuns: 300},
    );
  });

  it('spare the end of a worker from reading all jobs, which delayed a restart', () => {
    const {state} = apply(EMPTY_STATE, {
      events: [
        submit('a'),
        submit('b'),
        {type: 'worker', worker: worker('v', 1)},
        {type: 'worker', worker: worker('w', 1)},
        {type: 'start', runs: [['a.0.0.0', 1, 'v@1']]},
        {type: 'start', runs: [['b.0.0.0', 1, 'w@1']]},
      ],
    });
    const other = state.jobs.get('b')!;
    const jobs = state.jobs.edit();
    jobs.set('b', {
      ...other,
      get tasks(): never {
        throw new Error('the job without runs on the worker was read');
      },
    });
    const gone: Event = {type: 'worker-gone', worker: 'v@1'};
    const next = apply({...state, jobs: jobs.finish()}, {events: [gone]}).state;
    expect(next.jobs.get('a')!.tasks['0.0.0']!.runs).toEqual([]);
  });
});
