import {
  apply,
  PersistentMap,
  type DurationStatistics,
  type State,
} from '@lentildrift/queue';
import {describe, expect, it} from 'vitest';
import {
  DeadlineOrder,
  isLate,
  NO_DURATIONS,
  objectiveMs,
  type Durations,
} from '../src/index.js';
import {QUEUE, stateOf, submit, worker} from './build.js';

/** Statistics that count how often a duration is estimated from them. */
function countedStatistics(queue: string, durationMs: number) {
  let reads = 0;
  const row: DurationStatistics = {
    queue,
    count: 20,
    get mean() {
      reads++;
      return Math.log(durationMs);
    },
    variance: 0.25,
    estimateError: 0.5,
    stepVariance: 0.07,
  };
  return {row, reads: () => reads};
}

function durationsOf(...rows: DurationStatistics[]): Durations {
  const byQueue = PersistentMap.from(
    rows.map(row => [row.queue, row] as const),
  );
  return {...NO_DURATIONS, byQueue};
}

const STEPS = [{count: 8}, {count: 3, after: [0]}];

function inputOf(state: State, durations: Durations, nowMs = 0) {
  const job = state.jobs.get('a')!;
  return {job, queue: QUEUE, occurrence: 0, nowMs, durations};
}

describe('the order by deadline', () => {
  // Ranking a backlog of 1,000 jobs estimated each step several times in each
  // round and each rebalancing.
  it.each([
    ['in time', 0],
    ['late', 100_000],
  ])('does not estimate the steps of a job %s in each round', (_, nowMs) => {
    const state = stateOf([worker('w')], submit('a', STEPS));
    const {row, reads} = countedStatistics('q', 1000);
    const order = new DeadlineOrder();
    order.rank(inputOf(state, durationsOf(row), nowMs));
    const readsOfFirst = reads();
    expect(readsOfFirst).toBeGreaterThan(0);
    // The statistics of other queues change with most ends of runs.
    for (let round = 1; round < 10; round++) {
      const other = countedStatistics('other', round).row;
      const input = inputOf(state, durationsOf(row, other), nowMs + round);
      order.rank(input);
      isLate(input);
    }
    expect(reads()).toBe(readsOfFirst);
  });

  // A rank found the expectations of its job up to five times, which took most
  // of the time of a round with a long backlog.
  it.each([
    ['in time', 0],
    ['late', 100_000],
  ])('finds the expectations of a job %s once for a rank', (_, nowMs) => {
    const state = stateOf([worker('w')], submit('a', STEPS));
    const {byQueue, lastInStep} = durationsOf(countedStatistics('q', 1000).row);
    let reads = 0;
    const counted: Durations = {
      get byQueue() {
        reads++;
        return byQueue;
      },
      lastInStep,
    };
    const order = new DeadlineOrder();
    order.rank(inputOf(state, counted, nowMs));
    reads = 0;
    order.rank(inputOf(state, counted, nowMs));
    expect(reads).toBe(1);
    isLate(inputOf(state, counted, nowMs));
    expect(reads).toBe(2);
  });

  // The records of ended jobs stay for three minutes, and the expectations held
  // another 1.2 KB for each.
  it('keeps no expectations of jobs that have ended', () => {
    const state = stateOf([worker('w')], submit('a', STEPS));
    const {row, reads} = countedStatistics('q', 1000);
    const input = inputOf(state, durationsOf(row));
    const ended = {...input, job: {...input.job, phase: 'completed' as const}};
    objectiveMs(ended);
    const readsOfFirst = reads();
    objectiveMs(ended);
    expect(reads()).toBe(2 * readsOfFirst);
  });

  it('never ranks a job by earlier statistics of its queue', () => {
    const state = stateOf([worker('w')], submit('a', STEPS));
    const order = new DeadlineOrder();
    const rankFor = (durationMs: number, of: State) =>
      order.rank(
        inputOf(of, durationsOf(countedStatistics('q', durationMs).row)),
      );
    const fresh = () => stateOf([worker('w')], submit('a', STEPS));
    expect(rankFor(1000, state)).not.toBe(rankFor(4000, state));
    expect(rankFor(1000, state)).toBe(rankFor(1000, fresh()));
    const unknown = order.rank(inputOf(state, NO_DURATIONS));
    expect(unknown).toBe(order.rank(inputOf(fresh(), NO_DURATIONS)));
  });

  it('never counts a step that has completed since the last round', () => {
    const before = stateOf([worker('w')], submit('a', [{}, {after: [0]}]), {
      type: 'start',
      runs: [['a.0.0.0', 1, 'w@1']],
    });
    const after = apply(before, {
      events: [
        {
          type: 'ends',
          worker: 'w@1',
          upTo: 1,
          ends: [['a.0.0.0', 1, 'done', '']],
        },
      ],
    }).state;
    const order = new DeadlineOrder();
    const durations = durationsOf(countedStatistics('q', 1000).row);
    const slackMs = order.rank(inputOf(before, durations));
    expect(order.rank(inputOf(after, durations))).toBeGreaterThan(slackMs);
    const lateMs = 100_000;
    const lateRank = order.rank(inputOf(before, durations, lateMs));
    expect(order.rank(inputOf(after, durations, lateMs))).toBeLessThan(
      lateRank,
    );
  });
});
