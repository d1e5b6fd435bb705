/** What a member keeps on disk, as schemas. */
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
  /** Encoded change or membership; empty for `noop`. */
  text: z.string(),
});
export type LogRecord = z.infer<typeof LogRecord>;

/** Voting state; must be durable before a vote or a new term is announced. */
export const Ballot = z.object({
  term: z.int().nonnegative(),
  vote: z.string().nullable(),
});
export type Ballot = z.infer<typeof Ballot>;

/** The state after the entry at `index`. */
export const Snapshot = z.object({
  index: z.int().nonnegative(),
  term: z.int().nonnegative(),
  revision: z.int().nonnegative(),
  /** Encoded membership in force at `index`. */
  members: z.string(),
  /** Encoded state of the state machine. */
  state: z.string(),
});
export type Snapshot = z.infer<typeof Snapshot>;

/** One step of persistence; its parts are applied in the order listed. */
export const LogWrite = z.object({
  ballot: Ballot.optional(),
  /** Discards all entries from this index on. */
  truncateFrom: z.int().positive().optional(),
  records: z.array(LogRecord),
});
export type LogWrite = z.infer<typeof LogWrite>;

/** Everything that was durable when the store was opened. */
export interface StoredLog {
  readonly ballot: Ballot;
  readonly snapshot: Snapshot | undefined;
  /** Contiguous, beginning right after the snapshot. */
  readonly records: readonly LogRecord[];
}

export const EMPTY_LOG: StoredLog = {
  ballot: {term: 0, vote: null},
  snapshot: undefined,
  records: [],
};

/** Applies one write to the durable content. */
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
 * Puts a snapshot in place. Later records stay only if they continue the
 * snapshot, that is if the entry at its index has its term.
 */
export function applySnapshot(log: StoredLog, snapshot: Snapshot): StoredLog {
  const same = log.records.find(record => record.index === snapshot.index);
  const first = log.records[0];
  const continues =
    same?.term === snapshot.term || first?.index === snapshot.index + 1;
  return {
    ballot: log.ballot,
    snapshot,
    records: continues
      ? log.records.filter(record => record.index > snapshot.index)
      : [],
  };
}
