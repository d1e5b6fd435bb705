import {createLog} from '@lentildrift/observe';
import {startTasks, type TaskSystem} from '@lentildrift/task';
import {createServer, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  MalformedFrameError,
  createFrameDecoder,
  encodeFrame,
  MAX_FRAME_BYTES,
  RequestNotSentError,
  openLink,
  RECONNECT_DELAY_MS,
  IDLE_TIMEOUT_MS,
  startLinkServer,
  RequestUnansweredError,
  type Link,
  type LinkServer,
} from '../src/index.js';

const log = createLog('error', {}, () => {});
const HOST = '127.0.0.1';
let tasks: TaskSystem;
let server: LinkServer | undefined;
let link: Link | undefined;
let posts: [string, unknown][];
let states: boolean[];

beforeEach(() => {
  tasks = startTasks(() => {});
  posts = [];
  states = [];
});

afterEach(async () => {
  await link?.stop();
  await server?.stop();
  link = undefined;
  server = undefined;
  tasks.stop();
});

function open(port: number): Link {
  return openLink({
    address: `${HOST}:${port}`,
    name: 'client',
    tasks,
    log,
    onPost: (kind, body) => posts.push([kind, body]),
    onStateChange: isOpen => states.push(isOpen),
  });
}

async function until(done: () => boolean): Promise<void> {
  for (let turn = 0; turn < 300 && !done(); turn++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  expect(done()).toBe(true);
}

function serve(
  onRequest: (from: string, body: unknown) => Promise<unknown>,
  received: [string, string, unknown][] = [],
): Promise<LinkServer> {
  return startLinkServer({
    host: HOST,
    port: 0,
    tasks,
    log,
    onRequest,
    onPost: (from, kind, body) => received.push([from, kind, body]),
    initialPost: () => ({kind: 'hello', body: 1}),
  });
}

describe('a link', () => {
  it('carries requests, replies, failures and posts both ways', async () => {
    const received: [string, string, unknown][] = [];
    server = await serve(async (from, body) => {
      if (body === 'bad') throw new Error('refused');
      return {from, body};
    }, received);
    link = open(server.port);
    await until(() => link!.isOpen());
    expect(await link.request({n: 1}, 500)).toEqual({
      from: 'client',
      body: {n: 1},
    });
    await expect(link.request('bad', 500)).rejects.toThrow('refused');
    link.post('news', [1]);
    server.broadcast('status', 2);
    await until(() => received.length === 1 && posts.length === 2);
    expect(received).toEqual([['client', 'news', [1]]]);
    expect(posts).toEqual([
      ['hello', 1],
      ['status', 2],
    ]);
  });

  it('tells a request that was not sent from one without an answer', async () => {
    server = await serve(() => new Promise(() => {}));
    link = open(server.port);
    await expect(link.request(1, 500)).rejects.toBeInstanceOf(
      RequestNotSentError,
    );
    await until(() => link!.isOpen());
    await expect(link.request(1, 50)).rejects.toBeInstanceOf(
      RequestUnansweredError,
    );
  });

  it('fails waiting requests at once when the connection ends', async () => {
    server = await serve(() => new Promise(() => {}));
    link = open(server.port);
    await until(() => link!.isOpen());
    const request = link.request(1, 60_000);
    const settled = expect(request).rejects.toBeInstanceOf(
      RequestUnansweredError,
    );
    await server.stop();
    server = undefined;
    await settled;
  });

  it('closes a connection that falls silent, and opens it again', async () => {
    const sockets: Socket[] = [];
    const mute = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.resume();
    });
    await new Promise<void>(resolve => mute.listen(0, HOST, resolve));
    const {port} = mute.address() as {port: number};
    link = open(port);
    await until(() => link!.isOpen());
    const openedMs = performance.now();
    await until(() => states.includes(false));
    const silentMs = performance.now() - openedMs;
    expect(silentMs).toBeGreaterThan(IDLE_TIMEOUT_MS - 100);
    expect(silentMs).toBeLessThan(2 * IDLE_TIMEOUT_MS);
    await until(() => sockets.length === 2);
    await link.stop();
    for (const socket of sockets) socket.destroy();
    await new Promise(resolve => mute.close(resolve));
  });

  it('drops a peer that sends something else', async () => {
    server = await serve(async () => 1);
    const noise = open(server.port);
    await until(() => noise.isOpen());
    await noise.stop();
    const {connect} = await import('node:net');
    const socket = connect(server.port, HOST);
    const closed = new Promise(resolve => socket.on('close', resolve));
    socket.on('error', () => {});
    socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
    await closed;
  });
});

describe('frames', () => {
  it('are found wherever the stream is cut', () => {
    const values = [{a: 1}, 'text', [1, 2, 3]];
    const stream = Buffer.concat(values.map(encodeFrame));
    for (let cut = 1; cut < stream.length; cut++) {
      const decoder = createFrameDecoder();
      const decoded = [
        ...decoder.push(stream.subarray(0, cut)),
        ...decoder.push(stream.subarray(cut)),
      ];
      expect(decoded).toEqual(values);
    }
  });

  it('beyond the limit are refused before they are read', () => {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(MAX_FRAME_BYTES + 1);
    expect(() => createFrameDecoder().push(header)).toThrow(
      MalformedFrameError,
    );
  });

  it('connects at once when the peer is known to be up', async () => {
    const probe = createServer();
    const port = await new Promise<number>(resolve =>
      probe.listen(0, HOST, () => {
        resolve((probe.address() as {port: number}).port);
      }),
    );
    await new Promise(resolve => probe.close(resolve));
    link = open(port);
    // The first attempt is refused, and the next would come after a pause.
    await new Promise(resolve => setTimeout(resolve, 30));
    const peers: string[] = [];
    server = await startLinkServer({
      host: HOST,
      port,
      tasks,
      log,
      onRequest: async () => null,
      onPost: () => {},
      onPeerConnect: from => peers.push(from),
      initialPost: () => ({kind: 'hello', body: 1}),
    });
    link.reconnect();
    const begunMs = performance.now();
    await until(() => peers.length > 0);
    expect(peers).toEqual(['client']);
    expect(performance.now() - begunMs).toBeLessThan(RECONNECT_DELAY_MS / 2);
  });
});
