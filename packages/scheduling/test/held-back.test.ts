/** Tests what a round tells about the tasks that it does not start. */
import {
  apply,
  workerKey,
  type Event,
  type State,
  type Worker,
} from '@lentildrift/queue';
import {expect, it} from 'vitest';
import {
  ArrivalOrder,
  groupByPool,
  heldTaskName,
  measureBacklog,
  measureLoad,
  NO_DURATIONS,
  PackPlacement,
  plan,
  type HoldReason,
  type PlanInput,
} from '../src/index.js';
import {QUEUE, stateOf, submit, worker} from './build.js';

const SMALL = {cpuMillis: 1000, memoryMb: 1000, gpus: 0};
const FULL = worker('w', {capacity: {...SMALL, cpuMillis: 500}});

function heldBack(state: State, overrides: Partial<PlanInput> = {}) {
  return plan({
    state,
    load: measureLoad(state),
    backlog: measureBacklog(state),
    candidatesIn: groupByPool(
      state.workers.values().map(row => ({
        key: workerKey(row),
        worker: row,
        free: row.capacity,
        emptyInMs: 0,
        quarantined: false,
      })),
    ),
    trialSlotsIn: () => 0,
    maxLateStarts: Infinity,
    nowMs: 0,
    durations: NO_DURATIONS,
    advisedWorkers: new Map(),
    order: new ArrivalOrder(),
    placement: new PackPlacement(),
    ...overrides,
  }).heldBack;
}

const reasonsOf = (state: State, overrides?: Partial<PlanInput>) =>
  heldBack(state, overrides).tasks.map(held => [
    heldTaskName(held),
    held.reason,
  ]);

/** A first run of each of these tasks on a worker that is lost. */
function loseRuns(tasks: readonly string[]): Event[] {
  const runs = tasks.map((task): [string, number, string] => [
    task,
    1,
    'lost@1',
  ]);
  return [
    {type: 'worker', worker: worker('lost')},
    {type: 'start', runs},
    {type: 'worker-gone', worker: 'lost@1'},
  ];
}

function suspect(task: string): Event {
  return {
    type: 'crash',
    worker: 'w@1',
    tasks: [task],
    isCertain: true,
    isPrompt: true,
    isAlone: false,
  };
}

interface Case {
  readonly workers: Worker[];
  readonly events: Event[];
  readonly overrides?: Partial<PlanInput>;
  readonly advice?: boolean;
  readonly held: readonly (readonly [string, HoldReason])[];
}

const CASES: readonly (readonly [string, Case])[] = [
  [
    'a start that may still arrive',
    {
      workers: [worker('w')],
      events: [submit('a', [{count: 2}])],
      overrides: {
        allowedWorkers: task => (task === 'a.0.0.1' ? [] : undefined),
      },
      held: [['a.0.0.1', 'late-start']],
    },
  ],
  [
    'the loss of the only worker that it may start on',
    {
      workers: [worker('w')],
      events: [submit('a', [{}])],
      overrides: {allowedWorkers: () => ['lost@1']},
      held: [['a.0.0.0', 'pinned']],
    },
  ],
  [
    "its team's cap",
    {
      workers: [worker('w')],
      events: [submit('a', [{count: 4}], {team: 't'})],
      held: [['a.0.0.2', 'cap']],
    },
  ],
  [
    'lack of room, also behind others of its size',
    {
      workers: [FULL],
      events: [submit('a', [{count: 2}]), submit('b', [{}])],
      held: [
        ['a.0.0.0', 'no-room'],
        ['b.0.0.0', 'no-room'],
      ],
    },
  ],
  [
    'a suspicion',
    {
      workers: [worker('w')],
      events: [
        submit('b', [{}]),
        submit('a', [{}]),
        ...loseRuns(['a.0.0.0']),
        suspect('a.0.0.0'),
      ],
      held: [['a.0.0.0', 'trial']],
    },
  ],
  [
    'lack of advice',
    {
      workers: [worker('w')],
      events: [submit('a', [{}])],
      advice: true,
      held: [['a.0.0.0', 'advice']],
    },
  ],
  [
    'a leader that is busy',
    {
      workers: [worker('w')],
      events: [submit('a', [{}])],
      overrides: {maxLateStarts: 0, nowMs: 10_000},
      held: [['a.0.0.0', 'paced']],
    },
  ],
  [
    'a member of its gang that runs',
    {
      workers: [worker('w')],
      events: [
        submit('a', [{count: 2, gang: true}]),
        {type: 'start', runs: [['a.0.0.1', 1, 'w@1']]},
      ],
      held: [['a.0.0.0', 'gang']],
    },
  ],
];

it.each(CASES)('names %s as what holds a task back', (_, each) => {
  const state = stateOf(each.workers, ...each.events);
  const advice = {decideMs: 1, perWorkerMs: 1, validMs: 1000};
  const tables = {
    ...state.tables,
    queues: [{...QUEUE, ...(each.advice && {advice})}],
  };
  expect(reasonsOf({...state, tables}, each.overrides)).toEqual(each.held);
});

it('lists tasks that have run before behind a backlog, of which it lists few', () => {
  const backlog = Array.from({length: 100}, (_, nth) =>
    submit(`b${nth}`, [{count: 5}]),
  );
  const lost = ['a.0.0.1', 'a.0.0.3', 'a.0.0.4'];
  const state = apply(
    stateOf([], ...backlog, submit('a', [{count: 5}]), ...loseRuns(lost)),
    {events: [{type: 'worker', worker: FULL}]},
  ).state;
  const {tasks, count} = heldBack(state);
  expect(count('no-room')).toBe(505);
  const names = tasks.map(heldTaskName);
  expect(names).toEqual(expect.arrayContaining(lost));
  expect(names).toHaveLength(16 + lost.length);
});
