import {ZERO_SIZE, workerKey, type Event, type State} from '@lentildrift/queue';
import {describe, expect, it} from 'vitest';
import {
  ElasticPools,
  measureDemand,
  measureLoad,
  NO_DEMAND,
  NO_DURATIONS,
  type Demand,
  type PoolHost,
  type PoolView,
  type WaitingTasks,
} from '../src/index.js';
import {stateOf, submit, worker} from './build.js';

function demandOf(state: State, nowMs = 0): Demand {
  const load = measureLoad(state);
  return measureDemand(state, load, nowMs, NO_DURATIONS).get('p') ?? NO_DEMAND;
}

function counts({waiting}: Demand): number[] {
  return waiting.map(({count}) => count);
}

describe('demand', () => {
  const started: Event = {type: 'start', runs: [['a.0.0.0', 1, 'w@1']]};

  it('is what runs and what waits for a worker, and no later step', () => {
    const steps = [
      {count: 3, maxPerWorker: 1},
      {count: 9, after: [0]},
    ];
    const w = worker('w');
    const demand = demandOf(stateOf([w], submit('a', steps), started));
    expect(demand.reserved.cpuMillis).toBe(1000);
    expect(counts(demand)).toEqual([2]);
    expect(demand.waiting[0]!.maxPerWorker).toBe(1);
    expect(demand.waiting[0]!.running).toEqual(new Map([[workerKey(w), 1]]));
  });

  it('leaves out what the limit of the team keeps from running', () => {
    const state = stateOf([], submit('a', [{count: 5}], {team: 't'}));
    expect(counts(demandOf(state))).toEqual([2]);
  });

  it('foresees the later steps of jobs that came within a second', () => {
    const steps = [{count: 3}, {count: 9, after: [0]}];
    const state = stateOf([], submit('a', steps, {atMs: 5000}));
    expect(demandOf(state, 5500).inflowCpuMillis).toBe(12_000);
    expect(demandOf(state, 6500).inflowCpuMillis).toBe(0);
  });

  it('tells work that will be late', () => {
    const state = stateOf([], submit('a', [{estimateMs: 1000}]));
    expect(demandOf(state, 0).waiting[0]!.late).toBe(false);
    expect(demandOf(state, 2900).waiting[0]!.late).toBe(true);
  });

  it('foresees nothing of tasks that last', () => {
    const state = stateOf([], submit('a', [{lasting: true}], {atMs: 5000}));
    expect(demandOf(state, 5500).inflowCpuMillis).toBe(0);
  });
});

const CAPACITY = {cpuMillis: 4000, memoryMb: 4000, gpus: 0};

function host(id: string, more: Partial<PoolHost> = {}): PoolHost {
  return {
    id,
    worker: `${id}@1`,
    capacity: CAPACITY,
    free: CAPACITY,
    labels: [],
    idle: true,
    emptyInMs: 0,
    pinned: false,
    excludedPools: new Set(),
    ...more,
  };
}

function pool(
  name: string,
  serving: PoolHost[],
  demand: Partial<Demand> = {},
  arriving: PoolHost[] = [],
): PoolView {
  const standby = name === 'standby';
  return {
    name,
    standby,
    serving: standby
      ? serving.map(each => ({...each, worker: undefined}))
      : serving,
    arriving,
    demand: {...NO_DEMAND, ...demand},
  };
}

function waiting(
  count: number,
  more: Partial<WaitingTasks> = {},
): WaitingTasks {
  return {
    count,
    size: {cpuMillis: 1000, memoryMb: 100, gpus: 0},
    label: undefined,
    maxPerWorker: 0,
    running: new Map(),
    late: false,
    ...more,
  };
}

function decide(...pools: PoolView[]) {
  return new ElasticPools(1).decide(pools);
}

