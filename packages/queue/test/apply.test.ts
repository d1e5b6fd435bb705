import {describe, expect, it} from 'vitest';
import {
  apply,
  Change,
  EMPTY_STATE,
  EMPTY_TABLES,
  Event,
  findContradiction,
  findQueue,
  findTeam,
  fromStored,
  Step,
  StoredState,
  toStored,
  type EndRow,
  type Outcome,
  type State,
  type Tables,
  type Worker,
} from '../src/index.js';

const TABLES: Tables = {
  ...EMPTY_TABLES,
  version: 3,
  document: 'three',
  pools: [{name: 'p', guardsCapacity: false, standby: false}],
  queues: [
    {
      name: 'q',
      host: 'h',
      prefix: '/q/',
      pool: 'p',
      timeoutMs: 1000,
      targetMs: 100,
      stretch: 2,
      maxAttempts: 2,
      priority: 0,
      open: true,
    },
  ],
};

const WORKER: Worker = {
  id: 'w',
  bornMs: 10,
  host: 'm',
  pool: 'p',
  address: '10.0.0.1:1',
  dataCentre: 'a',
  capacity: {cpuMillis: 1000, memoryMb: 1000, gpus: 0},
  labels: [],
  phase: 'ready',
  sequence: 1,
  cursor: 0,
};
const KEY = 'w@10';

function step(overrides: Partial<Step> = {}): Step {
  return Step.parse({
    count: 1,
    size: {cpuMillis: 1, memoryMb: 1, gpus: 0},
    ...overrides,
  });
}

function applyEvents(
  state: State,
  ...events: Event[]
): [State, readonly Outcome[]] {
  const applied = apply(state, {events});
  return [applied.state, applied.outcomes];
}

function submit(id: string, ...steps: Step[]): Event {
  return {
    type: 'submit',
    atMs: 0,
    job: {id, queue: 'q', payload: 'p', steps},
  };
}

function start(task: string, number = 1, worker = KEY): Event {
  return {type: 'start', runs: [[task, number, worker]]};
}

function end(
  upTo: number,
  task: string,
  how: 'done' | 'failed' | 'stopped',
  number = 1,
): Event {
  return {type: 'ends', worker: KEY, upTo, ends: [[task, number, how, '']]};
}

const [BASE] = applyEvents(
  EMPTY_STATE,
  {type: 'tables', tables: TABLES},
  {type: 'worker', worker: WORKER},
);

describe('the tables', () => {
  it('keep the highest version when an older one arrives later', () => {
    const older = {...TABLES, version: 2};
    const [state, outcomes] = applyEvents(BASE, {
      type: 'tables',
      tables: older,
    });
    expect(outcomes).toEqual(['overtaken']);
    expect(state.tables.version).toBe(3);
  });

  it('accept a repeated version only with the same content', () => {
    const other = {...TABLES, document: 'other'};
    const [state, outcomes] = applyEvents(
      BASE,
      {type: 'tables', tables: TABLES},
      {type: 'tables', tables: other},
    );
    expect(outcomes).toEqual(['known', 'conflict']);
    expect(state.tables.document).toBe('three');
  });

  it('contradict themselves if they name unknown pools or repeat keys or addresses', () => {
    const [queue] = TABLES.queues;
    const team = {name: 't', keys: ['k'], weight: 1, cap: WORKER.capacity};
    expect(findContradiction(TABLES)).toBeUndefined();
    expect(
      findContradiction({...TABLES, queues: [{...queue!, pool: 'x'}]}),
    ).toMatch('unknown pool x');
    expect(
      findContradiction({...TABLES, queues: [queue!, {...queue!, name: 'r'}]}),
    ).toMatch('address');
    expect(
      findContradiction({...TABLES, teams: [team, {...team, name: 'u'}]}),
    ).toMatch('key k');
  });

  it('are not searched row by row for each call, job and key', () => {
    const [queue] = TABLES.queues;
    const team = {name: 't', keys: ['k'], weight: 1, cap: WORKER.capacity};
    let reads = 0;
    const countReads = <T extends object>(row: T): T =>
      new Proxy(row, {
        get(target, property, receiver) {
          reads++;
          return Reflect.get(target, property, receiver);
        },
      });
    const rows = Array.from({length: 1000}, (_, at) => at);
    const tables: Tables = {
      ...TABLES,
      queues: rows.map(at =>
        countReads({...queue!, name: `q${at}`, prefix: `/q${at}/`}),
      ),
      teams: rows.map(at =>
        countReads({...team, name: `t${at}`, keys: [`k${at}`]}),
      ),
    };
    expect(findQueue(tables, 'h', '/q999/a')?.name).toBe('q999');
    const readsForIndex = reads;
    for (const at of rows) {
      expect(findQueue(tables, 'h', `/q${at}/a`)?.name).toBe(`q${at}`);
      expect(findTeam(tables, `k${at}`)?.name).toBe(`t${at}`);
    }
    // One for the name that each check reads.
    expect(reads - readsForIndex).toBeLessThanOrEqual(2 * rows.length);
  });

  it('route a path to the queue with the longest matching prefix', () => {
    const [queue] = TABLES.queues;
    const longer = {...queue!, name: 'r', prefix: '/q/x/'};
    const tables = {...TABLES, queues: [queue!, longer]};
    expect(findQueue(tables, 'h', '/q/x/1')?.name).toBe('r');
    expect(findQueue(tables, 'h', '/q/y')?.name).toBe('q');
    expect(findQueue(tables, 'other', '/q/y')).toBeUndefined();
  });
});

