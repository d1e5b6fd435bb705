import {fits, subtract, type Size} from '@lentildrift/queue';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {packTasks, type PoolHost, type WaitingTasks} from '../src/index.js';
import {createUnfitSizes} from '../src/unfit.js';

const size = fc.record({
  cpuMillis: fc.integer({min: 0, max: 8}),
  memoryMb: fc.integer({min: 0, max: 8}),
  gpus: fc.integer({min: 0, max: 1}),
});
const label = fc.option(fc.constantFrom('a', 'b'), {nil: undefined});

function hostOf(free: Size, labels: string[], at: number): PoolHost {
  return {
    id: `h${at}`,
    capacity: free,
    free,
    labels,
    idle: false,
    emptyInMs: 0,
    pinned: false,
    excludedPools: new Set(),
  };
}

/** Tries each task on each host. */
function countUnplaced(
  hosts: readonly {free: Size; labels: string[]}[],
  tasks: readonly {size: Size; label: string | undefined}[],
): number {
  const free = hosts.map(host => host.free);
  return tasks.filter(task => {
    const at = hosts.findIndex(
      ({labels}, index) =>
        fits(task.size, free[index]!) &&
        (task.label === undefined || labels.includes(task.label)),
    );
    if (at >= 0) free[at] = subtract(free[at]!, task.size);
    return at < 0;
  }).length;
}

describe('the sizes that fit nowhere', () => {
  it('keep no task from a host on which it fits', () => {
    fc.assert(
      fc.property(
        fc.array(fc.record({free: size, labels: fc.subarray(['a', 'b'])})),
        fc.array(fc.record({size, label}), {maxLength: 40}),
        (hosts, tasks) => {
          const waiting = tasks.map<WaitingTasks>(task => ({
            ...task,
            count: 1,
            maxPerWorker: 0,
            running: new Map(),
            late: false,
          }));
          const trialHosts = hosts.map(({free, labels}, at) => ({
            host: hostOf(free, labels, at),
            free,
            hasPlacedTasks: false,
          }));
          const {unplaced} = packTasks(trialHosts, waiting);
          expect(unplaced).toHaveLength(countUnplaced(hosts, tasks));
        },
      ),
    );
  });

  it('cover larger tasks, and tasks that ask for a label as well', () => {
    const unfit = createUnfitSizes();
    unfit.add({cpuMillis: 4, memoryMb: 2, gpus: 0}, undefined);
    unfit.add({cpuMillis: 1, memoryMb: 1, gpus: 0}, 'a');
    const larger = {cpuMillis: 4, memoryMb: 3, gpus: 0};
    expect(unfit.covers(larger, undefined)).toBe(true);
    expect(unfit.covers(larger, 'b')).toBe(true);
    const small = {cpuMillis: 3, memoryMb: 9, gpus: 0};
    expect(unfit.covers(small, undefined)).toBe(false);
    expect(unfit.covers(small, 'b')).toBe(false);
    expect(unfit.covers(small, 'a')).toBe(true);
  });
});
