import {apply, EMPTY_STATE, type Event, type State} from '@lentildrift/queue';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {createRetention} from '../src/retention.js';
import {JOB_RETENTION_MS, TICK_INTERVAL_MS} from '../src/timing.js';
import {job} from './harness.js';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function stateAfter(state: State, ...events: Event[]): State {
  return apply(state, {events}).state;
}

function submit(id: string): Event {
  return {type: 'submit', atMs: 0, job: job(id)};
}

it('keeps an ended job for its retention, then lists it once', () => {
  const retention = createRetention();
  let state = stateAfter(EMPTY_STATE, submit('a'), submit('b'));
  expect(retention.listExpired(state)).toEqual([]);
  state = stateAfter(state, {type: 'cancel', job: 'a'});
  expect(retention.listExpired(state)).toEqual([]);
  vi.advanceTimersByTime(JOB_RETENTION_MS);
  expect(retention.listExpired(state)).toEqual([]);
  vi.advanceTimersByTime(1);
  expect(retention.listExpired(state)).toEqual(['a']);
  expect(retention.listExpired(state)).toEqual([]);
});

// All jobs that ended before a change of leader expire at the same time. One
// event removed thousands of them, which held up the leader's other work.
it('lists few of many jobs that expire together, and the others after them', () => {
  const retention = createRetention();
  const ids = Array.from({length: 3000}, (_, at) => `a${at}`);
  const state = stateAfter(
    EMPTY_STATE,
    ...ids.map(submit),
    ...ids.map((id): Event => ({type: 'cancel', job: id})),
  );
  expect(retention.listExpired(state)).toEqual([]);
  vi.advanceTimersByTime(JOB_RETENTION_MS + 1);
  const listed: string[] = [];
  // 2,000 jobs a second.
  for (let tick = 0; tick < 15; tick++) {
    const expired = retention.listExpired(state);
    expect(expired.length).toBeLessThanOrEqual(200);
    listed.push(...expired);
    vi.advanceTimersByTime(TICK_INTERVAL_MS);
  }
  expect(listed.sort()).toEqual([...ids].sort());
  expect(retention.listExpired(state)).toEqual([]);
});

it('lists a job again whose removal was not recorded', () => {
  const retention = createRetention();
  const state = stateAfter(EMPTY_STATE, submit('a'), {
    type: 'cancel',
    job: 'a',
  });
  retention.listExpired(state);
  for (let attempt = 0; attempt < 2; attempt++) {
    vi.advanceTimersByTime(JOB_RETENTION_MS + 1);
    expect(retention.listExpired(state)).toEqual(['a']);
  }
});

it('starts anew with a job that was removed and submitted again', () => {
  const retention = createRetention();
  let state = stateAfter(EMPTY_STATE, submit('a'), {type: 'cancel', job: 'a'});
  retention.listExpired(state);
  vi.advanceTimersByTime(JOB_RETENTION_MS);
  state = stateAfter(state, {type: 'forget', jobs: ['a']});
  retention.listExpired(state);
  state = stateAfter(state, submit('a'), {type: 'cancel', job: 'a'});
  retention.listExpired(state);
  vi.advanceTimersByTime(1);
  expect(retention.listExpired(state)).toEqual([]);
});

it('keeps a job that has ended while one of its runs may be running', () => {
  const retention = createRetention();
  const worker = {
    id: 'w',
    bornMs: 1,
    host: 'm',
    pool: 'p',
    address: 'w:1',
    dataCentre: 'a',
    capacity: {cpuMillis: 1, memoryMb: 1, gpus: 0},
    labels: [],
    phase: 'ready' as const,
    sequence: 1,
    cursor: 0,
  };
  let state = stateAfter(
    EMPTY_STATE,
    {type: 'worker', worker},
    submit('a'),
    {type: 'start', runs: [['a.0.0.0', 1, 'w@1']]},
    {type: 'cancel', job: 'a'},
  );
  expect(retention.recordEnd('a')).toBe(true);
  expect(retention.recordEnd('a')).toBe(false);
  vi.advanceTimersByTime(JOB_RETENTION_MS + 1);
  expect(retention.listExpired(state)).toEqual([]);
  state = stateAfter(state, {type: 'lost', runs: [['a.0.0.0', 1, 'w@1']]});
  expect(retention.listExpired(state)).toEqual(['a']);
});
