/** Stores the log and the snapshot of a member as files in its data folder. */
import {mkdir, open, type FileHandle} from 'node:fs/promises';
import {join} from 'node:path';
import {z} from 'zod';
import {CorruptStoreError, StoreWriteError} from './error.js';
import {readIfPresent, replaceFile, syncFolder} from './file.js';
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
  Snapshot,
  type StoredLog,
} from './record.js';
import {LogStore} from './store.js';

const SNAPSHOT_FILE = 'snapshot';
const Batch = z.array(LogWrite);

/** Acquires the exclusive lock of a data folder. */
export type FolderLocker = (folder: string) => Promise<FolderLock>;

/**
 * Opens or creates the data folder and holds its lock until the store is
 * closed. Rejects with `FolderLockedError`, `WrongGroupError` or
 * `CorruptStoreError`.
 *
 * `locker` replaces the default lock on systems without abstract sockets, where
 * the deployment ensures that only one process uses each folder.
 */
export async function openDiskStore(
  folder: string,
  groupId: string,
  source?: IdentitySource,
  locker: FolderLocker = lockFolder,
): Promise<{identity: Identity; store: DiskStore}> {
  await mkdir(folder, {recursive: true});
  const lock = await locker(folder);
  try {
    const identity = await loadOrCreateIdentity(folder, groupId, source);
    return {identity, store: new DiskStore(folder, lock)};
  } catch (error) {
    await lock.release();
    throw error;
  }
}

/** A log file of appended batches, and a snapshot file that is replaced. */
export class DiskStore extends LogStore {
  private logFile: FileHandle | undefined;
  private content: StoredLog = EMPTY_LOG;
  private failure: StoreWriteError | undefined;
  private readonly logPath: string;
  private readonly snapshotPath: string;

  constructor(
    private readonly folder: string,
    private readonly lock: FolderLock,
  ) {
    super();
    this.logPath = join(folder, LOG_FILE);
    this.snapshotPath = join(folder, SNAPSHOT_FILE);
  }

  override async load(): Promise<StoredLog> {
    const snapshot = await this.readSnapshot();
    const data = (await readIfPresent(this.logPath)) ?? Buffer.alloc(0);
    const {payloads, validBytes} = decodeFrames(this.logPath, data);
    let log = EMPTY_LOG;
    for (const payload of payloads) {
      log = parsePayload(this.logPath, Batch, payload).reduce(applyWrite, log);
    }
    this.content = snapshot ? applySnapshot(log, snapshot) : log;
    this.checkContiguous();
    await this.openLog(validBytes < data.length ? validBytes : undefined);
    return this.content;
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
      await replaceFile(this.snapshotPath, encodeFrame(payload));
      const next = applySnapshot(this.content, snapshot);
      const rest = {ballot: next.ballot, records: [...next.records]};
      await replaceFile(this.logPath, encodeWrites([rest]));
      this.content = next;
      await this.openLog();
    });
  }

  override async close(): Promise<void> {
    await this.logFile?.close();
    this.logFile = undefined;
    await this.lock.release();
  }

  /**
   * Runs one write. After a failure, this call and all later ones reject, and
   * nothing is retried: after a failed sync the kernel may drop the data.
   */
  private async runOrFailStore(run: () => Promise<void>): Promise<void> {
    if (this.failure) throw this.failure;
    try {
      await run();
    } catch (error) {
      this.failure = new StoreWriteError(this.folder, error as Error);
      throw this.failure;
    }
  }

  private async openLog(truncateAtBytes?: number): Promise<void> {
    await this.logFile?.close();
    this.logFile = await open(this.logPath, 'a', 0o600);
    if (truncateAtBytes !== undefined)
      await this.logFile.truncate(truncateAtBytes);
    await this.logFile.sync();
    await syncFolder(this.folder);
  }

  private async readSnapshot(): Promise<Snapshot | undefined> {
    const data = await readIfPresent(this.snapshotPath);
    if (!data) return undefined;
    // The snapshot file is replaced atomically, so an incomplete frame at its
    // end means damage and not an interrupted write.
    const {payloads, validBytes} = decodeFrames(this.snapshotPath, data);
    if (!payloads[0] || validBytes < data.length) {
      throw new CorruptStoreError(this.snapshotPath, 'the snapshot is damaged');
    }
    return parsePayload(this.snapshotPath, Snapshot, payloads[0]);
  }

  private checkContiguous(): void {
    let expected = (this.content.snapshot?.index ?? 0) + 1;
    for (const {index} of this.content.records) {
      if (index !== expected++) {
        throw new CorruptStoreError(
          this.logPath,
          `log entry ${expected - 1} is missing`,
        );
      }
    }
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
