import {join} from 'node:path';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  applySnapshot,
  applyWrite,
  EMPTY_LOG,
  openDiskStore,
  type LogRepair,
  type LogStore,
  type LogWrite,
  type Snapshot,
  type StoredLog,
} from '@lentildrift/storage';
import {SimulatedFileSystem, type Loss} from './simulated-files.js';

type Operation =
  | {readonly type: 'write'; readonly writes: readonly LogWrite[]}
  | {readonly type: 'compact'; readonly snapshot: Snapshot};

const open = async (
  files: SimulatedFileSystem,
  onRepair?: (repair: LogRepair) => void,
) => {
  const locker = async () => ({release: async () => {}});
  const options = {files, locker, ...(onRepair && {onRepair})};
  return (await openDiskStore('/data', 'g', options)).store;
};

const lastIndex = ({records, snapshot}: StoredLog) =>
  records.at(-1)?.index ?? snapshot?.index ?? 0;

function applyOperation(log: StoredLog, operation: Operation): StoredLog {
  return operation.type === 'write'
    ? operation.writes.reduce(applyWrite, log)
    : applySnapshot(log, operation.snapshot);
}

/** An operation as a member may carry it out after those before it. */
const step = fc.record({
  kind: fc.constantFrom('append', 'overwrite', 'vote', 'own', 'received'),
  size: fc.integer({min: 1, max: 4}),
  at: fc.double({min: 0, max: 1, noNaN: true}),
});
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

function nextOperation(log: StoredLog, {kind, size, at}: Step): Operation {
  const term = log.ballot.term + 1;
  const base = log.snapshot?.index ?? 0;
  const last = lastIndex(log);
  // An index of an entry, or the one after the last.
  const index = base + 1 + Math.floor(at * (last - base));
  const recordsFrom = (from: number) =>
    Array.from({length: size}, (_, i) => {
      const position = {index: from + i, revision: from + i};
      return {...position, term, kind: 'change' as const, text: `t${term}`};
    });
  const snapshotAt = (index: number, term: number): Operation => ({
    type: 'compact',
    snapshot: {index, term, revision: index, members: '{}', state: `s${index}`},
  });
  const ballot = {term, vote: kind};
  switch (kind) {
    case 'append':
      return {
        type: 'write',
        writes: [{ballot, records: recordsFrom(last + 1)}, {records: []}],
      };
    case 'overwrite': {
      const truncateFrom = index;
      const records = recordsFrom(truncateFrom);
      return {type: 'write', writes: [{ballot, truncateFrom, records}]};
    }
    case 'own': {
      const record = log.records.find(record => record.index === index);
      if (record) return snapshotAt(index, record.term);
      return {type: 'write', writes: [{ballot, records: []}]};
    }
    case 'received':
      // Of another term than the entry at its index, or beyond the last entry.
      return snapshotAt(base + 1 + Math.floor(at * (last - base + 3)), term);
    default:
      return {type: 'write', writes: [{ballot, records: []}]};
  }
}

async function carryOut(store: LogStore, operation: Operation): Promise<void> {
  await (operation.type === 'write'
    ? store.write(operation.writes)
    : store.compact(operation.snapshot));
}

const losses: readonly Loss[] = ['none', 'torn', 'all'];

/**
 * Carries out the steps until the crash. Returns the contents that the store
 * may have afterwards: that of the operations that were acknowledged, and that
 * with the one in progress.
 */
async function runUntilCrash(
  files: SimulatedFileSystem,
  start: StoredLog,
  steps: readonly Step[],
  crashAfter: number,
): Promise<{possible: readonly StoredLog[]; crashed: boolean}> {
  let acknowledged = start;
  let next = start;
  files.crashAfter(crashAfter);
  try {
    const store = await open(files);
    expect(await store.load()).toEqual(start);
    for (const each of steps) {
      const operation = nextOperation(acknowledged, each);
      next = applyOperation(acknowledged, operation);
      await carryOut(store, operation);
      acknowledged = next;
    }
  } catch (error) {
    if ((error as Error).name === 'AssertionError') throw error;
    return {possible: [acknowledged, next], crashed: true};
  }
  return {possible: [acknowledged], crashed: false};
}

