/** Tests what a process remembers of the elections of its group. */
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {createElections, type Elections} from '../src/elections.js';

let elections: Elections;
let beganMs: number;

beforeEach(() => {
  vi.useFakeTimers();
  elections = createElections();
  beganMs = performance.now();
});

afterEach(() => void vi.useRealTimers());

// The former leader may be confirmed until the candidate has been elected.
it('a term in which this process has only voted does not count as that of a leader', () => {
  elections.note({term: 2, leader: undefined});
  expect(elections.knownMs(2)).toBe(Infinity);
  vi.advanceTimersByTime(500);
  elections.note({term: 2, leader: 'b'});
  expect(elections.knownMs(2)).toBe(beganMs + 500);
});

it('a leader does not count as elected later since its process is heard of again', () => {
  elections.note({term: 2, leader: 'b'});
  vi.advanceTimersByTime(500);
  elections.note({term: 2, leader: undefined});
  elections.note({term: 2, leader: 'b'});
  expect(elections.knownMs(2)).toBe(beganMs);
});

// A process that was away for a term, or has started since.
it('a leader that this process did not hear of counts as elected with the next one', () => {
  elections.note({term: 2, leader: 'b'});
  vi.advanceTimersByTime(500);
  elections.note({term: 5, leader: 'c'});
  expect(elections.knownMs(1)).toBe(beganMs);
  expect(elections.knownMs(3)).toBe(beganMs + 500);
});
