/** A group of one on real files. */
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
import {openDisk, type LogStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';

const machine: StateMachine<number[], number, number> = {
  initial: [],
  apply: (state, change) => ({state: [...state, change], answer: change}),
  revision: state => state.length,
};

class NoPeers extends PeerTransport {
  override send(): void {}
}

function startOne(member: string, store: LogStore, fatal: Error[] = []) {
  return startRaft<number[], number, number>({
    member,
    group: 'g',
    seed: 1,
    stateMachine: machine,
    codec: new JsonCodec(),
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

  async function untilLeads(replica: Awaited<ReturnType<typeof startOne>>) {
    if (replica.status().role === 'leader') return;
    await new Promise<void>(resolve => {
      replica.onStatusChange(({role}) => role === 'leader' && resolve());
    });
  }

  it('loses accepted changes in a restart, or counts internal entries as revisions', async () => {
    const expected: number[] = [];
    for (let run = 0; run < 3; run++) {
      const {identity, store} = await openDisk(folder, 'g');
      const replica = await startOne(identity.memberId, store);
      await untilLeads(replica);
      const revision = await replica.readIndex();
      expect(revision).toBe(expected.length);
      await replica.waitForRevision(revision);
      expect(replica.state()).toEqual(expected);
      const changes = Array.from({length: 13}, (_, i) => run * 100 + i);
      const done = await Promise.all(changes.map(n => replica.propose(n)));
      expected.push(...changes);
      expect(done.at(-1)).toEqual({
        answer: changes.at(-1),
        revision: expected.length,
      });
      await replica.stop();
    }
  });

  it('acknowledges after a disk error, or hides it', async () => {
    const {identity, store} = await openDisk(folder, 'g');
    const fatal: Error[] = [];
    const replica = await startOne(identity.memberId, store, fatal);
    await untilLeads(replica);
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
