/** Tests the probe of garbage collections. */
import {expect, it} from 'vitest';
import {startCollectionProbe} from '../src/index.js';

it('tells processor time of garbage collection from that of handlers', async () => {
  const durationsMs: number[] = [];
  const probe = startCollectionProbe(durationMs =>
    durationsMs.push(durationMs),
  );
  let kept: object[] = [];
  await expect
    .poll(
      () => {
        kept = Array.from({length: 200_000}, (_, number) => ({number}));
        return durationsMs.length;
      },
      {interval: 10, timeout: 5000},
    )
    .toBeGreaterThan(0);
  probe.stop();
  expect(kept).toHaveLength(200_000);
  expect(Math.min(...durationsMs)).toBeGreaterThan(0);
});
