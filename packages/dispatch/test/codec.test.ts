/** Tests how changes are encoded for the log. */
import type {Change} from '@lentildrift/queue';
import {describe, expect, it} from 'vitest';
import {MAX_CHANGE_CHARS, QueueCodec} from '../src/codec.js';
import {TABLES} from './harness.js';

const codec = new QueueCodec();

function editOf(queues: number): Change {
  const [queue] = TABLES.queues;
  const rows = Array.from({length: queues}, (_, at) => ({
    ...queue!,
    name: `q${at}`,
    prefix: `/q${at}/`,
  }));
  const document = JSON.stringify(rows);
  const tables = {...TABLES, queues: rows, document};
  return {events: [{type: 'tables', tables}]};
}

describe('a change', () => {
  it('of large tables does not hold up the others on the links to all members', () => {
    const change = editOf(1700);
    const text = codec.encodeChange(change);
    expect(text.length).toBeLessThan(JSON.stringify(change).length / 5);
    expect(codec.decodeChange(text)).toEqual(change);
  });

  it('of usual size stays readable in the log', () => {
    const change = editOf(10);
    expect(codec.encodeChange(change)).toBe(JSON.stringify(change));
    expect(codec.decodeChange(codec.encodeChange(change))).toEqual(change);
  });

  it('that is too large is not made to fit by compression', () => {
    const document = 'x'.repeat(MAX_CHANGE_CHARS);
    const tables = {...TABLES, document};
    const text = codec.encodeChange({events: [{type: 'tables', tables}]});
    expect(text.length).toBeGreaterThan(MAX_CHANGE_CHARS);
  });

  it('that is damaged is not taken for another one', () => {
    const text = codec.encodeChange(editOf(1700));
    expect(() => codec.decodeChange(text.slice(0, text.length / 2))).toThrow();
  });
});
