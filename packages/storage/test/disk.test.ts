import {spawn} from 'node:child_process';
import {
  appendFile,
  mkdtemp,
  readFile,
  rm,
  truncate,
  writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  openDiskStore,
  type LogRecord,
  type Snapshot,
} from '@lentildrift/storage';

function record(index: number, term = 1): LogRecord {
  return {index, term, revision: index, kind: 'change', text: `c${index}`};
}

function snapshotAt(index: number): Snapshot {
  return {index, term: 1, revision: index, members: '{}', state: '"s"'};
}

describe('disk store', () => {
  let folder: string;
  const file = (name: string) => join(folder, name);

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'lentildrift-disk-'));
  });
  afterEach(() => rm(folder, {recursive: true}));

  async function withStore<T>(
    use: (
      store: Awaited<ReturnType<typeof openDiskStore>>['store'],
    ) => Promise<T>,
  ): Promise<T> {
    const {store} = await openDiskStore(folder, 'g');
    try {
      return await use(store);
    } finally {
      await store.close();
    }
  }
  const load = () => withStore(store => store.load());
  const indexes = (log: {records: readonly LogRecord[]}) =>
    log.records.map(({index}) => index);

  /** Writes three batches; returns the log size in bytes after each of them. */
  async function writeThreeBatches(): Promise<number[]> {
    return withStore(async store => {
      await store.load();
      const sizes: number[] = [];
      for (const index of [1, 2, 3]) {
        const ballot = {term: index, vote: 'a'};
        await store.write([{ballot, records: [record(index)]}]);
        sizes.push((await readFile(file('log'))).length);
      }
      return sizes;
    });
  }

  it('keeps the ballot, overwritten entries and new entries across a restart', async () => {
    await writeThreeBatches();
    await withStore(async store => {
      await store.load();
      await store.write([
        {truncateFrom: 2, records: [record(2, 4)]},
        {records: [record(3, 4), record(4, 4)]},
      ]);
    });
    const log = await load();
    expect(log.ballot).toEqual({term: 3, vote: 'a'});
    expect(log.records).toEqual(
      [1, 2, 3, 4].map(i => record(i, i > 1 ? 4 : 1)),
    );
  });

  it('discards the whole last batch if its write was cut off at any byte', async () => {
    const [, second, third] = (await writeThreeBatches()) as [
      number,
      number,
      number,
    ];
    const completeLog = await readFile(file('log'));
    for (let size = second; size < third; size++) {
      await writeFile(file('log'), completeLog.subarray(0, size));
      expect(indexes(await load())).toEqual([1, 2]);
      expect((await readFile(file('log'))).length).toBe(second);
    }
    // If the new file size reached the disk before the data, the file ends in
    // zeros.
    await appendFile(file('log'), Buffer.alloc(100));
    expect(indexes(await load())).toEqual([1, 2]);
  });

  it('refuses to load a log with a damaged byte before its last frame', async () => {
    const [, second] = (await writeThreeBatches()) as [number, number, number];
    const completeLog = await readFile(file('log'));
    for (let at = 0; at < second; at++) {
      const damaged = Buffer.from(completeLog);
      damaged[at]! ^= 0x41;
      await writeFile(file('log'), damaged);
      await expect(load()).rejects.toMatchObject({name: 'CorruptStoreError'});
    }
  });

  it('keeps the entries after a snapshot, and refuses to load a damaged snapshot', async () => {
    await writeThreeBatches();
    await withStore(async store => {
      await store.load();
      await store.compact(snapshotAt(2));
      await store.write([{records: [record(4)]}]);
    });
    const log = await load();
    expect(log.snapshot).toEqual(snapshotAt(2));
    expect(indexes(log)).toEqual([3, 4]);
    expect(log.ballot).toEqual({term: 3, vote: 'a'});
    await truncate(file('snapshot'), 20);
    await expect(load()).rejects.toMatchObject({name: 'CorruptStoreError'});
  });

  it('rejects every write after one has failed', async () => {
    await withStore(async store => {
      await store.load();
      const handle = (store as unknown as {logFile: {datasync: unknown}})
        .logFile;
      handle.datasync = () => Promise.reject(new Error('EIO'));
      const failed = {name: 'StoreWriteError'};
      const write = () => store.write([{records: [record(1)]}]);
      await expect(write()).rejects.toMatchObject(failed);
      handle.datasync = () => Promise.resolve();
      await expect(write()).rejects.toMatchObject(failed);
    });
  });

  it('refuses a folder of another group or with a missing file, and gives a wiped folder a new ID', async () => {
    const open = async (group = 'g') => {
      const {identity, store} = await openDiskStore(folder, group);
      await store.close();
      return identity.memberId;
    };
    const id = await open();
    await writeThreeBatches();
    expect(await open()).toBe(id);
    await expect(open('h')).rejects.toMatchObject({name: 'WrongGroupError'});
    const log = await readFile(file('log'));
    await rm(file('log'));
    await expect(open()).rejects.toMatchObject({name: 'CorruptStoreError'});
    await writeFile(file('log'), log);
    await rm(file('identity.json'));
    await expect(open()).rejects.toMatchObject({name: 'CorruptStoreError'});
    await rm(file('log'));
    expect(await open()).not.toBe(id);
  });

  it('locks a folder against a second process until the first one ends', async () => {
    const module = new URL('../dist/src/index.js', import.meta.url);
    const script = `
      const {openDiskStore} = await import(${JSON.stringify(module.href)});
      await openDiskStore(${JSON.stringify(folder)}, 'g');
      console.log('open');
      setInterval(() => {}, 1000);`;
    const child = spawn(process.execPath, [
      '--input-type=module',
      '-e',
      script,
    ]);
    const ended = new Promise(resolve => child.once('exit', resolve));
    await new Promise(resolve => child.stdout.once('data', resolve));
    const locked = {name: 'FolderLockedError'};
    await expect(openDiskStore(folder, 'g')).rejects.toMatchObject(locked);
    child.kill('SIGKILL');
    await ended;
    await (await openDiskStore(folder, 'g')).store.close();
  });
});
