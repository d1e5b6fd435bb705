import type {Refusal} from '@lentildrift/model';
import {createLog} from '@lentildrift/observe';
import {startTasks} from '@lentildrift/task';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createAdmission} from '../src/admission.js';
import {createRoster} from '../src/directory.js';
import {FailoverControl} from '../src/failover.js';
import {isGrant, type Grant} from '../src/limiter.js';
import {SLICE_WAIT_MS} from '../src/queue.js';
import {createSync} from '../src/sync.js';
import {FakeControl} from './fake.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

function setUp(controls = [new FakeControl(), new FakeControl()]) {
  const tasks = startTasks((_, error) => {
    throw error;
  });
  const admission = createAdmission(tasks, () => sync.requestSync());
  const roster = createRoster(tasks);
  const sync = createSync({
    tasks,
    log: createLog('error', {}, () => undefined),
    control: new FailoverControl(controls),
    entryHost: 'e',
    admission: admission.task,
    roster: roster.task,
  });
  const admit = () =>
    new Promise<Grant | Refusal>(answer =>
      admission.task.post({type: 'admit', team: 'club', limit: 200, answer}),
    );
  return {first: controls[0]!, second: controls[1]!, admission, sync, admit};
}

async function start(stack: ReturnType<typeof setUp>) {
  void stack.sync.start();
  await vi.advanceTimersByTimeAsync(10);
}

async function tryAdmit(stack: ReturnType<typeof setUp>): Promise<boolean> {
  const result = stack.admit();
  await vi.advanceTimersByTimeAsync(1);
  return isGrant(await result);
}

describe('sync', () => {
  it('lets the freshness lease expire 3 s after the last sync was sent, not after its response', async () => {
    const stack = setUp([new FakeControl()]);
    await start(stack);
    let openGate = () => {};
    stack.first.gate = new Promise(resolve => (openGate = resolve));
    const {length} = stack.first.syncs;
    await vi.advanceTimersByTimeAsync(1000);
    expect(stack.first.syncs.length).toBe(length + 1);
    const sentMs = performance.now();
    await vi.advanceTimersByTimeAsync(1200);
    stack.first.down = false;
    openGate();
    await vi.advanceTimersByTimeAsync(1);
    stack.first.down = true;
    const freshUntilMs = stack.admission.freshUntilMs.value;
    expect(freshUntilMs).toBeLessThanOrEqual(sentMs + 3000);
    await vi.advanceTimersByTimeAsync(freshUntilMs - performance.now() - 3);
    expect(await tryAdmit(stack)).toBe(true);
    await vi.advanceTimersByTimeAsync(3);
    expect(await tryAdmit(stack)).toBe(false);
  });

  it('never runs two syncs at the same time, however many are requested', async () => {
    const stack = setUp([new FakeControl()]);
    let running = 0;
    let maxRunning = 0;
    const sync = stack.first.sync.bind(stack.first);
    stack.first.sync = async request => {
      maxRunning = Math.max(maxRunning, ++running);
      await new Promise(resolve => setTimeout(resolve, 30));
      running -= 1;
      return sync(request);
    };
    await start(stack);
    for (let i = 0; i < 200; i++) {
      stack.sync.requestSync();
      await vi.advanceTimersByTimeAsync(5);
    }
    expect(maxRunning).toBe(1);
    expect(stack.first.syncs.length).toBeGreaterThan(10);
    expect(stack.first.syncs.length).toBeLessThan(25);
  });

  it('runs early and reports the demand when a slice is too small', async () => {
    const stack = setUp();
    stack.first.slices = {club: {amount: 1, generation: 1}};
    await start(stack);
    const {length} = stack.first.syncs;
    expect(await tryAdmit(stack)).toBe(true);
    const waiting = [1, 2, 3].map(() => tryAdmit(stack));
    await vi.advanceTimersByTimeAsync(60);
    expect(stack.first.syncs.length).toBe(length + 1);
    expect(stack.first.syncs.at(-1)!.use['club']).toEqual({
      running: 1,
      demand: 4,
      generation: 1,
      ceiling: 1,
    });
    await vi.advanceTimersByTimeAsync(SLICE_WAIT_MS);
    expect(await Promise.all(waiting)).toEqual([false, false, false]);
  });

  it('admits waiting calls when a larger slice arrives, and no more calls than the slice allows', async () => {
    const stack = setUp();
    stack.first.slices = {club: {amount: 0, generation: 1}};
    await start(stack);
    const waiting = [1, 2, 3].map(() => tryAdmit(stack));
    stack.first.slices = {club: {amount: 2, generation: 2}};
    await vi.advanceTimersByTimeAsync(SLICE_WAIT_MS);
    expect(await Promise.all(waiting)).toEqual([true, true, false]);
  });

  it('carries only changed use, and all use when control does not hold it', async () => {
    const stack = setUp();
    const slice = {amount: 5, generation: 1};
    stack.first.slices = {club: slice, juniors: slice};
    await start(stack);
    await vi.advanceTimersByTimeAsync(1000);
    const last = () => stack.first.syncs.at(-1)!;
    expect(Object.keys(last().use)).toEqual(['club', 'juniors']);
    await vi.advanceTimersByTimeAsync(1000);
    expect(last()).toMatchObject({use: {}, useSince: last().sequence - 1});
    expect(await tryAdmit(stack)).toBe(true);
    stack.first.useHeld = false;
    const {length} = stack.first.syncs;
    await vi.advanceTimersByTimeAsync(1100);
    const [changed, all] = stack.first.syncs.slice(length);
    expect(Object.keys(changed!.use)).toEqual(['club']);
    expect(all).toMatchObject({useSince: 0});
    expect(Object.keys(all!.use)).toEqual(['club', 'juniors']);
    stack.first.down = true;
    await vi.advanceTimersByTimeAsync(1100);
    expect(stack.second.syncs[0]).toMatchObject({useSince: 0, revision: 0});
    expect(Object.keys(stack.second.syncs[0]!.use)).toHaveLength(2);
  });

  it('fails over to another control process and requests its whole roster', async () => {
    const stack = setUp();
    await start(stack);
    stack.first.down = true;
    await vi.advanceTimersByTimeAsync(2500);
    expect(stack.second.syncs.length).toBeGreaterThan(0);
    expect(stack.second.syncs[0]!.rosterVersion).toBe(0);
    expect(await tryAdmit(stack)).toBe(true);
  });

  it('opens a new session after control closed the old one, and rejects an older view', async () => {
    const stack = setUp([new FakeControl()]);
    stack.first.revision = 5;
    await start(stack);
    expect(await tryAdmit(stack)).toBe(true);
    stack.first.closed.push('s1');
    await vi.advanceTimersByTimeAsync(1100);
    expect(stack.first.sessions).toBe(2);
    expect(stack.first.syncs.at(-1)).toMatchObject({session: 's2'});
    expect(await tryAdmit(stack)).toBe(true);
    stack.first.revision = 4;
    await vi.advanceTimersByTimeAsync(4000);
    expect(stack.sync.view.value.revision).toBe(5);
    expect(await tryAdmit(stack)).toBe(false);
  });
});