describe('a job', () => {
  it('exists once even if it is submitted several times', () => {
    const [state, outcomes] = applyEvents(
      BASE,
      submit('a', step()),
      submit('a', step()),
    );
    expect(outcomes).toEqual(['applied', 'known']);
    expect(state.jobs.size).toBe(1);
  });

  it('is completed only when its last task is done', () => {
    const [state] = applyEvents(
      BASE,
      submit('a', step({count: 2})),
      start('a.0.0.0'),
      start('a.0.0.1'),
      end(1, 'a.0.0.0', 'done'),
    );
    expect(state.jobs.get('a')!.phase).toBe('active');
    const [done] = applyEvents(state, end(2, 'a.0.0.1', 'done'));
    expect(done.jobs.get('a')!.phase).toBe('completed');
  });

  it('does not count a repeated end of a task as another task', () => {
    const [state, outcomes] = applyEvents(
      BASE,
      submit('a', step({count: 2})),
      start('a.0.0.0'),
      end(1, 'a.0.0.0', 'done'),
      end(1, 'a.0.0.0', 'done'),
      end(2, 'a.0.0.0', 'done'),
    );
    expect(outcomes[3]).toBe('known');
    expect(state.jobs.get('a')!.phase).toBe('active');
  });

  it('fails after the maximum number of failed runs of a task; stopped runs do not count', () => {
    const [state] = applyEvents(
      BASE,
      submit('a', step()),
      start('a.0.0.0'),
      end(1, 'a.0.0.0', 'failed'),
      start('a.0.0.0', 2),
      end(2, 'a.0.0.0', 'stopped', 2),
      start('a.0.0.0', 3),
    );
    expect(state.jobs.get('a')!.phase).toBe('active');
    const [failed] = applyEvents(state, end(3, 'a.0.0.0', 'failed', 3));
    expect(failed.jobs.get('a')!.phase).toBe('failed');
  });

  it('that is long-running stays active when its runs end or fail', () => {
    const [state] = applyEvents(
      BASE,
      submit('a', step({lasting: true})),
      start('a.0.0.0'),
      end(1, 'a.0.0.0', 'done'),
      start('a.0.0.0', 2),
      end(2, 'a.0.0.0', 'failed', 2),
      start('a.0.0.0', 3),
      end(3, 'a.0.0.0', 'failed', 3),
    );
    expect(state.jobs.get('a')!.phase).toBe('active');
  });

  it('that is cancelled starts no runs and stays cancelled', () => {
    const [state, outcomes] = applyEvents(
      BASE,
      submit('a', step()),
      {type: 'cancel', job: 'a'},
      start('a.0.0.0'),
      submit('a', step()),
      {type: 'cancel', job: 'unknown'},
    );
    expect(outcomes.slice(1)).toEqual([
      'applied',
      'conflict',
      'known',
      'unknown',
    ]);
    expect(state.jobs.get('a')!.phase).toBe('cancelled');
  });

  it('completes all members of a gang when one of them is done', () => {
    const [state] = applyEvents(
      BASE,
      submit('a', step({count: 3, gang: true})),
      start('a.0.0.0'),
      start('a.0.0.1'),
      start('a.0.0.2'),
      end(1, 'a.0.0.1', 'done'),
    );
    expect(state.jobs.get('a')!.phase).toBe('completed');
  });
});

