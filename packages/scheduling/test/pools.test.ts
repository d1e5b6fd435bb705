import {workerKey, ZERO_SIZE, type Event, type State} from '@lentildrift/queue';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  ElasticPools,
  measureBacklog,
  measureDemand,
  measureLoad,
  NO_DEMAND,
  NO_DURATIONS,
  type Demand,
  type IntakePause,
  type PoolHost,
  type PoolView,
  type WaitingTasks,
} from '../src/index.js';
import {createTrialHost, packTasks} from '../src/packing.js';
import {stateOf, submit, worker} from './build.js';

function demandOf(state: State, nowMs = 0, pause?: IntakePause): Demand {
  const load = measureLoad(state);
  const backlog = measureBacklog(state);
  const demands = measureDemand(
    state,
    load,
    backlog,
    nowMs,
    NO_DURATIONS,
    pause,
  );
  return demands.get('p') ?? NO_DEMAND;
}

function waitingCounts({waiting}: Demand): number[] {
  return waiting.map(({count}) => count);
}

describe('the demand of a pool', () => {
  const started: Event = {type: 'start', runs: [['a.0.0.0', 1, 'w@1']]};

  it('counts running and ready tasks but not later steps', () => {
    const steps = [
      {count: 3, maxPerWorker: 1},
      {count: 9, after: [0]},
    ];
    const w = worker('w');
    const demand = demandOf(stateOf([w], submit('a', steps), started));
    expect(demand.reserved.cpuMillis).toBe(1000);
    expect(waitingCounts(demand)).toEqual([2]);
    expect(demand.waiting[0]!.maxPerWorker).toBe(1);
    expect(demand.waiting[0]!.running).toEqual(new Map([[workerKey(w), 1]]));
  });

  it('counts a job without a schedule although the clock was set back since its acceptance', () => {
    const state = stateOf([], submit('a', [{}], {atMs: 5000}));
    expect(waitingCounts(demandOf(state, 2600))).toEqual([1]);
  });

  it('leaves out tasks that the upper limit of the team keeps from running', () => {
    const state = stateOf([], submit('a', [{count: 5}], {team: 't'}));
    expect(waitingCounts(demandOf(state))).toEqual([2]);
  });

  it('includes later steps of jobs from the last second in the inflow', () => {
    const steps = [{count: 3}, {count: 9, after: [0]}];
    const state = stateOf([], submit('a', steps, {atMs: 5000}));
    expect(demandOf(state, 5500).inflowCpuMillis).toBe(12_000);
    expect(demandOf(state, 6500).inflowCpuMillis).toBe(0);
  });

  // A new leader took the time of its election for the end of a burst, and left
  // hosts on standby.
  it('does not take a time without a leader for a time without jobs', () => {
    const jobs = Array.from({length: 20}, (_, nth) =>
      submit(`a${nth}`, [{}], {atMs: 5000 + nth * 50}),
    );
    const state = stateOf([], ...jobs);
    const pause = {fromMs: 5950, untilMs: 7000};
    const steadyMillis = 20_000;
    for (const nowMs of [7000, 7020, 7040]) {
      const {inflowCpuMillis} = demandOf(state, nowMs, pause);
      expect(inflowCpuMillis).toBeGreaterThan(0.9 * steadyMillis);
      expect(inflowCpuMillis).toBeLessThan(1.1 * steadyMillis);
    }
    // Jobs from before the pause count only as long as the window includes them.
    expect(demandOf(state, 7500, pause).inflowCpuMillis).toBe(10_000);
    expect(demandOf(state, 8000, pause).inflowCpuMillis).toBe(0);
  });

  it('marks tasks of a job that will be late', () => {
    const state = stateOf([], submit('a', [{estimateMs: 1000}]));
    expect(demandOf(state, 0).waiting[0]!.late).toBe(false);
    expect(demandOf(state, 2900).waiting[0]!.late).toBe(true);
  });

  // With a backlog of 1,000 jobs, each rebalancing looked at 10,000 tasks.
  it('does not look at the tasks of a waiting job in each rebalancing', () => {
    const steps = [{count: 8}, {count: 3, after: [0]}];
    const state = stateOf([worker('w')], submit('a', steps), started);
    const job = state.jobs.get('a')!;
    let reads = 0;
    const counted = {
      ...job,
      get tasks() {
        reads++;
        return job.tasks;
      },
    };
    const load = measureLoad(state);
    const backlog = {...measureBacklog(state), waitingJobs: [counted]};
    const measure = (nowMs: number) =>
      measureDemand(state, load, backlog, nowMs, NO_DURATIONS).get('p')!;
    expect(waitingCounts(measure(0))).toEqual([7]);
    const readsOfFirst = reads;
    expect(readsOfFirst).toBeGreaterThan(0);
    for (let nowMs = 1; nowMs < 10; nowMs++) {
      expect(waitingCounts(measure(nowMs))).toEqual([7]);
    }
    expect(reads).toBe(readsOfFirst);
  });

  it('excludes long-running tasks from the inflow', () => {
    const state = stateOf([], submit('a', [{lasting: true}], {atMs: 5000}));
    expect(demandOf(state, 5500).inflowCpuMillis).toBe(0);
  });
});

