/** Tests how often a session asks a worker for its ends. */
import {createLog} from '@lentildrift/observe';
import {startTasks} from '@lentildrift/task';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import type {HoldOrder, Report} from '../src/index.js';
import {createIncarnations} from '../src/incarnations.js';
import {openWorkerSession, type WorkerSession} from '../src/session.js';
import {FakeFleet} from './fakes.js';
import {worker} from './harness.js';

const INTERVAL_MS = 200;
/** Answers of a worker and their records take no time here. */
const STEP_MS = 1;

const tasks = startTasks(error => {
  throw new Error(error);
});
let session: WorkerSession;
let holds: number;
let mostInFlight: number;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(async () => {
  void session.close();
  await vi.advanceTimersByTimeAsync(10);
  vi.useRealTimers();
});

interface Timing {
  /** Time from the worker's answer until the session has it. */
  readonly answerMs?: number;
  /** Time from a report until its ends are durable. */
  readonly recordMs?: number;
  /** How often the ends of a report are acknowledged. */
  readonly acknowledgements?: number;
}

/** Opens a session with a worker of which a run ends each `endEveryMs`. */
function open(
  endEveryMs: number,
  {answerMs = 0, recordMs = 0, acknowledgements = 1}: Timing = {},
): number[] {
  const row = worker('w');
  const fleet = new FakeFleet();
  const startMs = performance.now();
  /** Time from each end until a report listed it. */
  const delaysMs: number[] = [];
  let listed = 0;
  holds = 0;
  mostInFlight = 0;
  vi.spyOn(fleet, 'hold').mockImplementation(
    async (_target, order: HoldOrder): Promise<Report> => {
      holds++;
      const deadlineMs = performance.now() + order.waitMs;
      const countEnds = () =>
        Math.floor((performance.now() - startMs) / endEveryMs);
      while (countEnds() === listed && performance.now() < deadlineMs) {
        await new Promise(resolve => setTimeout(resolve, STEP_MS));
      }
      const ended = [];
      while (listed < countEnds()) {
        const endMs = startMs + ++listed * endEveryMs;
        delaysMs.push(performance.now() - endMs);
        const end = {number: listed, task: `t${listed}`, run: 1};
        ended.push({...end, how: 'done' as const, checkpoint: ''});
      }
      if (answerMs > 0) {
        await new Promise(resolve => setTimeout(resolve, answerMs));
      }
      const clockMs = performance.now();
      return {
        bornMs: row.bornMs,
        clockMs,
        running: [],
        ended,
        isComplete: true,
      };
    },
  );
  session = openWorkerSession({
    worker: row,
    target: createIncarnations().targetOf(row),
    token: 1,
    driver: fleet,
    tasks,
    log: createLog('error', {}, () => {}),
    isLeader: () => true,
    isWithheld: () => false,
    holdIntervalMs: () => INTERVAL_MS,
    onEvent(event) {
      if (event.type !== 'report') return;
      const cursor = listed;
      const acknowledge = () => {
        for (let nth = 0; nth < acknowledgements; nth++) {
          session.acknowledge(cursor);
        }
      };
      if (recordMs === 0) acknowledge();
      else setTimeout(acknowledge, recordMs);
    },
    onHoldSent: inFlight => (mostInFlight = Math.max(mostInFlight, inFlight)),
  });
  session.begin();
  return delaysMs;
}

it('a worker whose runs end all the time does not saturate the leader with holds', async () => {
  const delaysMs = open(10);
  await vi.advanceTimersByTimeAsync(4000);
  expect(holds).toBeLessThanOrEqual(4000 / INTERVAL_MS + 2);
  expect(delaysMs.length).toBeGreaterThan(350);
  expect(Math.max(...delaysMs)).toBeLessThanOrEqual(INTERVAL_MS + 10);
});

it('an end that comes alone is reported without delay', async () => {
  const delaysMs = open(700);
  await vi.advanceTimersByTimeAsync(4000);
  expect(delaysMs.length).toBe(5);
  expect(Math.max(...delaysMs)).toBeLessThanOrEqual(10);
});

// Holds of 50 ms left the worker without one for 150 ms of each 200 ms, so that
// ends were reported later than with holds of a second.
it('an end is reported without delay though holds shorter than their interval are asked for', async () => {
  const delaysMs = open(730);
  session.setHoldWaitMs(50);
  await vi.advanceTimersByTimeAsync(6000);
  expect(delaysMs.length).toBe(8);
  expect(Math.max(...delaysMs)).toBeLessThanOrEqual(10);
});

// A change that holds two events of one worker acknowledges its ends twice.
it.each([1, 2, 5])(
  'a session has one hold in flight though its ends are acknowledged %i times',
  async acknowledgements => {
    open(10, {answerMs: 60, recordMs: 250, acknowledgements});
    await vi.advanceTimersByTimeAsync(8000);
    expect(mostInFlight).toBe(1);
    expect(holds).toBeLessThanOrEqual(8000 / INTERVAL_MS);
  },
);
