import {apply, EMPTY_STATE, type Event, type State} from '@lentildrift/queue';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  createStateIndex,
  measureBacklog,
  measureFleet,
  measureLoad,
  type StateView,
} from '../src/index.js';
import {stateOf, submit, worker} from './build.js';

const jobId = fc.constantFrom('a', 'b', 'c', 'd');
const workerId = fc.constantFrom('w1', 'w2', 'w3');
const pool = fc.constantFrom('p', 'other');
const bornMs = fc.integer({min: 1, max: 2});
const runRow = fc.tuple(
  fc
    .tuple(
      jobId,
      fc.integer({min: 0, max: 1}),
      fc.integer({min: 0, max: 1}),
      fc.integer({min: 0, max: 2}),
    )
    .map(
      ([id, occurrence, step, index]) => `${id}.${occurrence}.${step}.${index}`,
    ),
  fc.integer({min: 1, max: 3}),
  fc.tuple(workerId, bornMs).map(([id, born]) => `${id}@${born}`),
);

const step = fc.record({
  count: fc.integer({min: 1, max: 3}),
  cpu: fc.integer({min: 0, max: 3000}),
  gang: fc.boolean(),
  filler: fc.boolean(),
  lasting: fc.boolean(),
});

const event: fc.Arbitrary<Event> = fc.oneof(
  {
    weight: 2,
    arbitrary: fc
      .record({
        id: jobId,
        steps: fc.array(step, {minLength: 1, maxLength: 2}),
        atMs: fc.integer({min: 0, max: 100}),
        team: fc.constantFrom(undefined, 't', 'u'),
        times: fc.constantFrom(undefined, 2),
      })
      .map(({id, steps, atMs, team, times}) =>
        submit(id, steps, {
          atMs,
          ...(team !== undefined && {team}),
          ...(times !== undefined && {
            schedule: {startAtMs: 0, intervalMs: 1, times},
          }),
        }),
      ),
  },
  jobId.map((job): Event => ({type: 'cancel', job})),
  jobId.map((id): Event => ({type: 'forget', jobs: [id]})),
  fc
    .record({
      id: workerId,
      pool,
      bornMs,
      host: fc.constantFrom('m1', 'm2', ''),
      phase: fc.constantFrom('ready', 'draining', 'gone'),
    })
    .map(({id, ...overrides}): Event => ({
      type: 'worker',
      worker: worker(id, overrides),
    })),
  fc.tuple(workerId, bornMs).map(([id, born]): Event => ({
    type: 'worker-gone',
    worker: `${id}@${born}`,
  })),
  {
    weight: 6,
    arbitrary: fc
      .array(runRow, {minLength: 1, maxLength: 4})
      .map((runs): Event => ({type: 'start', runs})),
  },
  fc
    .array(runRow, {minLength: 1, maxLength: 2})
    .map((runs): Event => ({type: 'lost', runs})),
  fc
    .record({
      row: runRow,
      upTo: fc.integer({min: 1, max: 50}),
      how: fc.constantFrom('done', 'failed', 'stopped'),
    })
    .map(({row: [task, run, key], upTo, how}): Event => ({
      type: 'ends',
      worker: key,
      upTo,
      ends: [[task, run, how, '']],
    })),
);

/** Events, and by how many states to go back before they are applied. */
const change = fc.record({
  events: fc.array(event, {minLength: 1, maxLength: 6}),
  back: fc.oneof(fc.constant(0), fc.integer({min: 0, max: 3})),
});

function expectViewOf(state: State, {load, backlog, fleet}: StateView): void {
  expect(load).toEqual(measureLoad(state));
  const active = state.jobs.values().filter(({phase}) => phase === 'active');
  expect(state.activeJobCount).toBe(active.length);
  expect(backlog.waitingJobs).toEqual(measureBacklog(state).waitingJobs);
  const measured = measureFleet(state);
  expect(fleet.workers).toEqual(measured.workers);
  expect(fleet.draining).toEqual(measured.draining);
  for (const name of ['p', 'other']) {
    expect(fleet.workersIn(name)).toEqual(measured.workersIn(name));
  }
  for (const host of ['m1', 'm2', '']) {
    expect(fleet.newestOn(host)).toEqual(measured.newestOn(host));
  }
}

describe('the index of a state', () => {
  it('equals the measured views after any changes, forwards and backwards', () => {
    fc.assert(
      fc.property(fc.array(change, {maxLength: 12}), changes => {
        const index = createStateIndex();
        const states: State[] = [
          stateOf([worker('w1', {host: 'm1'}), worker('w2', {host: 'm2'})]),
        ];
        for (const {events, back} of changes) {
          // A state is left for an earlier one when a planned change is
          // rejected, or when a report arrives before its commit.
          const base = states.at(-1 - back) ?? states[0]!;
          expectViewOf(base, index.viewOf(base));
          const {state} = apply(base, {events});
          expectViewOf(state, index.viewOf(state));
          states.push(state);
        }
      }),
      {numRuns: 200},
    );
  });

  it('returns the runs of any state, without moving to the last one', () => {
    const changes = fc.array(change, {minLength: 1, maxLength: 12});
    fc.assert(
      fc.property(changes, fc.array(fc.boolean()), (rows, moves) => {
        let moved = 0;
        const index = createStateIndex({onMoved: () => moved++});
        const states: State[] = [stateOf([worker('w1'), worker('w2')])];
        const expectRunsOf = (state: State) => {
          const {runsByWorker} = measureLoad(state);
          for (const key of ['w1@1', 'w1@2', 'w2@1', 'w3@1', 'w3@2']) {
            expect(index.runsOn(key, state)).toEqual(
              runsByWorker.get(key) ?? [],
            );
          }
        };
        rows.forEach(({events, back}, at) => {
          const base = states.at(-1 - back) ?? states[0]!;
          index.viewOf(base);
          const {state} = apply(base, {events});
          index.viewOf(state);
          const movedBefore = moved;
          expectRunsOf(base);
          expectRunsOf(state);
          expectRunsOf(base);
          expect(moved).toBe(movedBefore);
          if (moves[at]) expectRunsOf(states[0]!);
          states.push(state);
        });
      }),
      {numRuns: 200},
    );
  });

  it('returns the jobs accepted after a time, which never decreases', () => {
    const accepted = fc.array(
      fc.record({atMs: fc.integer({min: 0, max: 100}), lasting: fc.boolean()}),
    );
    const times = fc.array(fc.integer({min: 0, max: 100}));
    fc.assert(
      fc.property(accepted, times, (jobs, sinceMs) => {
        const index = createStateIndex();
        let state = EMPTY_STATE;
        const ids = ({backlog}: StateView, since: number) =>
          [...backlog.recentJobs(since)].map(({spec}) => spec.id).sort();
        sinceMs.sort((a, b) => a - b);
        jobs.forEach(({atMs, lasting}, at) => {
          const next = submit(`j${at}`, [{lasting}], {atMs});
          state = apply(state, {events: [next]}).state;
          const since = sinceMs[at] ?? 100;
          const measured = {
            ...index.viewOf(state),
            backlog: measureBacklog(state),
          };
          expect(ids(index.viewOf(state), since)).toEqual(ids(measured, since));
        });
      }),
    );
  });
});
