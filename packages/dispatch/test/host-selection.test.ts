/** Tests how the hosts of a wave and their tasks are described to the policy. */
import {
  apply,
  EMPTY_STATE,
  JobSpec,
  type Wave,
  type Worker,
} from '@lentildrift/queue';
import {
  measureFleet,
  measureLoad,
  TimedWaves,
  type StateView,
} from '@lentildrift/scheduling';
import {describe, expect, it} from 'vitest';
import {createHostSelection} from '../src/host-selection.js';
import type {ProvidedHost} from '../src/provider.js';
import {worker} from './harness.js';

const CAPACITY = {cpuMillis: 8000, memoryMb: 8000, gpus: 0};
const WAVE_MS = 26_000;
const HOST_TIME_MS = 6000;

/** A view of workers with one task each of a job that may miss one. */
function viewOf(workers: readonly Worker[]) {
  const job = JobSpec.parse({
    id: 'l',
    queue: 'q',
    payload: '',
    steps: [
      {
        count: workers.length,
        size: {cpuMillis: 1000, memoryMb: 100, gpus: 0},
        estimateMs: 1000,
        lasting: true,
        mayMiss: 1,
      },
    ],
  });
  const {state} = apply(EMPTY_STATE, {
    events: [
      ...workers.map(row => ({type: 'worker', worker: row}) as const),
      {type: 'submit', atMs: 0, job},
      {
        type: 'start',
        runs: workers.map(({id, bornMs}, index) => [
          `l.0.0.${index}`,
          1,
          `${id}@${bornMs}`,
        ]),
      },
    ],
  });
  return {load: measureLoad(state), fleet: measureFleet(state)} as StateView;
}

/** Selects hosts of a wave of all workers; the listed tasks are never ready. */
function selectWithUnready(tasks: readonly string[], remainingMs: number) {
  const workers = ['w1', 'w2', 'w3'].map(id =>
    worker(id, {capacity: CAPACITY, pool: 'p'}),
  );
  const listed = new Map(
    workers.map(({host}) => [host, {state: 'up'} as ProvidedHost]),
  );
  const selection = createHostSelection({
    policy: new TimedWaves(),
    inventory: {
      hosts: () => listed,
      requestedMs: () => 0,
      refresh: () => {},
    },
    isMoving: () => false,
    hasForeignOrder: () => false,
    hasOperation: () => false,
    isCordoned: () => false,
    isReady: task => !tasks.includes(task),
  });
  const wave: Wave = {
    id: 1,
    durationMs: WAVE_MS,
    atOnce: 2,
    acceptedAtMs: Date.now() - WAVE_MS + remainingMs,
    hosts: Object.fromEntries(workers.map(({host}) => [host, 'due' as const])),
  };
  const progress = {
    hostTimeMs: HOST_TIME_MS,
    down: 0,
    emptying: 0,
    emptyingLasting: 0,
  };
  const {selected, waiting} = selection.select(wave, progress, viewOf(workers));
  return {ids: selected.map(({id}) => id), waiting};
}

describe('the selection of hosts', () => {
  // A run that is never ready counted against the budget of its own stop, so
  // that neither its host nor any other of the step was ever emptied.
  it.each([WAVE_MS, 10_000])(
    'selects the host of a run that is never ready, %i ms before the deadline',
    remainingMs => {
      const {ids, waiting} = selectWithUnready(['l.0.0.1'], remainingMs);
      expect(ids).toEqual(['m-w2']);
      expect([...waiting.values()]).toEqual(['budget', 'budget']);
    },
  );

  it('selects one host of a step of which all tasks are ready', () => {
    const {ids} = selectWithUnready([], WAVE_MS);
    expect(ids).toEqual(['m-w1']);
  });
});
