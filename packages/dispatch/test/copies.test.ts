/** Second runs of tasks that last long, with fake workers. */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {EagerCopies} from './eager-copies.js';
import type {Behaviour} from './fakes.js';
import {createHarness, job, worker, type Harness} from './harness.js';

const WORKERS = ['w0', 'w1', 'w2'];
const TASK = 'a.0.0.0';
/** Long enough for a copy to overtake it, and for the worker's lease to lapse. */
const LONG_MS = 15_000;

let harness: Harness;

beforeEach(() => void vi.useFakeTimers());

afterEach(async () => {
  await harness.stop();
  vi.useRealTimers();
});

/** Starts one task, by default with a first run that lasts long. */
async function start(
  behave: (run: number) => Partial<Behaviour> = run => ({
    durationMs: run === 1 ? LONG_MS : 600,
  }),
  speculative = true,
): Promise<void> {
  harness = await createHarness({
    copies: new EagerCopies(),
    allowsCopies: () => true,
    behave: (_task, run) => behave(run),
  });
  for (const name of WORKERS) await harness.addWorker(worker(name));
  await harness.submit(job('a', {speculative}));
}

const findTask = () => harness.replica.state().jobs.get('a')?.tasks['0.0.0'];
const startsOf = (task: string) =>
  harness.fleet.starts.filter(each => each.task === task);
const logged = (text: string) =>
  harness.logLines.filter(line => line.includes(text));

async function advanceUntil(condition: () => boolean): Promise<void> {
  for (let turn = 0; turn < 2000 && !condition(); turn++) {
    await harness.advance(10);
  }
  expect(condition()).toBe(true);
}

const workerOfRun = (number: number) => {
  const run = findTask()!.runs.find(each => each.number === number)!;
  const id = run.worker.slice(0, run.worker.indexOf('@'));
  return harness.fleet.byAddress.get(`${id}:1`)!;
};

async function expectCompleted(startCount: number): Promise<void> {
  await advanceUntil(() => harness.phase('a') === 'completed');
  await harness.advance(1000);
  expect(harness.fleet.running(TASK)).toEqual([]);
  expect(startsOf(TASK)).toHaveLength(startCount);
  expect(harness.fleet.violations).toEqual([]);
}

describe('a copy', () => {
  it('completes its task, and the first run is stopped', async () => {
    await start();
    await expectCompleted(2);
    expect(new Set(startsOf(TASK).map(each => each.worker)).size).toBe(2);
    expect(logged('event=copy-started')).toHaveLength(1);
    expect(logged('outcome=copy-first')).toHaveLength(1);
    expect(harness.metrics.text()).toMatch(
      /lentildrift_copies_total\{outcome="copy-first"\} 1/,
    );
  });

  it('is stopped if the first run ends first', async () => {
    await start(run => ({durationMs: run === 1 ? 1500 : LONG_MS}));
    await expectCompleted(2);
    expect(logged('outcome=run-first')).toHaveLength(1);
  });

  it('is not started for a step that does not allow copies', async () => {
    await start(() => ({durationMs: 3000}), false);
    await expectCompleted(1);
  });

  it('counts once if both runs end at the same time', async () => {
    let firstMs = 0;
    await start(run => {
      if (run === 1) firstMs = performance.now();
      return {durationMs: firstMs + 2000 - performance.now()};
    });
    await expectCompleted(2);
    expect(harness.replica.state().jobs.get('a')?.phase).toBe('completed');
    expect(logged('event=copy-ended')).toHaveLength(1);
  });

  // The queue allows two attempts.
  it('fails its job together with the first run, after no more attempts', async () => {
    await start(run => ({durationMs: run === 1 ? 2000 : 600, how: 'failed'}));
    await advanceUntil(() => harness.phase('a') === 'failed');
    expect(startsOf(TASK)).toHaveLength(2);
    expect(harness.fleet.violations).toEqual([]);
  });

  it('goes on alone if the first run fails', async () => {
    await start(run =>
      run === 1
        ? {durationMs: 1200, how: 'failed'}
        : {durationMs: 2000, how: 'done'},
    );
    await expectCompleted(2);
  });

  it('on a worker that crashes is not replaced by another copy', async () => {
    await start(run => ({durationMs: run === 1 ? LONG_MS : 5000}));
    await advanceUntil(() => startsOf(TASK).length === 2);
    workerOfRun(2).isAlive = false;
    await expectCompleted(2);
    expect(logged('outcome=lost')).toHaveLength(1);
  });

  it('whose start is carried out but not answered runs once', async () => {
    await start();
    // The first run keeps its worker; all others lose their answers.
    for (const fake of harness.fleet.byAddress.values()) {
      if (!fake.runs.has(TASK)) fake.link = 'answers-lost';
    }
    await advanceUntil(() => startsOf(TASK).length === 2);
    for (const fake of harness.fleet.byAddress.values()) fake.link = 'up';
    await expectCompleted(2);
  });
});

describe('a change of leader', () => {
  it('after the record of a copy leaves its task with two runs at most', async () => {
    await start();
    harness.replica.delayMs = 50;
    await advanceUntil(() => findTask()?.runs.length === 2);
    // The copy is on record and not ordered.
    expect(startsOf(TASK)).toHaveLength(1);
    await harness.replaceLeader();
    harness.replica.delayMs = 0;
    await expectCompleted(startsOf(TASK).length);
  });

  it('while both run leaves the end of either to the next leader', async () => {
    await start(run => ({durationMs: run === 1 ? LONG_MS : 2000}));
    await advanceUntil(() => startsOf(TASK).length === 2);
    await harness.replaceLeader();
    await expectCompleted(2);
    expect(logged('reason=inherited')).toHaveLength(1);
  });

  // A leader that took an inherited run for as old as its own term, or for one
  // that had just begun, would copy it too early or never.
  it('has a run copied only after the next leader has seen it run for long', async () => {
    await start();
    await harness.advance(300);
    const changedMs = performance.now();
    await harness.replaceLeader();
    await advanceUntil(() => startsOf(TASK).length === 2);
    expect(startsOf(TASK)[1]!.atMs - changedMs).toBeGreaterThan(250);
    await expectCompleted(2);
  });
});