describe('the division of hosts', () => {
  it('gives a pool hosts for what waits and one more', () => {
    const moves = decide(
      pool('p', [host('a')], {waiting: [waiting(9)]}),
      pool(
        'standby',
        ['b', 'c', 'd', 'e'].map(id => host(id)),
      ),
    );
    expect(moves.map(({to}) => to)).toEqual(['p', 'p', 'p']);
  });

  it('counts hosts that are on their way', () => {
    const moves = decide(
      pool('p', [host('a')], {waiting: [waiting(6)]}, [host('b'), host('c')]),
      pool('standby', [host('d')]),
    );
    expect(moves).toEqual([]);
  });

  it('gives a pool the label that its tasks require', () => {
    const plain = [host('a'), host('b')];
    const fast = host('c', {labels: ['fast']});
    const moves = decide(
      pool('p', plain, {waiting: [waiting(1, {label: 'fast'})]}),
      pool('standby', [host('d'), fast]),
    );
    expect(moves).toContainEqual({host: 'c', from: 'standby', to: 'p'});
    expect(moves.filter(({to}) => to === 'p')).toHaveLength(1);
  });

  it('spreads a step over as many hosts as its limit needs', () => {
    const running = new Map([['a@1', 1]]);
    const row = waiting(2, {maxPerWorker: 1, running});
    const moves = decide(
      pool('p', [host('a', {idle: false})], {waiting: [row]}),
      pool(
        'standby',
        ['b', 'c', 'd'].map(id => host(id)),
      ),
    );
    expect(moves).toHaveLength(2);
  });

  it('takes no host for a task that fits on none', () => {
    const huge = waiting(1, {size: {...CAPACITY, cpuMillis: 9000}});
    const moves = decide(
      pool('p', [host('a')], {waiting: [huge]}),
      pool('standby', [host('b')]),
    );
    expect(moves).toEqual([]);
  });

  it('leaves a host where the provider wants it', () => {
    const moves = decide(
      pool('p', [], {waiting: [waiting(1)]}),
      pool('standby', [host('a', {excludedPools: new Set(['p'])})]),
    );
    expect(moves).toEqual([]);
  });

  it('prepares for what keeps coming before it waits', () => {
    const moves = decide(
      pool('p', [host('a')], {inflowCpuMillis: 12_000}),
      pool(
        'standby',
        ['b', 'c', 'd', 'e'].map(id => host(id)),
      ),
    );
    expect(moves).toHaveLength(2);
  });

  it('gives to the pool that lacks most, one host at a time', () => {
    const moves = decide(
      pool('p', [host('a')], {waiting: [waiting(8)]}),
      pool('q', [host('b')], {waiting: [waiting(16)]}),
      pool(
        'standby',
        ['c', 'd', 'e'].map(id => host(id)),
      ),
    );
    expect(moves.map(({to}) => to)).toEqual(['q', 'q', 'p']);
  });

  it('sends idle hosts to standby and keeps one', () => {
    const moves = decide(
      pool('p', [host('a'), host('b'), host('c', {free: ZERO_SIZE})]),
      pool('standby', []),
    );
    expect(moves).toHaveLength(1);
    expect(moves[0]).toMatchObject({from: 'p', to: 'standby'});
  });

  it('keeps a host on which a task waits to be started', () => {
    const moves = decide(
      pool('p', [host('a'), host('b')], {waiting: [waiting(2)]}),
      pool('standby', []),
    );
    expect(moves).toEqual([]);
  });

  it('empties a host that another pool needs more', () => {
    const free = {...CAPACITY, cpuMillis: 3000};
    const busy = ['a', 'b', 'c'].map(id =>
      host(id, {free, idle: false, emptyInMs: 200}),
    );
    const moves = decide(
      pool('p', busy),
      pool('q', [], {waiting: [waiting(2)]}),
      pool('standby', []),
    );
    expect(moves.filter(({to}) => to === 'q').length).toBeGreaterThan(0);
  });

  it('serves work in time before work that is late anyway', () => {
    const moves = decide(
      pool('p', [], {waiting: [waiting(40, {late: true})]}),
      pool('q', [], {waiting: [waiting(4)]}),
      pool(
        'standby',
        ['a', 'b', 'c', 'd'].map(id => host(id)),
      ),
    );
    expect(
      moves
        .slice(0, 3)
        .map(({to}) => to)
        .sort(),
    ).toEqual(['p', 'q', 'q']);
    expect(moves).toHaveLength(4);
  });

  it('takes a host from late work for work in time', () => {
    const free = {...CAPACITY, cpuMillis: 500};
    const busy = ['a', 'b', 'c'].map(id =>
      host(id, {free, idle: false, emptyInMs: 200}),
    );
    const moves = decide(
      pool('p', busy, {waiting: [waiting(40, {late: true})]}),
      pool('q', [], {waiting: [waiting(4)]}),
      pool('standby', []),
    );
    expect(moves).toEqual([]);
  });

  it('leaves hosts alone that would take long to become empty', () => {
    const free = {...CAPACITY, cpuMillis: 3000};
    const busy = ['a', 'b', 'c'].map(id =>
      host(id, {free, idle: false, emptyInMs: 5000}),
    );
    const moves = decide(
      pool('p', busy),
      pool('q', [], {waiting: [waiting(2)]}),
      pool('standby', []),
    );
    expect(moves).toEqual([]);
  });

  it('never moves a host with a task that lasts', () => {
    const moves = decide(
      pool('p', [host('a', {pinned: true}), host('b', {pinned: true})]),
      pool('q', [], {waiting: [waiting(2)]}),
      pool('standby', []),
    );
    expect(moves).toEqual([]);
  });
});