describe('a run', () => {
  it('is rejected while its task has another run, unless the step is speculative', () => {
    const [, outcomes] = applyEvents(
      BASE,
      submit('a', step()),
      submit('b', step({speculative: true})),
      start('a.0.0.0'),
      start('a.0.0.0', 2),
      start('b.0.0.0'),
      start('b.0.0.0', 2),
    );
    expect(outcomes.slice(2)).toEqual([
      'applied',
      'conflict',
      'applied',
      'applied',
    ]);
  });

  it('is rejected on an outdated incarnation of a worker', () => {
    const [, outcomes] = applyEvents(
      BASE,
      submit('a', step()),
      start('a.0.0.0', 1, 'w@9'),
    );
    expect(outcomes[1]).toBe('conflict');
  });

  it('is removed when its worker announces a new incarnation', () => {
    const [state] = applyEvents(BASE, submit('a', step()), start('a.0.0.0'), {
      type: 'worker',
      worker: {...WORKER, bornMs: 20},
    });
    expect(state.jobs.get('a')!.tasks['0.0.0']!.runs).toEqual([]);
    const [, outcomes] = applyEvents(state, start('a.0.0.0', 2, 'w@20'));
    expect(outcomes).toEqual(['applied']);
  });

  // The next incarnation had run it and lists its end later.
  it('that is carried over to a new incarnation is not started again before its end is reported', () => {
    const next = {...WORKER, bornMs: 20};
    const [state, outcomes] = applyEvents(
      BASE,
      submit('a', step({count: 2})),
      start('a.0.0.0'),
      start('a.0.0.1'),
      {type: 'worker', worker: next, carriedRuns: [['a.0.0.0', 1, KEY]]},
      start('a.0.0.0', 2, 'w@20'),
      start('a.0.0.1', 2, 'w@20'),
    );
    expect(outcomes.slice(3)).toEqual(['applied', 'conflict', 'applied']);
    expect(state.runsByWorker.get('w@20')).toEqual(['a', 'a']);
    const [done] = applyEvents(state, {
      type: 'ends',
      worker: 'w@20',
      after: 0,
      upTo: 1,
      ends: [['a.0.0.0', 1, 'done', '']],
    });
    expect(done.jobs.get('a')!.tasks['0.0.0']).toMatchObject({
      done: true,
      runs: [],
    });
  });

  it('that was recorded as lost still completes its task if its end is reported later', () => {
    const [state] = applyEvents(
      BASE,
      submit('a', step()),
      start('a.0.0.0'),
      {type: 'lost', runs: [['a.0.0.0', 1, KEY]]},
      end(1, 'a.0.0.0', 'done'),
    );
    expect(state.jobs.get('a')!.phase).toBe('completed');
  });
});

describe('a worker', () => {
  it('ignores delayed announcements of old incarnations and earlier states', () => {
    const draining = {...WORKER, phase: 'draining', sequence: 5} as const;
    const [state, outcomes] = applyEvents(
      BASE,
      {type: 'worker', worker: {...WORKER, bornMs: 5}},
      {type: 'worker', worker: draining},
      {type: 'worker', worker: {...WORKER, sequence: 4}},
      {type: 'worker', worker: {...draining, phase: 'gone', sequence: 8}},
      {type: 'worker', worker: {...WORKER, sequence: 8}},
      {type: 'worker', worker: {...draining, sequence: 9}},
    );
    expect(outcomes).toEqual([
      'overtaken',
      'applied',
      'overtaken',
      'applied',
      'overtaken',
      'overtaken',
    ]);
    expect(state.workers.get('w')!.phase).toBe('gone');
  });

  it('is in use again once it is ready in an announcement after its departure', () => {
    const [state, outcomes] = applyEvents(
      BASE,
      {type: 'worker', worker: {...WORKER, phase: 'gone', sequence: 8}},
      {type: 'worker', worker: {...WORKER, sequence: 9}},
    );
    expect(outcomes).toEqual(['applied', 'applied']);
    expect(state.workers.get('w')!.phase).toBe('ready');
  });
});

