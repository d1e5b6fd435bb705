import {createServer, connect, type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import {expect, it, vi} from 'vitest';
import {startInputTimeout, startTasks} from '@lentildrift/task';

/** Blocks the event loop, as a long turn or a frozen process does. */
function stall(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

it('a timeout that expires in a stall is cancelled by input that arrived before its end', async () => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const {port} = server.address() as AddressInfo;
  const socket = connect({port, host: '127.0.0.1', noDelay: true});
  const [peer] = await accepted;
  const events: string[] = [];
  const tasks = startTasks(() => {});
  const waiting = tasks.spawn<null, {type: 'input'}>({
    name: 'waiting',
    initial: null,
    handle(state) {
      events.push('input');
      timeout.cancel();
      return state;
    },
  });
  const owner = tasks.spawn<null, {type: 'input'}>({
    name: 'owner',
    initial: null,
    handle(state, message) {
      waiting.post(message);
      return state;
    },
  });
  socket.on('data', () => owner.post({type: 'input'}));
  const timeout = startInputTimeout(() => events.push('timeout'), 50);
  peer.write('x');
  stall(100);
  await vi.waitFor(() => expect(events).not.toEqual([]));
  expect(events).toEqual(['input']);

  startInputTimeout(() => events.push('timeout'), 10);
  await vi.waitFor(() => expect(events).toEqual(['input', 'timeout']));
  socket.destroy();
  server.close();
  tasks.stop();
});
