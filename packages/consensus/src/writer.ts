/** Writes to the store in order, with one sync for all that has queued up. */
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
  onDurable(seq: number): void;
  onCompacted(snapshot: Snapshot): void;
  /** Nothing is written after this. */
  onFailure(error: Error): void;
}

export interface Writer {
  add(job: WriteRequest): void;
  /** Resolves once everything added is durable or has failed. */
  idle(): Promise<void>;
}

export function createWriter(store: LogStore, events: WriterCallbacks): Writer {
  let queue: WriteRequest[] = [];
  let running: Promise<void> | undefined;

  async function run(): Promise<void> {
    try {
      while (queue.length > 0) await writeNext();
    } catch (error) {
      queue = [];
      events.onFailure(error as Error);
      return;
    }
    running = undefined;
  }

  async function writeNext(): Promise<void> {
    const job = queue[0]!;
    if (job.type === 'save') {
      await writeBatch();
      return;
    }
    queue.shift();
    await store.compact(job.snapshot);
    if (job.type === 'install') events.onDurable(job.seq);
    else events.onCompacted(job.snapshot);
  }

  async function writeBatch(): Promise<void> {
    const other = queue.findIndex(({type}) => type !== 'save');
    const jobs = queue.splice(0, other < 0 ? queue.length : other);
    const writes: LogWrite[] = [];
    let lastSeq = 0;
    for (const job of jobs) {
      if (job.type !== 'save') continue;
      writes.push(job.write);
      lastSeq = job.seq;
    }
    await store.write(writes);
    events.onDurable(lastSeq);
  }

  return {
    add(job) {
      queue.push(job);
      running ??= run();
    },
    async idle() {
      await running;
    },
  };
}
