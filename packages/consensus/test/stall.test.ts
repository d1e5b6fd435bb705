/** Tests that a member does not take its own stall for the leader's silence. */
import {once} from 'node:events';
import {createServer, connect, type AddressInfo, type Socket} from 'node:net';
import {expect, it, vi} from 'vitest';
import {
  JsonCodec,
  PeerTransport,
  startRaft,
  type PeerMessage,
} from '@lentildrift/consensus';
import {MemoryDisk, MemoryStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';

class RecordingTransport extends PeerTransport {
  readonly sentTypes: string[] = [];

  override send(_to: string, messages: readonly PeerMessage[]): void {
    this.sentTypes.push(...messages.map(({type}) => type));
  }
}

it('a follower whose process stalled reads the waiting heartbeats before it stands for election', async () => {
  const tasks = startTasks(() => {});
  const transport = new RecordingTransport();
  const store = new MemoryStore(new MemoryDisk(), {syncMs: 1});
  const replica = await startRaft<number, number, number>({
    member: 'b',
    group: 'g',
    seed: 1,
    stateMachine: {
      initial: 0,
      apply: state => ({state: state + 1, answer: state}),
      revision: state => state,
    },
    codec: new JsonCodec(),
    store,
    transport,
    tasks,
    initialVoters: ['a', 'b', 'c'],
    onFatal: error => {
      throw error;
    },
  });
  const heartbeat: PeerMessage = {
    type: 'append',
    group: 'g',
    from: 'a',
    to: 'b',
    term: 1,
    prevIndex: 1,
    prevTerm: 0,
    records: [],
    commit: 0,
    round: 1,
  };
  replica.receive('a', [heartbeat]);
  // Heartbeats arrive at a socket that another task owns, as in a link.
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const {port} = server.address() as AddressInfo;
  const socket = connect({port, host: '127.0.0.1', noDelay: true});
  const [peer] = await accepted;
  const owner = tasks.spawn<null, {type: 'data'}>({
    name: 'owner',
    initial: null,
    handle(state) {
      replica.receive('a', [heartbeat]);
      return state;
    },
  });
  socket.on('data', () => owner.post({type: 'data'}));
  await vi.waitFor(() => expect(replica.status().leader).toBe('a'));

  peer.write('x');
  // Longer than the longest election timeout.
  const endMs = performance.now() + 3100;
  while (performance.now() < endMs);
  await new Promise(resolve => setTimeout(resolve, 200));
  expect(replica.status()).toMatchObject({leader: 'a', term: 1});
  expect(transport.sentTypes).not.toContain('pre-vote');
  socket.destroy();
  server.close();
  replica.kill();
  tasks.stop();
});
