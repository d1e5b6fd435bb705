/**
 * Writes to the store in order. Consecutive saves that have queued up share one
 * sync (group commit).
 */
import type {LogStore, LogWrite, Snapshot} from '@lentildrift/storage';

export type WriteRequest =
  | {readonly type: 'save'; readonly seq: number; readonly write: LogWrite}
  | {
      readonly type: 'install';
      readonly seq: number;
      readonly snapshot: Snapshot;
    }
  | {readonly type: 'compact'; readonly snapshot: Snapshot};

export interface WriterCallbacks {
  /** All writes up to `seq` are durable. */
  onDurable(seq: number): void;
  onCompacted(snapshot: Snapshot): void;
  /** A write failed. Nothing is written after this call. */
  onFailure(error: Error): void;
}

export interface Writer {
  add(request: WriteRequest): void;
  /** Resolves once every added write is durable or has failed. */
  waitUntilIdle(): Promise<void>;
}

export function createWriter(
  store: LogStore,
  callbacks: WriterCallbacks,
): Writer {
  let queue: WriteRequest[] = [];
  let running: Promise<void> | undefined;

  async function run(): Promise<void> {
    try {
      while (queue.length > 0) await writeNext();
    } catch (error) {
      queue = [];
      callbacks.onFailure(error as Error);
      return;
    }
    running = undefined;
  }

  async function writeNext(): Promise<void> {
    const request = queue[0]!;
    if (request.type === 'save') {
      await writeBatch();
      return;
    }
    queue.shift();
    await store.compact(request.snapshot);
    if (request.type === 'install') callbacks.onDurable(request.seq);
    else callbacks.onCompacted(request.snapshot);
  }

  async function writeBatch(): Promise<void> {
    const firstOther = queue.findIndex(({type}) => type !== 'save');
    const saves = queue.splice(0, firstOther < 0 ? queue.length : firstOther);
    const writes: LogWrite[] = [];
    let lastSeq = 0;
    for (const request of saves) {
      if (request.type !== 'save') continue;
      writes.push(request.write);
      lastSeq = request.seq;
    }
    await store.write(writes);
    callbacks.onDurable(lastSeq);
  }

  return {
    add(request) {
      queue.push(request);
      running ??= run();
    },
    async waitUntilIdle() {
      await running;
    },
  };
}
