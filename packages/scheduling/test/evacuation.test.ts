import {describe, expect, it, vi} from 'vitest';
import {createEvacuationCheck} from '../src/index.js';
import {stateOf, submit, worker} from './build.js';

const WORKERS = 20;
const JOBS = 50;

/** Jobs of one kind that fit on no worker in use, and on one out of use. */
function heldJobs() {
  const small = Array.from({length: WORKERS}, (_, at) => worker(`w${at}`));
  const capacity = {cpuMillis: 16_000, memoryMb: 16_000, gpus: 0};
  const state = stateOf(
    [...small, worker('large', {dataCentre: 'b', capacity})],
    {type: 'evacuation', dataCentre: 'b', evacuated: true},
    ...Array.from({length: JOBS}, (_, at) => submit(`j${at}`, [{cpu: 8000}])),
  );
  let scanned = 0;
  for (const row of state.workers.values()) {
    const value = row.capacity;
    Object.defineProperty(row, 'capacity', {
      get() {
        scanned++;
        return value;
      },
    });
  }
  const jobs = [...state.jobs.values()];
  return {state, jobs, scanned: () => scanned};
}

describe('the check for jobs that an evacuation holds', () => {
  // Every 2 s all workers were looked at for each ready step of each job.
  it('looks at the workers once for steps of one kind', () => {
    const {state, jobs, scanned} = heldJobs();
    const isHeld = createEvacuationCheck(state);
    expect(jobs.filter(job => isHeld(job, 0))).toHaveLength(JOBS);
    expect(scanned()).toBe(WORKERS + 1);
  });

  // Each request for one job walked the directory.
  it('lists the workers of a pool once while neither they nor the evacuations change', () => {
    const {state, jobs} = heldJobs();
    const lists = vi.spyOn(state.workers, 'unorderedValues');
    for (const job of jobs) createEvacuationCheck(state)(job, 0);
    expect(lists).toHaveBeenCalledTimes(1);
    const ended = {...state, evacuated: new Set<string>(['a', 'b'])};
    const isHeld = createEvacuationCheck(ended);
    expect(jobs.filter(job => isHeld(job, 0))).toHaveLength(JOBS);
    expect(lists).toHaveBeenCalledTimes(2);
  });
});
