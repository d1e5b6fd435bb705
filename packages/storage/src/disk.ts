/** Stores the log and the snapshot of a member as files in its data folder. */
import {join} from 'node:path';
import {z} from 'zod';
import {CorruptStoreError, StoreWriteError} from './error.js';
import {LocalFileSystem, type FileSystem, type OpenFile} from './file.js';
import {decodeFrames, encodeFrame} from './frame.js';
import {
  LOG_FILE,
  loadOrCreateIdentity,
  type Identity,
  type IdentitySource,
} from './identity.js';
import {lockFolder, type FolderLock} from './lock.js';
import {
  applySnapshot,
  applyWrite,
  EMPTY_LOG,
  LogWrite,
  recoverLog,
  Snapshot,
  type StoredLog,
} from './record.js';
import {LogStore} from './store.js';

const SNAPSHOT_FILE = 'snapshot';
const Batch = z.array(LogWrite);

/** Acquires the exclusive lock of a data folder. */
export type FolderLocker = (folder: string) => Promise<FolderLock>;

/** What `load` removed from a log file that an interrupted write had left. */
export interface LogRepair {
  readonly path: string;
  /** Entries that the snapshot covers or replaces. */
  readonly droppedRecords: number;
  /** Bytes of a last frame that was not written in full. */
  readonly droppedBytes: number;
  readonly keptRecords: number;
}

export interface DiskStoreOptions {
  readonly identitySource?: IdentitySource;
  /**
   * Replaces the default lock on systems without abstract sockets, where the
   * deployment ensures that only one process uses each folder.
   */
  readonly locker?: FolderLocker;
  readonly files?: FileSystem;
  /** Called when `load` has repaired the log file. */
  onRepair?(repair: LogRepair): void;
}

/**
 * Opens or creates the data folder and holds its lock until the store is
 * closed. Rejects with `FolderLockedError`, `WrongGroupError` or
 * `CorruptStoreError`.
 */
export async function openDiskStore(
  folder: string,
  groupId: string,
  options: DiskStoreOptions = {},
): Promise<{identity: Identity; store: DiskStore}> {
  const {
    identitySource,
    locker = lockFolder,
    files = new LocalFileSystem(),
    onRepair = () => {},
  } = options;
  await files.createFolder(folder);
  const lock = await locker(folder);
  try {
    const identity = await loadOrCreateIdentity(
      folder,
      groupId,
      identitySource,
      files,
    );
    return {identity, store: new DiskStore(folder, {lock, files, onRepair})};
  } catch (error) {
    await lock.release();
    throw error;
  }
}

/** A log file of appended batches, and a snapshot file that is replaced. */
export class DiskStore extends LogStore {
  private logFile: OpenFile | undefined;
  private content: StoredLog = EMPTY_LOG;
  private failure: StoreWriteError | undefined;
  private isClosed = false;
  /** Settles with the latest operation, which `close` waits for. */
  private running: Promise<unknown> = Promise.resolve();
  private readonly logPath: string;
  private readonly snapshotPath: string;

  constructor(
    private readonly folder: string,
    private readonly options: {
      readonly lock: FolderLock;
      readonly files: FileSystem;
      onRepair(repair: LogRepair): void;
    },
  ) {
    super();
    this.logPath = join(folder, LOG_FILE);
    this.snapshotPath = join(folder, SNAPSHOT_FILE);
  }

  override load(): Promise<StoredLog> {
    return this.track(async () => {
      const {files} = this.options;
      const snapshot = await this.readSnapshot();
      const data = (await files.readIfPresent(this.logPath)) ?? Buffer.alloc(0);
      const {payloads, validBytes} = decodeFrames(this.logPath, data);
      let log = EMPTY_LOG;
      for (const payload of payloads) {
        const batch = parsePayload(this.logPath, Batch, payload);
        log = batch.reduce(applyWrite, log);
      }
      const content = recoverLog(log, snapshot);
      if (!content) {
        throw new CorruptStoreError(this.logPath, 'log entries are missing');
      }
      const keptRecords = content.records.length;
      const droppedRecords = log.records.length - keptRecords;
      const droppedBytes = data.length - validBytes;
      // Later writes are appended to the file, so it must hold the entries that
      // this call returns and no others.
      if (droppedRecords > 0) await this.replaceLog(content);
      this.content = content;
      const isIncomplete = droppedRecords === 0 && droppedBytes > 0;
      await this.openLog(isIncomplete ? validBytes : undefined);
      if (droppedRecords > 0 || droppedBytes > 0) {
        this.options.onRepair({
          path: this.logPath,
          droppedRecords,
          droppedBytes,
          keptRecords,
        });
      }
      return content;
    });
  }