describe('the suspended leases of a worker', () => {
  const workers = ['w', 'unknown'];
  const suspend = (token: number): Event => ({
    type: 'leases-suspended',
    token,
    workers,
  });
  const resume: Event = {type: 'leases-resumed', workers};

  function suspendedSince(state: State): number | undefined {
    return state.workers.get('w')?.suspendedSince;
  }

  // Leaders after the first have granted none either.
  it('count from the first leader that has granted none, also after a snapshot', () => {
    const [state] = applyEvents(BASE, suspend(4), suspend(5));
    expect(suspendedSince(state)).toBe(4);
    const stored = StoredState.parse(toStored(state));
    expect(suspendedSince(fromStored(stored))).toBe(4);
  });

  // A later incarnation carries out calls that were meant for the earlier one.
  it('stay suspended for its next incarnation', () => {
    const next = {...WORKER, bornMs: 20};
    const [state] = applyEvents(BASE, suspend(4), {
      type: 'worker',
      worker: next,
    });
    expect(suspendedSince(state)).toBe(4);
  });

  // A departure is recorded with the values that the worker had before.
  it('are not suspended again by a record from before their resumption', () => {
    const [suspended] = applyEvents(BASE, suspend(4));
    const worker = {...suspended.workers.get('w')!, phase: 'gone'} as const;
    const [state] = applyEvents(suspended, resume, {type: 'worker', worker});
    expect(state.workers.get('w')!.phase).toBe('gone');
    expect(suspendedSince(state)).toBeUndefined();
  });
});

describe('the ends of a worker', () => {
  const [running] = applyEvents(
    BASE,
    submit('a', step({count: 3})),
    start('a.0.0.0'),
    start('a.0.0.1'),
  );

  function ends(after: number, upTo: number, ...tasks: string[]): Event {
    const rows = tasks.map((task): EndRow => [task, 1, 'failed', '']);
    return {type: 'ends', worker: KEY, after, upTo, ends: rows};
  }

  // The cursor moved over the missing ends, and their tasks ran again.
  it('are refused while ends before them are not recorded', () => {
    const [state, outcomes] = applyEvents(running, ends(1, 2, 'a.0.0.1'));
    expect(outcomes).toEqual(['outdated']);
    expect(state.jobs).toBe(running.jobs);
    expect(state.workers).toBe(running.workers);
    const [complete, all] = applyEvents(
      state,
      ends(0, 1, 'a.0.0.0'),
      ends(1, 2, 'a.0.0.1'),
    );
    expect(all).toEqual(['applied', 'applied']);
    expect(complete.workers.get('w')!.cursor).toBe(2);
  });

  it('are not counted twice when they are queued again with later ones', () => {
    const [state, outcomes] = applyEvents(
      running,
      ends(0, 1, 'a.0.0.0'),
      ends(0, 2, 'a.0.0.0', 'a.0.0.1'),
      ends(0, 1, 'a.0.0.0'),
    );
    expect(outcomes).toEqual(['applied', 'outdated', 'known']);
    expect(state.jobs.get('a')!.tasks['0.0.0']!.failures).toBe(1);
  });

  it('are accepted although their numbers have gaps', () => {
    const [state, outcomes] = applyEvents(
      running,
      ends(0, 4, 'a.0.0.0'),
      ends(4, 9, 'a.0.0.1'),
    );
    expect(outcomes).toEqual(['applied', 'applied']);
    expect(state.workers.get('w')!.cursor).toBe(9);
  });

  it('in records of earlier versions, which do not name the end before them, are applied', () => {
    const record = Event.parse(
      JSON.parse(JSON.stringify(end(2, 'a.0.0.1', 'done'))),
    );
    const [state, outcomes] = applyEvents(running, record);
    expect(outcomes).toEqual(['applied']);
    expect(state.workers.get('w')!.cursor).toBe(2);
  });
});

