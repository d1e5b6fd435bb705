import {describe, expect, it} from 'vitest';
import {
  addCrash,
  apply,
  EMPTY_STATE,
  fromStored,
  isCrashCause,
  isSuspect,
  Step,
  StoredState,
  toStored,
  type Crash,
  type Event,
  type State,
  type Worker,
} from '../src/index.js';

function crash(worker: string, overrides: Partial<Crash> = {}): Crash {
  return {
    worker,
    isCertain: true,
    isPrompt: true,
    isAlone: true,
    ...overrides,
  };
}

function worker(id: string): Worker {
  return {
    id,
    bornMs: 1,
    host: id,
    pool: 'p',
    address: `${id}:1`,
    dataCentre: 'a',
    capacity: {cpuMillis: 1000, memoryMb: 1000, gpus: 0},
    labels: [],
    phase: 'ready',
    sequence: 1,
    cursor: 0,
  };
}

const STEP = Step.parse({
  count: 2,
  size: {cpuMillis: 1, memoryMb: 1, gpus: 0},
});

/** A state with the job `j` of two tasks and the workers a, b, c and d. */
function createState(step: Step = STEP): State {
  const events: Event[] = ['a', 'b', 'c', 'd'].map(id => ({
    type: 'worker',
    worker: worker(id),
  }));
  const job = {id: 'j', queue: 'q', payload: '', steps: [step]};
  events.push({type: 'submit', atMs: 0, job});
  return apply(EMPTY_STATE, {events}).state;
}

function addCrashes(state: State, ...crashes: Crash[]): State {
  const events = crashes.map(row => ({
    type: 'crash' as const,
    ...row,
    tasks: ['j.0.0.0'],
  }));
  return apply(state, {events}).state;
}

function crashesOf(state: State): readonly Crash[] {
  return state.jobs.get('j')!.tasks['0.0.0']!.crashes;
}

describe('the evidence of crashes', () => {
  it('does not fail a job after two crashes, which may be chance', () => {
    expect(isCrashCause([crash('a@1'), crash('b@1')])).toBe(false);
    expect(isCrashCause([crash('a@1'), crash('b@1'), crash('c@1')])).toBe(true);
  });

  it('does not count leases that expired at workers that may still run', () => {
    const rows = ['a@1', 'b@1', 'c@1', 'd@1'].map(key =>
      crash(key, {isCertain: false}),
    );
    expect(isCrashCause(rows)).toBe(false);
  });

  it('does not single out a task that was not the only suspect', () => {
    const rows = ['a@1', 'b@1', 'c@1'].map(key => crash(key, {isAlone: false}));
    expect(isCrashCause(rows)).toBe(false);
    expect(isCrashCause([...rows, crash('d@1', {isAlone: false})])).toBe(true);
  });

  it('counts a crash once however often it is reported', () => {
    const once = addCrash([], crash('a@1', {isCertain: false}));
    const twice = addCrash(addCrash(once, crash('a@1')), crash('a@1'));
    expect(twice).toEqual([crash('a@1')]);
  });

  it('makes no suspect of a task that ran on one worker that failed later', () => {
    const late = {isPrompt: false, isAlone: false};
    expect(isSuspect({crashes: [crash('a@1', late)]})).toBe(false);
    expect(isSuspect({crashes: [crash('a@1')]})).toBe(true);
  });
});

describe('a job with a task that crashes workers', () => {
  it('fails, also if it is long-running', () => {
    for (const lasting of [false, true]) {
      const state = createState({...STEP, lasting});
      const twice = addCrashes(state, crash('a@1'), crash('b@1'));
      expect(twice.jobs.get('j')!.phase).toBe('active');
      const three = addCrashes(twice, crash('c@1'));
      expect(three.jobs.get('j')!.phase).toBe('failed');
    }
  });

  it('keeps its crashes in a snapshot, and old snapshots have none', () => {
    const state = addCrashes(createState(), crash('a@1', {isCertain: false}));
    const stored = StoredState.parse(
      JSON.parse(JSON.stringify(toStored(state))),
    );
    expect(crashesOf(fromStored(stored))).toEqual(crashesOf(state));
    expect(fromStored(stored).workers.get('a')!.suspects).toEqual(['j.0.0.0']);
    const {crashes: _, ...task} = stored.jobs[0]!.tasks['0.0.0']!;
    const old = {
      ...stored,
      jobs: [{...stored.jobs[0]!, tasks: {'0.0.0': task}}],
    };
    expect(crashesOf(fromStored(StoredState.parse(old)))).toEqual([]);
  });

  it('is cleared of a crash when the worker answers again', () => {
    const state = addCrashes(createState(), crash('a@1', {isCertain: false}));
    const event = {type: 'survived' as const, worker: 'a@1'};
    const after = apply(state, {events: [event]}).state;
    expect(crashesOf(after)).toEqual([]);
    expect(after.workers.get('a')!.suspects).toBeUndefined();
  });
});
