/** The interface to the durable storage of a member's log. */
import type {LogWrite, Snapshot, StoredLog} from './record.js';

/** Durable storage of one member's log and snapshot. */
export abstract class LogStore {
  /**
   * Reads all durable data. Rejects with `CorruptStoreError` if the data is
   * damaged.
   */
  abstract load(): Promise<StoredLog>;
  /**
   * Appends the writes in order, with one sync for all of them, and resolves
   * once they are durable. Calls must not overlap. After a rejection the
   * content of the disk is unknown, so every later call rejects too.
   */
  abstract write(writes: readonly LogWrite[]): Promise<void>;
  /**
   * Replaces the snapshot atomically and discards the log entries that it
   * covers.
   */
  abstract compact(snapshot: Snapshot): Promise<void>;
  abstract close(): Promise<void>;
}
