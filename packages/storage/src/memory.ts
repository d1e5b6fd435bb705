/** An in-memory store that loses unsynced data on a simulated crash. */
import {
  applySnapshot,
  applyWrite,
  EMPTY_LOG,
  type LogWrite,
  type Snapshot,
  type StoredLog,
} from './record.js';
import {LogStore} from './store.js';

/**
 * The data that survives a simulated process. Each process creates a new
 * store on the disk of its host.
 */
export class MemoryDisk {
  synced: StoredLog = EMPTY_LOG;
}

export interface MemoryStoreOptions {
  /** Duration of a sync; by default, a sync completes immediately. */
  readonly syncMs?: number;
  /**
   * Called right before and right after each sync takes effect. May call
   * `crash` on the store.
   */
  readonly onSync?: (point: 'before' | 'after', store: MemoryStore) => void;
}

export class MemoryStore extends LogStore {
  private crashed = false;
  /** The change of the write whose sync has not completed. */
  private unsynced: ((log: StoredLog) => StoredLog) | undefined;

  constructor(
    private readonly disk: MemoryDisk,
    private readonly options: MemoryStoreOptions = {},
  ) {
    super();
  }

  /**
   * Simulates a crash of the process: pending and later writes never settle.
   * The unsynced write is lost, unless the disk keeps it; one that is torn is
   * dropped on load, so it counts as lost.
   */
  crash({keepsUnsynced = false} = {}): void {
    if (keepsUnsynced && !this.crashed && this.unsynced) {
      this.disk.synced = this.unsynced(this.disk.synced);
    }
    this.crashed = true;
  }

  override async load(): Promise<StoredLog> {
    return this.disk.synced;
  }

  override write(writes: readonly LogWrite[]): Promise<void> {
    return this.sync(log => writes.reduce(applyWrite, log));
  }

  override compact(snapshot: Snapshot): Promise<void> {
    return this.sync(log => applySnapshot(log, snapshot));
  }

  override async close(): Promise<void> {
    this.crashed = true;
  }

  private sync(change: (log: StoredLog) => StoredLog): Promise<void> {
    this.unsynced = change;
    return new Promise(resolve => {
      const complete = () => {
        if (!this.crashed) this.options.onSync?.('before', this);
        if (this.crashed) return;
        this.disk.synced = change(this.disk.synced);
        this.unsynced = undefined;
        this.options.onSync?.('after', this);
        if (!this.crashed) resolve();
      };
      const {syncMs} = this.options;
      if (syncMs === undefined) complete();
      else setTimeout(complete, syncMs);
    });
  }
}
