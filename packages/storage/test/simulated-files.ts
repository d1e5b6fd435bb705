/** A file system in memory that stops at a chosen operation. */
import {FileSystem, type OpenFile} from '@lentildrift/storage';

/** The process ended; nothing that it does later has an effect. */
export class CrashedError extends Error {}

/** What remains of the data that was not synced. */
export type Loss =
  | 'none'
  /** Unsynced content and names are gone. */
  | 'all'
  /** Half of the unsynced content remains, and unsynced names do. */
  | 'torn';

interface Content {
  data: Buffer;
  synced: Buffer;
}

interface Names {
  current: Map<string, Content>;
  synced: Map<string, Content>;
}

export class SimulatedFileSystem extends FileSystem {
  private names: Names = {current: new Map(), synced: new Map()};
  private process = 0;
  private remaining = Infinity;

  /** Makes the process end right before the operation after `operations`. */
  crashAfter(operations: number): void {
    this.remaining = operations;
  }

  /** Starts the next process on the files that the last one left. */
  restart(loss: Loss): void {
    this.process++;
    this.remaining = Infinity;
    if (loss === 'none') return;
    const names = loss === 'all' ? this.names.synced : this.names.current;
    const next = new Map<string, Content>();
    for (const [path, {data, synced}] of names) {
      const unsynced = data.subarray(synced.length);
      const isAppended = data.subarray(0, synced.length).equals(synced);
      const kept =
        loss === 'torn' && isAppended
          ? Buffer.concat([
              synced,
              unsynced.subarray(0, Math.floor(unsynced.length / 2)),
            ])
          : synced;
      next.set(path, {data: kept, synced: kept});
    }
    this.names = {current: next, synced: new Map(next)};
  }

  override async createFolder(): Promise<void> {}

  override async readIfPresent(path: string): Promise<Buffer | undefined> {
    return this.names.current.get(path)?.data;
  }

  override async open(
    path: string,
    mode: 'append' | 'replace',
  ): Promise<OpenFile> {
    const operate = this.operations();
    const file = operate(() => {
      const existing = this.names.current.get(path);
      const created = {data: Buffer.alloc(0), synced: Buffer.alloc(0)};
      const content = existing ?? created;
      if (mode === 'replace') content.data = created.data;
      this.names.current.set(path, content);
      return content;
    });
    const sync = async () => operate(() => void (file.synced = file.data));
    return {
      appendFile: async data =>
        operate(() => {
          file.data = Buffer.concat([file.data, data as Buffer]);
        }),
      truncate: async bytes =>
        operate(() => void (file.data = file.data.subarray(0, bytes))),
      datasync: sync,
      sync,
      close: async () => {},
    };
  }

  override async rename(from: string, to: string): Promise<void> {
    this.operations()(() => {
      const {current} = this.names;
      current.set(to, current.get(from)!);
      current.delete(from);
    });
  }

  override async syncFolder(): Promise<void> {
    this.operations()(() => {
      this.names.synced = new Map(this.names.current);
    });
  }

  /** Returns a function that carries out operations of the present process. */
  private operations() {
    const {process} = this;
    return <T>(run: () => T): T => {
      if (process !== this.process || this.remaining <= 0) {
        throw new CrashedError();
      }
      this.remaining--;
      return run();
    };
  }
}
