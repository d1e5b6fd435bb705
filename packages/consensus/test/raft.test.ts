/** Tests of a group of one member whose log is stored in real files. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  JsonCodec,
  PeerTransport,
  startRaft,
  type StateMachine,
} from '@lentildrift/consensus';
import {openDiskStore, type LogStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';
import {z} from 'zod';

const stateMachine: StateMachine<number[], number, number> = {
  initial: [],
  apply: (state, change) => ({state: [...state, change], answer: change}),
  revision: state => state.length,
};

class NoPeers extends PeerTransport {
  override send(): void {}
}

function startOne(
  member: string,
  store: LogStore,
  fatal: Error[] = [],
  codec = new JsonCodec<number[], number>(),
) {
  return startRaft<number[], number, number>({
    member,
    group: 'g',
    seed: 1,
    stateMachine,
    codec,
    store,
    transport: new NoPeers(),
    tasks: startTasks(() => {}),
    initialVoters: [member],
    changesPerSnapshot: 10,
    onFatal: error => fatal.push(error),
  });
}

describe('a replica on disk', () => {
  let folder: string;
  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'lentildrift-raft-'));
  });
  afterEach(() => rm(folder, {recursive: true}));

  async function waitUntilLeader(
    replica: Awaited<ReturnType<typeof startOne>>,
  ) {
    if (replica.status().role === 'leader') return;
    await new Promise<void>(resolve => {
      replica.onStatusChange(({role}) => role === 'leader' && resolve());
    });
  }

  it('keeps accepted changes over restarts and counts only changes as revisions', async () => {
    const expected: number[] = [];
    for (let run = 0; run < 3; run++) {
      const {identity, store} = await openDiskStore(folder, 'g');
      const replica = await startOne(identity.memberId, store);
      await waitUntilLeader(replica);
      const revision = await replica.readIndex();
      expect(revision).toBe(expected.length);
      await replica.waitForRevision(revision);
      expect(replica.state()).toEqual(expected);
      const changes = Array.from({length: 13}, (_, i) => run * 100 + i);
      const results = await Promise.all(changes.map(n => replica.propose(n)));
      expected.push(...changes);
      expect(results.at(-1)).toEqual({
        answer: changes.at(-1),
        revision: expected.length,
      });
      await replica.stop();
    }
  });

  // Each member ended when it applied such an entry, also after each restart.
  it('refuses a change that cannot be decoded before it is in the log', async () => {
    const codec = new JsonCodec<number[], number>({change: z.number().max(9)});
    const fatal: Error[] = [];
    for (let run = 0; run < 2; run++) {
      const {identity, store} = await openDiskStore(folder, 'g');
      const replica = await startOne(identity.memberId, store, fatal, codec);
      await waitUntilLeader(replica);
      await expect(replica.propose(10)).rejects.toMatchObject({
        name: 'ChangeRefused',
      });
      await replica.propose(run);
      await replica.stop();
      expect(replica.state()).toEqual(run === 0 ? [0] : [0, 1]);
    }
    expect(fatal).toEqual([]);
  });

  it('acknowledges nothing after a disk error and reports the error', async () => {
    const {identity, store} = await openDiskStore(folder, 'g');
    const fatal: Error[] = [];
    const replica = await startOne(identity.memberId, store, fatal);
    await waitUntilLeader(replica);
    await replica.propose(1);
    store.write = () => Promise.reject(new Error('no space left on device'));
    await expect(replica.propose(2)).rejects.toMatchObject({
      name: 'OutcomeUnknown',
    });
    await expect(replica.readIndex()).rejects.toThrow('not the leader');
    await expect(replica.propose(3)).rejects.toThrow('not the leader');
    await expect(replica.waitForRevision(9)).rejects.toThrow('has stopped');
    expect(fatal.map(({message}) => message)).toEqual([
      'no space left on device',
    ]);
    await store.close();
  });
});