  override write(writes: readonly LogWrite[]): Promise<void> {
    return this.runOrFailStore(async () => {
      if (!this.logFile) throw new Error('load() must complete before write()');
      await this.logFile.appendFile(encodeWrites(writes));
      await this.logFile.datasync();
      this.content = writes.reduce(applyWrite, this.content);
    });
  }

  override compact(snapshot: Snapshot): Promise<void> {
    return this.runOrFailStore(async () => {
      const payload = Buffer.from(JSON.stringify(snapshot));
      const {files} = this.options;
      await files.replaceFile(this.snapshotPath, encodeFrame(payload));
      const next = applySnapshot(this.content, snapshot);
      await this.replaceLog(next);
      this.content = next;
      await this.openLog();
    });
  }

  /** Waits for the operation in progress; later ones reject. */
  override async close(): Promise<void> {
    this.isClosed = true;
    await this.running.catch(() => {});
    await this.logFile?.close();
    this.logFile = undefined;
    await this.options.lock.release();
  }

  /**
   * Runs one write. After a failure, this call and all later ones reject, and
   * nothing is retried: after a failed sync the kernel may drop the data.
   */
  private runOrFailStore(run: () => Promise<void>): Promise<void> {
    return this.track(async () => {
      if (this.failure) throw this.failure;
      try {
        await run();
      } catch (error) {
        this.failure = new StoreWriteError(this.folder, error as Error);
        throw this.failure;
      }
    });
  }

  /**
   * Runs one operation. The lock must not be released before it ends, since its
   * file operations would then change the files of the next store.
   */
  private async track<T>(run: () => Promise<T>): Promise<T> {
    if (this.isClosed) throw new Error(`the store ${this.folder} is closed`);
    const result = run();
    this.running = result;
    return result;
  }

  private replaceLog({ballot, records}: StoredLog): Promise<void> {
    const write = {ballot, records: [...records]};
    return this.options.files.replaceFile(this.logPath, encodeWrites([write]));
  }

  private async openLog(truncateAtBytes?: number): Promise<void> {
    const {files} = this.options;
    await this.logFile?.close();
    this.logFile = await files.open(this.logPath, 'append');
    if (truncateAtBytes !== undefined)
      await this.logFile.truncate(truncateAtBytes);
    await this.logFile.sync();
    await files.syncFolder(this.folder);
  }

  private async readSnapshot(): Promise<Snapshot | undefined> {
    const data = await this.options.files.readIfPresent(this.snapshotPath);
    if (!data) return undefined;
    // The snapshot file is replaced atomically, so an incomplete frame at its
    // end means damage and not an interrupted write.
    const {payloads, validBytes} = decodeFrames(this.snapshotPath, data);
    if (!payloads[0] || validBytes < data.length) {
      throw new CorruptStoreError(this.snapshotPath, 'the snapshot is damaged');
    }
    return parsePayload(this.snapshotPath, Snapshot, payloads[0]);
  }
}

function encodeWrites(writes: readonly LogWrite[]): Buffer {
  return encodeFrame(Buffer.from(JSON.stringify(writes)));
}

function parsePayload<T>(
  path: string,
  schema: z.ZodType<T>,
  payload: Buffer,
): T {
  try {
    return schema.parse(JSON.parse(payload.toString()));
  } catch (error) {
    throw new CorruptStoreError(path, (error as Error).message);
  }
}