describe('disk store that is interrupted', () => {
  it('holds after each crash what was acknowledged, also after later writes and loads', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, {minLength: 1, maxLength: 6}),
        fc.array(step, {minLength: 1, maxLength: 3}),
        fc.constantFrom(...losses),
        async (steps, laterSteps, loss) => {
          let crashed = true;
          for (let at = 0; crashed; at++) {
            const files = new SimulatedFileSystem();
            const run = await runUntilCrash(files, EMPTY_LOG, steps, at);
            crashed = run.crashed;
            files.restart(loss);
            const loaded = await (await open(files)).load();
            expect(run.possible).toContainEqual(loaded);
            // A second crash, at each operation of the repair and of the
            // writes that follow it.
            files.restart(loss);
            const again = await runUntilCrash(
              files,
              loaded,
              laterSteps,
              at % 7 === 0 ? Infinity : at % 7,
            );
            files.restart(loss);
            const reloaded = await (await open(files)).load();
            expect(again.possible).toContainEqual(reloaded);
          }
        },
      ),
      {numRuns: 150, seed: 42},
    );
  });

  const record = (index: number, term = 1) => ({
    ...{index, term, revision: index, kind: 'change' as const},
    text: `c${index}`,
  });
  const snapshotAt = (index: number, term = 1): Snapshot => ({
    ...{index, term, revision: index, members: '{}', state: '"s"'},
  });

  /** Leaves the files of a process that ended before it replaced the log. */
  async function interruptCompaction(snapshot: Snapshot) {
    const files = new SimulatedFileSystem();
    const store = await open(files);
    await store.load();
    await store.write([{records: [record(1), record(2), record(3)]}]);
    // The snapshot file: created, written, synced, renamed, its folder synced.
    files.crashAfter(5);
    await expect(store.compact(snapshot)).rejects.toThrow();
    files.restart('none');
    return files;
  }

  it.each([
    ['beyond the end of the log', snapshotAt(9)],
    ['at an entry of another term', snapshotAt(2, 5)],
  ])(
    'keeps entries that follow a received snapshot %s over two starts, and reports the repair',
    async (_, snapshot) => {
      const files = await interruptCompaction(snapshot);
      const repairs: LogRepair[] = [];
      const store = await open(files, repair => repairs.push(repair));
      expect((await store.load()).records).toEqual([]);
      expect(repairs).toEqual([
        {
          path: join('/data', 'log'),
          droppedRecords: 3,
          droppedBytes: 0,
          keptRecords: 0,
        },
      ]);
      const next = record(snapshot.index + 1, 5);
      await store.write([{records: [next]}]);
      for (let start = 0; start < 2; start++) {
        files.restart('all');
        expect((await (await open(files)).load()).records).toEqual([next]);
      }
    },
  );

  it('keeps entries that an earlier version appended to a log of before the snapshot', async () => {
    const files = await interruptCompaction(snapshotAt(9));
    const store = await open(files);
    // Earlier versions left the entries 1 to 3 in the file.
    const file = await files.readIfPresent('/data/log');
    await store.load();
    await store.write([{records: [record(10), record(11)]}]);
    const appended = (await files.readIfPresent('/data/log'))!;
    const rest = await openLogFile(files, Buffer.concat([file!, appended]));
    expect((await rest.load()).records).toEqual([record(10), record(11)]);
  });

  it('refuses to load a log that begins later than right after the snapshot', async () => {
    const files = new SimulatedFileSystem();
    const store = await open(files);
    await store.load();
    await store.write([{records: [record(5)]}]);
    files.restart('none');
    await expect((await open(files)).load()).rejects.toMatchObject({
      name: 'CorruptStoreError',
    });
  });

  it('does not release the folder while a compaction still replaces its files', async () => {
    const files = new SlowFileSystem();
    const locked = new Set<string>();
    const locker = async (folder: string) => {
      locked.add(folder);
      return {release: async () => void locked.delete(folder)};
    };
    const {store} = await openDiskStore('/data', 'g', {files, locker});
    await store.load();
    await store.write([{records: [record(1), record(2)]}]);
    const resume = files.pause();
    const compacted = store.compact(snapshotAt(1));
    const closed = store.close();
    await new Promise(setImmediate);
    expect(locked.size).toBe(1);
    resume();
    await Promise.all([compacted, closed]);
    expect(locked.size).toBe(0);
    await expect(store.write([{records: []}])).rejects.toThrow('closed');
  });
});

async function openLogFile(files: SimulatedFileSystem, data: Buffer) {
  await files.replaceFile('/data/log', data);
  return open(files);
}

/** Lets a test hold back the syncs of folders. */
class SlowFileSystem extends SimulatedFileSystem {
  private resumed: Promise<void> = Promise.resolve();

  /** Returns a function that lets the syncs go on. */
  pause(): () => void {
    let resume = () => {};
    this.resumed = new Promise(resolve => (resume = resolve));
    return resume;
  }

  override async syncFolder(): Promise<void> {
    await this.resumed;
    await super.syncFolder();
  }
}
