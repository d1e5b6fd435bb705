/** Schemas of the data that a member stores on disk. */
import {z} from 'zod';

/**
 * One entry of the replicated log. `index` counts all entries; `revision`
 * counts the entries of kind `change` up to and including this one, so that
 * it equals the revision of the state after this entry.
 */
export const LogRecord = z.object({
  index: z.int().positive(),
  term: z.int().nonnegative(),
  revision: z.int().nonnegative(),
  kind: z.enum(['change', 'noop', 'members']),
  /** Encoded change or membership; empty for a `noop` entry. */
  text: z.string(),
});
export type LogRecord = z.infer<typeof LogRecord>;

/**
 * Election state: the current term, and the member voted for in it. Must be
 * durable before the vote or the term is sent to another member.
 */
export const Ballot = z.object({
  term: z.int().nonnegative(),
  vote: z.string().nullable(),
});
export type Ballot = z.infer<typeof Ballot>;

/** The state and the membership after the log entry at `index`. */
export const Snapshot = z.object({
  index: z.int().nonnegative(),
  term: z.int().nonnegative(),
  revision: z.int().nonnegative(),
  /** Encoded membership that applies at `index`. */
  members: z.string(),
  /** Encoded state of the state machine. */
  state: z.string(),
});
export type Snapshot = z.infer<typeof Snapshot>;

/** One write to the log; its fields are applied in the order listed. */
export const LogWrite = z.object({
  ballot: Ballot.optional(),
  /** Discards all entries from this index on. */
  truncateFrom: z.int().positive().optional(),
  records: z.array(LogRecord),
});
export type LogWrite = z.infer<typeof LogWrite>;

/** All durable data of a member, as read when its store is loaded. */
export interface StoredLog {
  readonly ballot: Ballot;
  readonly snapshot: Snapshot | undefined;
  /** Contiguous entries; the first directly follows the snapshot. */
  readonly records: readonly LogRecord[];
}

export const EMPTY_LOG: StoredLog = {
  ballot: {term: 0, vote: null},
  snapshot: undefined,
  records: [],
};

/** Returns the content of the log after one write. */
export function applyWrite(log: StoredLog, write: LogWrite): StoredLog {
  const {truncateFrom} = write;
  const kept =
    truncateFrom === undefined
      ? log.records
      : log.records.filter(record => record.index < truncateFrom);
  return {
    ballot: write.ballot ?? log.ballot,
    snapshot: log.snapshot,
    records: kept.concat(write.records),
  };
}

/**
 * Returns the content of the log after a snapshot is installed. Later entries
 * are kept only if they continue the snapshot: the log's entry at the index of
 * the snapshot has the term of the snapshot, or the log begins right after that
 * index.
 */
export function applySnapshot(log: StoredLog, snapshot: Snapshot): StoredLog {
  const lastIncluded = log.records.find(
    record => record.index === snapshot.index,
  );
  const first = log.records[0];
  const logContinues =
    lastIncluded?.term === snapshot.term || first?.index === snapshot.index + 1;
  return {
    ballot: log.ballot,
    snapshot,
    records: logContinues
      ? log.records.filter(record => record.index > snapshot.index)
      : [],
  };
}

/**
 * Returns the content of a store whose snapshot and log are replaced one after
 * the other, so that a crash may leave a log of before the snapshot. Returns
 * `undefined` if entries are missing.
 *
 * Versions that did not rewrite such a log appended to it. What they appended
 * is the last contiguous run of entries, and begins right after the snapshot.
 */
export function recoverLog(
  log: StoredLog,
  snapshot: Snapshot | undefined,
): StoredLog | undefined {
  const {records, ballot} = log;
  const startOfLastRun = records.findLastIndex(
    ({index}, at) => at > 0 && index !== records[at - 1]!.index + 1,
  );
  const isContiguous = startOfLastRun < 0;
  const first = isContiguous ? records[0] : records[startOfLastRun];
  const nextIndex = (snapshot?.index ?? 0) + 1;
  if (first && first.index > nextIndex) return undefined;
  if (isContiguous) return snapshot ? applySnapshot(log, snapshot) : log;
  if (first?.index !== nextIndex) return undefined;
  return {ballot, snapshot, records: records.slice(startOfLastRun)};
}
