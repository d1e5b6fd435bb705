/** The log and snapshot of a member as files of one data folder. */
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

/** Takes the lock of a data folder. */
export type FolderLocker = (folder: string) => Promise<FolderLock>;

/**
 * Opens or creates the data folder and holds its lock until `close`. A
 * deployment that runs one process for each folder, on a system without
 * abstract sockets, passes a `locker` of its own.
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

export class DiskStore extends LogStore {
  private file: FileHandle | undefined;
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
      log = parse(this.logPath, Batch, payload).reduce(applyWrite, log);
    }
    this.content = snapshot ? applySnapshot(log, snapshot) : log;
    this.checkContiguous();
    await this.openLog(validBytes < data.length ? validBytes : undefined);
    return this.content;
  }

  override write(writes: readonly LogWrite[]): Promise<void> {
    return this.guard(async () => {
      if (!this.file) throw new Error('the store is not loaded');
      await this.file.appendFile(toFrame(writes));
      await this.file.datasync();
      this.content = writes.reduce(applyWrite, this.content);
    });
  }

  override compact(snapshot: Snapshot): Promise<void> {
    return this.guard(async () => {
      const payload = Buffer.from(JSON.stringify(snapshot));
      await replaceFile(this.snapshotPath, encodeFrame(payload));
      const next = applySnapshot(this.content, snapshot);
      const rest = {ballot: next.ballot, records: [...next.records]};
      await replaceFile(this.logPath, toFrame([rest]));
      this.content = next;
      await this.openLog();
    });
  }

  override async close(): Promise<void> {
    await this.file?.close();
    this.file = undefined;
    await this.lock.release();
  }

  /** After a failed sync the kernel may drop the data: nothing is retried. */
  private async guard(run: () => Promise<void>): Promise<void> {
    if (this.failure) throw this.failure;
    try {
      await run();
    } catch (error) {
      this.failure = new StoreWriteError(this.folder, error as Error);
      throw this.failure;
    }
  }

  private async openLog(cutAt?: number): Promise<void> {
    await this.file?.close();
    this.file = await open(this.logPath, 'a', 0o600);
    if (cutAt !== undefined) await this.file.truncate(cutAt);
    await this.file.sync();
    await syncFolder(this.folder);
  }

  private async readSnapshot(): Promise<Snapshot | undefined> {
    const data = await readIfPresent(this.snapshotPath);
    if (!data) return undefined;
    // The file is replaced as a whole, so it has no torn tail.
    const {payloads, validBytes} = decodeFrames(this.snapshotPath, data);
    if (!payloads[0] || validBytes < data.length) {
      throw new CorruptStoreError(this.snapshotPath, 'damaged snapshot');
    }
    return parse(this.snapshotPath, Snapshot, payloads[0]);
  }

  private checkContiguous(): void {
    let expected = (this.content.snapshot?.index ?? 0) + 1;
    for (const {index} of this.content.records) {
      if (index !== expected++) {
        throw new CorruptStoreError(
          this.logPath,
          `entry ${expected - 1} is missing`,
        );
      }
    }
  }
}

function toFrame(writes: readonly LogWrite[]): Buffer {
  return encodeFrame(Buffer.from(JSON.stringify(writes)));
}

function parse<T>(path: string, schema: z.ZodType<T>, payload: Buffer): T {
  try {
    return schema.parse(JSON.parse(payload.toString()));
  } catch (error) {
    throw new CorruptStoreError(path, (error as Error).message);
  }
}