describe('the state', () => {
  it('is the same after it was stored and restored', () => {
    const [state] = applyEvents(
      BASE,
      submit('a', step({count: 2})),
      start('a.0.0.0'),
      {type: 'duty', duty: {host: 'm', to: 'p', by: 'l', done: false, atMs: 1}},
      {
        type: 'statistics',
        rows: [
          {
            queue: 'q',
            count: 3,
            mean: 7,
            variance: 0.2,
            estimateError: 0.4,
            stepVariance: 0.1,
          },
        ],
      },
      {
        type: 'wave',
        wave: {
          id: 1,
          durationMs: 1,
          atOnce: 1,
          acceptedAtMs: 0,
          hosts: {m: 'due'},
        },
      },
    );
    const text = JSON.stringify(toStored(state));
    expect(fromStored(StoredState.parse(JSON.parse(text)))).toEqual(state);
  });
});

describe('the workers at which a task may start late', () => {
  const submitted = (): State => {
    const steps = [step()];
    const job = {id: 'a', queue: 'q', payload: '', steps};
    return applyEvents(
      EMPTY_STATE,
      {type: 'tables', tables: TABLES},
      {type: 'worker', worker: WORKER},
      {type: 'submit', job, atMs: 0},
      {type: 'start', runs: [['a.0.0.0', 1, KEY]]},
    )[0];
  };
  const LATE = {worker: KEY, lastMs: 700, mayRun: false};
  const lateOn = (state: State) => state.jobs.get('a')?.tasks['0.0.0']?.lateOn;

  // The next leader knew nothing of the attempts, and placed the task elsewhere.
  it('are kept when the run is lost, and when the state is stored', () => {
    const [state] = applyEvents(
      submitted(),
      {type: 'late-starts', rows: [['a.0.0.0', [LATE]]]},
      {type: 'lost', runs: [['a.0.0.0', 1, KEY]]},
    );
    expect(lateOn(state)).toEqual([LATE]);
    const text = JSON.stringify(toStored(state));
    const restored = fromStored(StoredState.parse(JSON.parse(text)));
    expect(lateOn(restored)).toEqual([LATE]);
  });

  it('are dropped when none is left, and not recorded for ended jobs', () => {
    const base = submitted();
    const [late] = applyEvents(base, {
      type: 'late-starts',
      rows: [['a.0.0.0', [LATE]]],
    });
    const [state] = applyEvents(late, {
      type: 'late-starts',
      rows: [['a.0.0.0', []]],
    });
    expect(state.jobs).toEqual(base.jobs);
    const [ended] = applyEvents(
      base,
      {type: 'lost', runs: [['a.0.0.0', 1, KEY]]},
      {type: 'cancel', job: 'a'},
      {type: 'late-starts', rows: [['a.0.0.0', [LATE]]]},
      {type: 'late-starts', rows: [['b.0.0.0', [LATE]]]},
    );
    expect(lateOn(ended)).toBeUndefined();
  });

  // An entry without a time counts from the beginning of the next leader.
  it('are read from states that name the workers only', () => {
    const row = ['a.0.0.0', [KEY]];
    const change = {events: [{type: 'late-starts', rows: [row]}]};
    const {state} = apply(submitted(), Change.parse(change));
    expect(lateOn(state)).toEqual([{worker: KEY, mayRun: true}]);
  });
});

// A leader that is behind would make what is on record younger than it is.
it('the time for which leaders have led does not go back, and is stored', () => {
  const ledMs = [500, 1200, 900];
  const state = ledMs.reduce(
    (last, each) => apply(last, {events: [], ledMs: each}).state,
    EMPTY_STATE,
  );
  expect(state.ledMs).toBe(1200);
  const text = JSON.stringify(toStored(state));
  expect(fromStored(StoredState.parse(JSON.parse(text))).ledMs).toBe(1200);
});
