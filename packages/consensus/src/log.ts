/** The part of the log that a member holds in memory, as an immutable value. */
import type {LogRecord} from '@lentildrift/storage';

/** An entry without its content. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
  readonly revision: number;
}

export interface Log {
  /** The entry before the first one held. */
  readonly base: LogPosition;
  readonly records: readonly LogRecord[];
}

export const LOG_START: LogPosition = {index: 0, term: 0, revision: 0};

export function lastPosition(log: Log): LogPosition {
  return log.records.at(-1) ?? log.base;
}

/** The entry at `index`, or `undefined` if it is not held. */
export function positionAt(log: Log, index: number): LogPosition | undefined {
  if (index === log.base.index) return log.base;
  return log.records[index - log.base.index - 1];
}

/** Entries from `from` on: at least one if held, then up to `maxBytes`. */
export function recordsFrom(
  log: Log,
  from: number,
  maxBytes: number,
  maxRecords: number,
): LogRecord[] {
  const taken: LogRecord[] = [];
  let bytes = 0;
  for (let i = from - log.base.index - 1; i < log.records.length; i++) {
    const record = log.records[i]!;
    bytes += record.text.length;
    if (taken.length > 0 && bytes > maxBytes) break;
    if (taken.length === maxRecords) break;
    taken.push(record);
  }
  return taken;
}

/** Entries after `after` up to and including `upTo`. */
export function recordsBetween(
  log: Log,
  after: number,
  upTo: number,
): LogRecord[] {
  const {index} = log.base;
  return log.records.slice(after - index, upTo - index);
}

export function appendTo(log: Log, records: readonly LogRecord[]): Log {
  return {base: log.base, records: log.records.concat(records)};
}

export function truncateFrom(log: Log, from: number): Log {
  return {
    base: log.base,
    records: log.records.slice(0, from - log.base.index - 1),
  };
}

/** Forgets the entries up to `index`. */
export function discardUpTo(log: Log, index: number): Log {
  const base = positionAt(log, index);
  if (!base || index <= log.base.index) return log;
  return {
    base: {index, term: base.term, revision: base.revision},
    records: log.records.slice(index - log.base.index),
  };
}
