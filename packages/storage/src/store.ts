/** Durable storage of one member's log. */
import type {LogWrite, Snapshot, StoredLog} from './record.js';

export abstract class LogStore {
  /** Reads what is durable. Rejects with `CorruptStoreError`. */
  abstract load(): Promise<StoredLog>;
  /**
   * Appends the writes in order, with one sync for all of them, and resolves
   * once they are durable. Calls must not overlap. After a rejection the
   * state of the disk is unknown, so every later call rejects too.
   */
  abstract write(writes: readonly LogWrite[]): Promise<void>;
  /** Replaces the snapshot atomically and discards the log before it. */
  abstract compact(snapshot: Snapshot): Promise<void>;
  abstract close(): Promise<void>;
}
