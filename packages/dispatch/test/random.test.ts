/**
 * Random interleavings of faults against the leader: no task runs twice, none
 * after its end, no worker beyond its capacity, and every job ends once the
 * faults are over. `ORDER_RUNS` sets the number of runs.
 */
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {job, createHarness, worker, type Harness} from './harness.js';
import type {LinkState} from './fakes.js';

const WORKERS = ['w0', 'w1', 'w2', 'w3'];
const RUNS = Number(process.env['ORDER_RUNS'] ?? 150);

type Action =
  | {type: 'submit'; count: number}
  | {type: 'cancel'; nth: number}
  | {type: 'link'; worker: number; state: LinkState}
  | {type: 'reborn'; worker: number}
  | {type: 'leader'}
  | {type: 'slow'; delayMs: number}
  | {type: 'wait'; ms: number};

const index = fc.nat(WORKERS.length - 1);
const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      count: fc.integer({min: 1, max: 5}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('cancel' as const),
      nth: fc.nat(10),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('link' as const),
      worker: index,
      state: fc.constantFrom<LinkState>('up', 'cut', 'answers-lost', 'late'),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({type: fc.constant('reborn' as const), worker: index}),
  },
  {weight: 2, arbitrary: fc.constant({type: 'leader' as const})},
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('slow' as const),
      delayMs: fc.constantFrom(0, 50, 200),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('wait' as const),
      ms: fc.integer({min: 10, max: 2500}),
    }),
  },
);

interface Progress {
  jobs: number;
  born: number;
}

async function act(bench: Harness, progress: Progress, step: Action) {
  const addressOf = (nth: number) => `${WORKERS[nth]}:1`;
  switch (step.type) {
    case 'submit':
      await bench.submit(job(`j${progress.jobs++}`, {count: step.count}));
      return;
    case 'cancel':
      bench.leader
        .commit({type: 'cancel', job: `j${step.nth}`})
        .catch(() => undefined);
      return;
    case 'link':
      bench.fleet.byAddress.get(addressOf(step.worker))!.link = step.state;
      return;
    case 'reborn': {
      const old = bench.fleet.byAddress.get(addressOf(step.worker))!;
      old.alive = false;
      const bornMs = ++progress.born;
      const row = worker(WORKERS[step.worker]!, {bornMs});
      bench.fleet.add(row).link = old.link;
      announce(bench, step.worker);
      return;
    }
    case 'leader':
      await bench.replaceLeader();
      return;
    case 'slow':
      bench.replica.delayMs = step.delayMs;
      return;
    case 'wait':
      await bench.advance(step.ms);
  }
}

/** Workers announce themselves again until they are in the directory. */
function announce(bench: Harness, nth: number): void {
  const {worker: row} = bench.fleet.byAddress.get(`${WORKERS[nth]}:1`)!;
  bench.leader.announce(row).catch(() => undefined);
}

async function settle(bench: Harness): Promise<void> {
  bench.replica.delayMs = 0;
  for (const fake of bench.fleet.byAddress.values()) fake.link = 'up';
  for (let turn = 0; turn < 40; turn++) {
    WORKERS.forEach((_, nth) => announce(bench, nth));
    await bench.advance(1500);
    const active = [...bench.replica.state().jobs.values()].filter(
      ({phase}) => phase === 'active',
    );
    if (active.length === 0) return;
  }
}

describe('the orders of successive leaders', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('never run a task twice or after its end, and every job ends', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(action, {minLength: 5, maxLength: 40}),
        async steps => {
          const bench = await createHarness({
            behave: task => ({durationMs: 300 + 97 * (task.length % 20)}),
          });
          for (const name of WORKERS) await bench.addWorker(worker(name));
          const progress = {jobs: 0, born: 1};
          for (const step of steps) await act(bench, progress, step);
          await settle(bench);
          const phases = [...bench.replica.state().jobs.values()].map(
            ({phase}) => phase,
          );
          await bench.stop();
          expect(bench.fleet.violations).toEqual([]);
          expect(phases).not.toContain('active');
          expect(phases).not.toContain('failed');
        },
      ),
      {numRuns: RUNS, seed: Number(process.env['ORDER_SEED'] ?? 20261204)},
    );
  }, 120_000);
});
