/** Tests which workers a maintenance wave has report more often. */
import {
  apply,
  EMPTY_STATE,
  JobSpec,
  workerKey,
  type Worker,
} from '@lentildrift/queue';
import {
  measureFleet,
  measureLoad,
  type StateView,
} from '@lentildrift/scheduling';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {createReplacements} from '../src/replacements.js';
import {worker} from './harness.js';

const CAPACITY = {cpuMillis: 8000, memoryMb: 8000, gpus: 0};
const MAX_AWAITED = 64;

function jobOf(id: string, count: number): JobSpec {
  const size = {cpuMillis: 4000, memoryMb: 100, gpus: 0};
  const step = {count, size, estimateMs: 1000, lasting: true, mayMiss: 1};
  return JobSpec.parse({id, queue: 'q', payload: '', steps: [step]});
}

/** Workers of one pool; the first run one task each of job `a`, then of `b`. */
function fleetOf(count: number, aTasks: number, bTasks: number) {
  const workers = Array.from({length: count}, (_, at) =>
    worker(`w${at}`, {capacity: CAPACITY, pool: 'p'}),
  );
  const start = (id: string, from: number, tasks: number) => ({
    type: 'start' as const,
    runs: Array.from({length: tasks}, (_, index): [string, number, string] => [
      `${id}.0.0.${index}`,
      1,
      workerKey(workers[from + index]!),
    ]),
  });
  const {state} = apply(EMPTY_STATE, {
    events: [
      ...workers.map(row => ({type: 'worker', worker: row}) as const),
      {type: 'submit', atMs: 0, job: jobOf('a', aTasks)},
      {type: 'submit', atMs: 0, job: jobOf('b', bTasks)},
      start('a', 0, aTasks),
      start('b', aTasks, bTasks),
    ],
  });
  const load = measureLoad(state);
  return {workers, view: {load, fleet: measureFleet(state)} as StateView};
}

function isIdle(row: Worker, {load}: StateView): boolean {
  return !load.byWorker.has(workerKey(row));
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

// Every worker of the pool with a long-running task and every idle one was
// asked for five reports a second.
it('awaits a limited number of workers of a large pool, also of idle ones', () => {
  const {workers, view} = fleetOf(1000, 300, 1);
  const replacements = createReplacements(host => host === 'm-w0');
  replacements.update(new Set(['m-w0']), view);
  const awaited = workers.filter(row =>
    replacements.isAwaited(row, isIdle(row, view)),
  );
  expect(awaited.length).toBeLessThanOrEqual(MAX_AWAITED);
  const idle = awaited.filter(row => isIdle(row, view));
  expect(idle.length).toBeGreaterThanOrEqual(16);
  expect(awaited.length - idle.length).toBeGreaterThanOrEqual(40);
});

it('awaits the tasks only of steps on the hosts that are being emptied', () => {
  const {workers, view} = fleetOf(30, 4, 20);
  const replacements = createReplacements(host => host === 'm-w0');
  replacements.update(new Set(['m-w0']), view);
  const isAwaited = (at: number) => replacements.isAwaited(workers[at]!, false);
  expect([0, 1, 2, 3].map(isAwaited)).toEqual([false, true, true, true]);
  const others = Array.from({length: 20}, (_, at) => isAwaited(4 + at));
  // Those with room for a task may get one, after the idle workers.
  expect(others.filter(Boolean)).toHaveLength(16 - 6);
  replacements.update(new Set(), view);
  expect(isAwaited(1)).toBe(false);
});

// The search took 5 to 9 ms of each tick with 2,200 workers.
it('looks at the workers again only after a while or for other hosts', () => {
  const {view} = fleetOf(10, 2, 1);
  const workersIn = vi.fn(view.fleet.workersIn);
  const counted = {...view, fleet: {...view.fleet, workersIn}};
  const replacements = createReplacements(() => false);
  for (let tick = 0; tick < 10; tick++) {
    replacements.update(new Set(['m-w0']), counted);
    vi.advanceTimersByTime(100);
  }
  expect(workersIn).toHaveBeenCalledTimes(2);
  replacements.update(new Set(['m-w1']), counted);
  expect(workersIn).toHaveBeenCalledTimes(3);
});
