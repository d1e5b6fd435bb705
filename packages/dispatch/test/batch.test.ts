/** Tests that the events of one change stay within its limits. */
import type {EndRow, Event} from '@lentildrift/queue';
import {expect, it} from 'vitest';
import {takeBatch, type QueuedEvent} from '../src/batch.js';
import {MAX_CHANGE_CHARS} from '../src/codec.js';
import {worker} from './harness.js';

function queue(events: readonly Event[]): QueuedEvent[] {
  return events.map(event => ({event, queuedMs: 0}));
}

function ends(name: string, checkpoint: string): Event {
  const row: EndRow = ['a.0.0.0', 1, 'stopped', checkpoint];
  return {type: 'ends', worker: `${name}@1`, after: 0, upTo: 1, ends: [row]};
}

/** Divides the events into changes and returns their encoded lengths. */
function encodedLengths(events: readonly Event[]): number[] {
  const lengths: number[] = [];
  let rest = queue(events);
  while (rest.length > 0) {
    const batch = takeBatch(rest);
    const taken = batch.taken.map(({event}) => event);
    lengths.push(JSON.stringify({events: taken}).length);
    rest = batch.rest;
  }
  return lengths;
}

// A change above the limit is refused with all of its events. Ends are then
// reported and queued again, and the next change is as large.
it.each(['x', '"'])(
  'divides ends with large checkpoints of %s into changes within the limit',
  character => {
    const checkpoint = character.repeat(100_000);
    const names = Array.from({length: 100}, (_, at) => `w${at}`);
    const lengths = encodedLengths(names.map(name => ends(name, checkpoint)));
    expect(Math.max(...lengths)).toBeLessThan(MAX_CHANGE_CHARS);
  },
);

it('divides statistics of many queues into changes within the limit', () => {
  const rows = Array.from({length: 2200}, (_, at) => ({
    queue: `team-${at}-long-name-of-a-queue`,
    count: 1000,
    mean: 7 + Math.sqrt(at),
    variance: Math.SQRT1_2 / (at + 1),
    estimateError: Math.SQRT1_2 / (at + 2),
    stepVariance: Math.SQRT1_2 / (at + 3),
  }));
  const events = Array.from({length: 20}, (): Event => ({
    type: 'statistics',
    rows,
  }));
  const lengths = encodedLengths(events);
  expect(Math.max(...lengths)).toBeLessThan(MAX_CHANGE_CHARS);
});

// Between the two changes, the tasks of the old incarnation's runs have no run,
// and those that the new one has completed would be started again.
it('keeps the ends of a new incarnation in the change that records it', () => {
  const filler = ends('w1', 'x'.repeat(200_000));
  const events: Event[] = [
    filler,
    {type: 'worker', worker: worker('w2')},
    ends('w2', 'x'.repeat(200_000)),
    filler,
  ];
  const changes: (readonly Event[])[] = [];
  let rest = queue(events);
  while (rest.length > 0) {
    const batch = takeBatch(rest);
    changes.push(batch.taken.map(({event}) => event));
    rest = batch.rest;
  }
  expect(changes).toEqual([[filler], events.slice(1, 3), [filler]]);
});