const CAPACITY = {cpuMillis: 4000, memoryMb: 4000, gpus: 0};

function host(id: string, overrides: Partial<PoolHost> = {}): PoolHost {
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
    ...overrides,
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
  overrides: Partial<WaitingTasks> = {},
): WaitingTasks {
  return {
    count,
    size: {cpuMillis: 1000, memoryMb: 100, gpus: 0},
    label: undefined,
    maxPerWorker: 0,
    running: new Map(),
    late: false,
    ...overrides,
  };
}

function decideMoves(...pools: PoolView[]) {
  return new ElasticPools(1).decide(pools);
}

describe('elastic pools', () => {
  it('give a pool hosts for its waiting tasks and one host of headroom', () => {
    const moves = decideMoves(
      pool('p', [host('a')], {waiting: [waiting(9)]}),
      pool(
        'standby',
        ['b', 'c', 'd', 'e'].map(id => host(id)),
      ),
    );
    expect(moves.map(({to}) => to)).toEqual(['p', 'p', 'p']);
  });

  // A long-running task waited for seconds for a host, since a burst in another
  // pool took each one that became free, and a maintenance wave waited with it.
  it('give a host to the pool that lacks it for long-running tasks during a burst elsewhere', () => {
    const moves = decideMoves(
      pool('p', [], {waiting: [waiting(40)]}),
      pool('q', [], {waiting: [waiting(1, {lasting: true})]}),
      pool('standby', [host('a'), host('b')]),
    );
    expect(moves.map(({to}) => to)).toEqual(['q', 'p']);
  });

  // A long-running task that fits on no host gave its pool every host, by way of
  // the short tasks and the inflow of the pool.
  describe('with long-running tasks in a pool of other tasks', () => {
    const short = [waiting(100)];
    const unplaceable = waiting(1, {
      lasting: true,
      size: {...CAPACITY, cpuMillis: 9000},
    });
    const destinations = (demand: Partial<Demand>) =>
      decideMoves(
        pool('p', [], {waiting: short}),
        pool('q', [], demand),
        pool(
          'standby',
          ['a', 'b', 'c', 'd', 'e', 'f'].map(id => host(id)),
        ),
      ).map(({to}) => to);

    it('give no host for one that fits on none', () => {
      const demand = {waiting: [unplaceable, waiting(40)]};
      expect(destinations(demand)).toEqual(Array(6).fill('p'));
    });

    it('give no host for one that fits on none if the pool has an inflow', () => {
      const demand = {waiting: [unplaceable], inflowCpuMillis: 20_000};
      expect(destinations(demand)).toEqual(Array(6).fill('p'));
    });

    it('give one host for one that fits, and the others by shortage', () => {
      const demand = {waiting: [waiting(40), waiting(1, {lasting: true})]};
      expect(destinations(demand)).toEqual([
        'q',
        ...Array<string>(5).fill('p'),
      ]);
    });
  });

  it('count hosts that are being moved to the pool', () => {
    const moves = decideMoves(
      pool('p', [host('a')], {waiting: [waiting(6)]}, [host('b'), host('c')]),
      pool('standby', [host('d')]),
    );
    expect(moves).toEqual([]);
  });

  it('give a pool a host with the label that its tasks require', () => {
    const hostsWithoutLabel = [host('a'), host('b')];
    const hostWithLabel = host('c', {labels: ['fast']});
    const moves = decideMoves(
      pool('p', hostsWithoutLabel, {waiting: [waiting(1, {label: 'fast'})]}),
      pool('standby', [host('d'), hostWithLabel]),
    );
    expect(moves).toContainEqual({host: 'c', from: 'standby', to: 'p'});
    expect(moves.filter(({to}) => to === 'p')).toHaveLength(1);
  });

  it('give a pool enough hosts for the limit of tasks on one worker', () => {
    const running = new Map([['a@1', 1]]);
    const row = waiting(2, {maxPerWorker: 1, running});
    const moves = decideMoves(
      pool('p', [host('a', {idle: false})], {waiting: [row]}),
      pool(
        'standby',
        ['b', 'c', 'd'].map(id => host(id)),
      ),
    );
    expect(moves).toHaveLength(2);
  });

  it('move no host for a task that fits on none', () => {
    const oversizedTask = waiting(1, {size: {...CAPACITY, cpuMillis: 9000}});
    const moves = decideMoves(
      pool('p', [host('a')], {waiting: [oversizedTask]}),
      pool('standby', [host('b')]),
    );
    expect(moves).toEqual([]);
  });

  it('do not move a host to a pool from which the provider excludes it', () => {
    const moves = decideMoves(
      pool('p', [], {waiting: [waiting(1)]}),
      pool('standby', [host('a', {excludedPools: new Set(['p'])})]),
    );
    expect(moves).toEqual([]);
  });

  it('give a pool hosts for its inflow before tasks wait', () => {
    const moves = decideMoves(
      pool('p', [host('a')], {inflowCpuMillis: 12_000}),
      pool(
        'standby',
        ['b', 'c', 'd', 'e'].map(id => host(id)),
      ),
    );
    expect(moves).toHaveLength(2);
  });

  // A pool of the size of its inflow kept its queue for the whole burst, and
  // nearly all jobs were served late.
  it('give a pool hosts for its inflow in addition to those for its queue', () => {
    const busy = ['a', 'b'].map(id =>
      host(id, {free: ZERO_SIZE, idle: false, emptyInMs: 800}),
    );
    const demand = {
      reserved: {cpuMillis: 8000, memoryMb: 800, gpus: 0},
      waiting: [waiting(12)],
      inflowCpuMillis: 20_000,
    };
    const moves = decideMoves(
      pool('p', busy, demand),
      pool(
        'standby',
        ['c', 'd', 'e', 'f', 'g', 'h', 'i'].map(id => host(id)),
      ),
    );
    // Three for the queue, three for what the inflow adds to what runs.
    expect(moves).toHaveLength(6);
  });

  it('give each host to the pool that is short of the most capacity at that point', () => {
    const moves = decideMoves(
      pool('p', [host('a')], {waiting: [waiting(8)]}),
      pool('q', [host('b')], {waiting: [waiting(16)]}),
      pool(
        'standby',
        ['c', 'd', 'e'].map(id => host(id)),
      ),
    );
    expect(moves.map(({to}) => to)).toEqual(['q', 'q', 'p']);
  });

  // What a worker that has shrunk lacks was taken from the others' headroom.
  it('give a pool with headroom no host because a worker has shrunk', () => {
    const shrunk = host('a', {
      capacity: ZERO_SIZE,
      free: {cpuMillis: -1000, memoryMb: -100, gpus: 0},
      idle: false,
    });
    const moves = decideMoves(
      pool('p', [shrunk, host('b')]),
      pool('standby', [host('c')]),
    );
    expect(moves).toEqual([]);
  });

  it('move idle hosts to standby except for one host of headroom', () => {
    const moves = decideMoves(
      pool('p', [host('a'), host('b'), host('c', {free: ZERO_SIZE})]),
      pool('standby', []),
    );
    expect(moves).toHaveLength(1);
    expect(moves[0]).toMatchObject({from: 'p', to: 'standby'});
  });

  it('keep a host that a waiting task needs', () => {
    const moves = decideMoves(
      pool('p', [host('a'), host('b')], {waiting: [waiting(2)]}),
      pool('standby', []),
    );
    expect(moves).toEqual([]);
  });

  it('move a busy host that will soon be idle to a pool that needs it', () => {
    const free = {...CAPACITY, cpuMillis: 3000};
    const busy = ['a', 'b', 'c'].map(id =>
      host(id, {free, idle: false, emptyInMs: 200}),
    );
    const moves = decideMoves(
      pool('p', busy),
      pool('q', [], {waiting: [waiting(2)]}),
      pool('standby', []),
    );
    expect(moves.filter(({to}) => to === 'q').length).toBeGreaterThan(0);
  });

  it('serve tasks that can be in time before late ones', () => {
    const moves = decideMoves(
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

  it('keep busy hosts in a pool without headroom even if its waiting tasks are late', () => {
    const free = {...CAPACITY, cpuMillis: 500};
    const busy = ['a', 'b', 'c'].map(id =>
      host(id, {free, idle: false, emptyInMs: 200}),
    );
    const moves = decideMoves(
      pool('p', busy, {waiting: [waiting(40, {late: true})]}),
      pool('q', [], {waiting: [waiting(4)]}),
      pool('standby', []),
    );
    expect(moves).toEqual([]);
  });

  it('do not move a host that will be busy for long', () => {
    const free = {...CAPACITY, cpuMillis: 3000};
    const busy = ['a', 'b', 'c'].map(id =>
      host(id, {free, idle: false, emptyInMs: 5000}),
    );
    const moves = decideMoves(
      pool('p', busy),
      pool('q', [], {waiting: [waiting(2)]}),
      pool('standby', []),
    );
    expect(moves).toEqual([]);
  });

  it('never move a host with a long-running task', () => {
    const moves = decideMoves(
      pool('p', [host('a', {pinned: true}), host('b', {pinned: true})]),
      pool('q', [], {waiting: [waiting(2)]}),
      pool('standby', []),
    );
    expect(moves).toEqual([]);
  });
});

describe('the trial packing of a backlog', () => {
  it('places and leaves the same tasks as a trial of each task on each host', () => {
    const sizes = fc.record({
      cpuMillis: fc.constantFrom(0, 1000, 3000),
      memoryMb: fc.constantFrom(100, 2000),
      gpus: fc.constantFrom(0, 1),
    });
    const tasks = fc.record({
      count: fc.integer({min: 1, max: 4}),
      size: sizes,
      label: fc.constantFrom(undefined, 'x'),
      maxPerWorker: fc.constantFrom(0, 0, 1),
    });
    const hosts = fc.array(
      fc.record({
        labels: fc.constantFrom([], ['x']),
        gpus: fc.integer({min: 0, max: 2}),
      }),
      {maxLength: 4},
    );
    /** Packs each row alone, after those before it. */
    const packSeparately = (
      trialHosts: ReturnType<typeof createTrialHost>[],
      rows: readonly WaitingTasks[],
    ) =>
      rows.reduce(
        (packing, row) => {
          const next = packTasks(packing.hosts, [row]);
          const unplaced = [...packing.unplaced, ...next.unplaced];
          return {hosts: next.hosts, unplaced};
        },
        packTasks(trialHosts, []),
      );
    fc.assert(
      fc.property(hosts, fc.array(tasks, {maxLength: 8}), (rows, backlog) => {
        const trialHosts = rows.map(({labels, gpus}, at) =>
          createTrialHost(host(`h${at}`, {labels, free: {...CAPACITY, gpus}})),
        );
        const waitingTasks = backlog.map(({count, ...more}) =>
          waiting(count, more),
        );
        expect(packTasks(trialHosts, waitingTasks)).toEqual(
          packSeparately(trialHosts, waitingTasks),
        );
      }),
      {numRuns: 500},
    );
  });

  it('looks at full hosts once for each kind of task, not for each job', () => {
    let looks = 0;
    const full = Array.from({length: 50}, (_, at) => {
      const row = host(`h${at}`, {free: ZERO_SIZE});
      return Object.defineProperty({...row}, 'labels', {
        get() {
          looks++;
          return ['x'];
        },
      });
    });
    const backlog = Array.from({length: 200}, () => waiting(1, {label: 'x'}));
    const {unplaced} = packTasks(full.map(createTrialHost), backlog);
    expect(unplaced).toEqual(backlog);
    expect(looks).toBeLessThanOrEqual(2 * full.length);
  });
});

describe('the moves for tasks that can be in time', () => {
  it('are applied with one look at each host, however many they are', () => {
    let looks = 0;
    const counted = (id: string) =>
      Object.defineProperty({...host(id)}, 'id', {
        enumerable: true,
        get() {
          looks++;
          return id;
        },
      });
    const standby = Array.from({length: 100}, (_, at) => counted(`s${at}`));
    const busy = Array.from({length: 100}, (_, at) => ({
      ...host(`b${at}`),
      free: ZERO_SIZE,
      idle: false,
    }));
    const moves = decideMoves(
      {...pool('standby', []), serving: standby},
      pool('p', busy, {waiting: [waiting(200)]}),
    );
    expect(moves.length).toBeGreaterThan(40);
    // A few looks at each host in each of the two divisions, and at its moves.
    expect(looks).toBeLessThanOrEqual(8 * standby.length);
  });
});
