import {ZERO_SIZE} from '@lentildrift/queue';
import {expect, it} from 'vitest';
import {
  createCandidate,
  createPoolHost,
  PackPlacement,
  withFree,
} from '../src/index.js';
import {emptied} from '../src/packing.js';
import {stateOf, submit, worker} from './build.js';

function createCounted() {
  let reads = 0;
  const w = worker('w');
  const candidate = createCandidate(
    {
      key: 'w@1',
      worker: w,
      free: w.capacity,
      quarantined: false,
      isDue: false,
    },
    () => ++reads,
  );
  return {candidate, reads: () => reads};
}

// Most workers of a burst are full, and each round creates a candidate for all.
it('does not compute when a worker without room will be idle', () => {
  const {candidate, reads} = createCounted();
  const {steps} = stateOf([], submit('a', [{}])).jobs.get('a')!.spec;
  const chosen = new PackPlacement().choose({
    step: steps[0]!,
    size: steps[0]!.size,
    durationMs: 100,
    candidates: [withFree(candidate, ZERO_SIZE)],
    failedOn: [],
  });
  expect(chosen).toBeUndefined();
  expect(reads()).toBe(0);
});

it('computes once for all copies when a worker will be idle', () => {
  const {candidate, reads} = createCounted();
  const copy = withFree(withFree(candidate, ZERO_SIZE), ZERO_SIZE);
  expect([copy.emptyInMs, candidate.emptyInMs]).toEqual([1, 1]);
  expect(reads()).toBe(1);
});

// A copy of the host would lack the value, which is no property of its own.
it('expects a host that is being moved to be idle at once', () => {
  const capacity = {cpuMillis: 4000, memoryMb: 4000, gpus: 0};
  const host = createPoolHost(
    {
      id: 'h',
      worker: 'w@1',
      capacity,
      free: ZERO_SIZE,
      labels: [],
      idle: false,
      pinned: false,
      excludedPools: new Set(),
    },
    () => 500,
  );
  expect(host.emptyInMs).toBe(500);
  expect(emptied(host)).toMatchObject({
    worker: undefined,
    free: capacity,
    emptyInMs: 0,
  });
});
