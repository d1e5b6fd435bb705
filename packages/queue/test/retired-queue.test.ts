/** Tests which queues the state keeps after an edit has removed them. */
import {describe, expect, it} from 'vitest';
import {
  apply,
  EMPTY_STATE,
  fromStored,
  queuesOf,
  StoredState,
  toStored,
  type Event,
  type Queue,
  type State,
} from '@lentildrift/queue';

const queue = (name: string, more: Partial<Queue> = {}): Queue => ({
  name,
  host: 'h',
  prefix: `/${name}/`,
  pool: 'p',
  timeoutMs: 3000,
  targetMs: 600,
  stretch: 1.6,
  maxAttempts: 2,
  priority: 0,
  open: true,
  ...more,
});

function edit(version: number, ...queues: Queue[]): Event {
  const pools = [{name: 'p', guardsCapacity: false, standby: false}];
  const tables = {version, queues, pools, teams: [], document: `${version}`};
  return {type: 'tables', tables};
}

function submit(id: string, name: string): Event {
  const step = {
    count: 1,
    size: {cpuMillis: 1, memoryMb: 1, gpus: 0},
    estimateMs: 0,
    after: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    maxPerWorker: 0,
    speculative: false,
    lasting: false,
    image: '',
    tailTargetMs: 0,
    filler: false,
    mayMiss: 0,
  };
  const job = {id, queue: name, payload: '', steps: [step]};
  return {type: 'submit', job, atMs: 0};
}

const applyAll = (state: State, ...changes: Event[][]) =>
  changes.reduce((next, events) => apply(next, {events}).state, state);
const names = (state: State) => [...queuesOf(state).keys()].sort();

describe('a queue that an edit removes', () => {
  it('is kept for its active jobs only, and until these have ended', () => {
    let state = applyAll(
      EMPTY_STATE,
      [edit(1, queue('q'), queue('r'), queue('s'))],
      [submit('a', 'q'), submit('b', 'r'), {type: 'cancel', job: 'b'}],
      [edit(2, queue('s'))],
    );
    expect(names(state)).toEqual(['q', 's']);
    state = applyAll(state, [edit(3, queue('s'))]);
    expect(names(state)).toEqual(['q', 's']);
    state = applyAll(state, [{type: 'cancel', job: 'a'}], [edit(4)]);
    expect(names(state)).toEqual([]);
    expect(state.retiredQueues.size).toBe(0);
  });

  it('is kept for a job of the same change', () => {
    const state = applyAll(EMPTY_STATE, [
      edit(1, queue('q')),
      submit('a', 'q'),
      edit(2),
    ]);
    expect(names(state)).toEqual(['q']);
  });

  it('has the properties of the tables again once it is back', () => {
    const state = applyAll(
      EMPTY_STATE,
      [edit(1, queue('q')), submit('a', 'q')],
      [edit(2)],
      [edit(3, queue('q', {maxAttempts: 5}))],
    );
    expect(queuesOf(state).get('q')!.maxAttempts).toBe(5);
    expect(state.retiredQueues.size).toBe(0);
  });

  it('takes no job that is recorded after the edit', () => {
    const state = applyAll(EMPTY_STATE, [edit(1, queue('q'))], [edit(2)]);
    const {outcomes} = apply(state, {events: [submit('a', 'q')]});
    expect(outcomes).toEqual(['conflict']);
  });

  it('is part of a snapshot', () => {
    const state = applyAll(
      EMPTY_STATE,
      [edit(1, queue('q')), submit('a', 'q')],
      [edit(2)],
    );
    const stored: unknown = JSON.parse(JSON.stringify(toStored(state)));
    const restored = fromStored(StoredState.parse(stored));
    expect(restored.retiredQueues).toEqual(state.retiredQueues);
    const {retiredQueues: _, ...earlier} = toStored(state);
    expect(fromStored(StoredState.parse(earlier)).retiredQueues.size).toBe(0);
  });
});
