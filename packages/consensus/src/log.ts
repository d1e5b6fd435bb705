/** The part of the log that a member holds in memory, as an immutable value. */
import type {LogRecord} from '@lentildrift/storage';

/** Index, term and revision of a log entry, without its content. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
  readonly revision: number;
}

export interface Log {
  /** The last discarded entry, or `LOG_START`; `records` begin right after. */
  readonly base: LogPosition;
  readonly records: readonly LogRecord[];
}

/** The position before the first entry of a log. */
export const LOG_START: LogPosition = {index: 0, term: 0, revision: 0};

export function lastEntry(log: Log): LogPosition {
  return log.records.at(-1) ?? log.base;
}

/** Returns the entry at `index`, or `undefined` if the log does not hold it. */
export function positionAt(log: Log, index: number): LogPosition | undefined {
  return index === log.base.index ? log.base : recordAt(log, index);
}

/** Returns the entry at `index`, unless it was discarded or does not exist. */
export function recordAt(log: Log, index: number): LogRecord | undefined {
  return log.records[index - log.base.index - 1];
}

/**
 * Returns the entries from index `from` on, limited to `maxRecords` entries and
 * to `maxBytes` UTF-16 units of content. The first entry is returned whatever
 * its size.
 */
export function recordsFrom(
  log: Log,
  from: number,
  maxBytes: number,
  maxRecords: number,
): LogRecord[] {
  const result: LogRecord[] = [];
  let bytes = 0;
  for (let i = from - log.base.index - 1; i < log.records.length; i++) {
    const record = log.records[i]!;
    bytes += record.text.length;
    if (result.length > 0 && bytes > maxBytes) break;
    if (result.length === maxRecords) break;
    result.push(record);
  }
  return result;
}

export function appendTo(log: Log, records: readonly LogRecord[]): Log {
  return {base: log.base, records: log.records.concat(records)};
}

/** Discards the entries from index `from` on. */
export function truncateFrom(log: Log, from: number): Log {
  return {
    base: log.base,
    records: log.records.slice(0, from - log.base.index - 1),
  };
}

/**
 * Discards the entries up to and including `index`. Returns the log unchanged
 * if it does not hold that entry.
 */
export function discardUpTo(log: Log, index: number): Log {
  const base = positionAt(log, index);
  if (!base || index <= log.base.index) return log;
  return {
    base: {index, term: base.term, revision: base.revision},
    records: log.records.slice(index - log.base.index),
  };
}
