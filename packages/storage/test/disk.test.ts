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

  /** Writes three batches; returns the size of the log after each. */
  async function fill(): Promise<number[]> {
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

  it('forgets the ballot, an overwrite or a record across a restart', async () => {
    await fill();
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

  it('keeps part of a batch whose write was torn, at any byte', async () => {
    const [, second, third] = (await fill()) as [number, number, number];
    const whole = await readFile(file('log'));
    for (let size = second; size < third; size++) {
      await writeFile(file('log'), whole.subarray(0, size));
      expect(indexes(await load())).toEqual([1, 2]);
      expect((await readFile(file('log'))).length).toBe(second);
    }
    // A size that reached the disk before the data leaves zeros.
    await appendFile(file('log'), Buffer.alloc(100));
    expect(indexes(await load())).toEqual([1, 2]);
  });

  it('starts on a log with damage before the tail, at any byte', async () => {
    const [, second] = (await fill()) as [number, number, number];
    const whole = await readFile(file('log'));
    for (let at = 0; at < second; at++) {
      const damaged = Buffer.from(whole);
      damaged[at]! ^= 0x41;
      await writeFile(file('log'), damaged);
      await expect(load()).rejects.toMatchObject({name: 'CorruptStoreError'});
    }
  });

  it('loses records by a snapshot, or starts on a damaged one', async () => {
    await fill();
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

  it('accepts writes after a write has failed', async () => {
    await withStore(async store => {
      await store.load();
      const handle = (store as unknown as {file: {datasync: unknown}}).file;
      handle.datasync = () => Promise.reject(new Error('EIO'));
      const failed = {name: 'StoreWriteError'};
      const write = () => store.write([{records: [record(1)]}]);
      await expect(write()).rejects.toMatchObject(failed);
      handle.datasync = () => Promise.resolve();
      await expect(write()).rejects.toMatchObject(failed);
    });
  });

  it('brings a wiped folder back under its old ID, or half of it at all', async () => {
    const open = async (group = 'g') => {
      const {identity, store} = await openDiskStore(folder, group);
      await store.close();
      return identity.memberId;
    };
    const id = await open();
    await fill();
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

  it('lets two daemons use a folder, or a dead one block it', async () => {
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
