import {createIntake} from '@lentildrift/intake-limits';
import {createLog} from '@lentildrift/observe';
import {startTasks, type TaskSystem} from '@lentildrift/task';
import {connect, createServer, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {
  CONNECT_TIMEOUT_MS,
  MalformedFrameError,
  createFrameDecoder,
  encodeFrame,
  MAX_FRAME_BYTES,
  RequestNotSentError,
  openLink,
  RECONNECT_DELAY_MS,
  IDLE_TIMEOUT_MS,
  PING_INTERVAL_MS,
  startLinkServer,
  RequestUnansweredError,
  type Link,
  type LinkOptions,
  type LinkServer,
} from '../src/index.js';

const log = createLog('error', {}, () => {});
const HOST = '127.0.0.1';
let tasks: TaskSystem;
let server: LinkServer | undefined;
let link: Link | undefined;
let posts: [string, unknown][];
let openStates: boolean[];

beforeEach(() => {
  tasks = startTasks(() => {});
  posts = [];
  openStates = [];
});

afterEach(async () => {
  vi.restoreAllMocks();
  await link?.stop();
  await server?.stop();
  link = undefined;
  server = undefined;
  tasks.stop();
});

function openTestLink(port: number, more: Partial<LinkOptions> = {}): Link {
  return openLink({
    ...more,
    address: `${HOST}:${port}`,
    name: 'client',
    tasks,
    log,
    onPost: (kind, body) => posts.push([kind, body]),
    onStateChange: isOpen => openStates.push(isOpen),
  });
}

async function waitUntil(done: () => boolean): Promise<void> {
  for (let turn = 0; turn < 300 && !done(); turn++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  expect(done()).toBe(true);
}

function startTestServer(
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

// The connection of the first message was neither used nor closed.
it('a link that is told to reconnect while its own attempt is due connects once', async () => {
  server = await startTestServer(async () => undefined);
  const {port} = server;
  link = openTestLink(port);
  await waitUntil(() => openStates.length === 1);
  await server.stop();
  server = undefined;
  const sockets = new Set<Socket>();
  const listener = createServer(socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>(resolve => listener.listen(port, HOST, resolve));
  await waitUntil(() => openStates.length === 2);
  // Has the timer of the next attempt expire in the turn of the call.
  const endMs = performance.now() + RECONNECT_DELAY_MS + 20;
  while (performance.now() < endMs);
  link.reconnect();
  await waitUntil(() => openStates.length === 3);
  await new Promise(resolve => setTimeout(resolve, 100));
  expect(sockets.size).toBe(1);
  await link.stop();
  listener.close();
});

/**
 * Blocks the event loop; by default for longer than the idle timeout of a link,
 * and not as long as the accepting side, in the same process, waits for pings.
 */
function stall(durationMs = IDLE_TIMEOUT_MS + PING_INTERVAL_MS / 3): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

/**
 * Stalls behind the callbacks that are due at the end of the turn when so many
 * microtasks have run.
 */
function stallAfterMicrotasks(count: number): void {
  if (count > 0) queueMicrotask(() => stallAfterMicrotasks(count - 1));
  else setImmediate(() => stall());
}

describe('a link', () => {
  it('carries requests, replies, failures and posts both ways', async () => {
    const received: [string, string, unknown][] = [];
    server = await startTestServer(async (from, body) => {
      if (body === 'bad') throw new Error('refused');
      return {from, body};
    }, received);
    link = openTestLink(server.port);
    await waitUntil(() => link!.isOpen());
    expect(await link.request({n: 1}, 500)).toEqual({
      from: 'client',
      body: {n: 1},
    });
    await expect(link.request('bad', 500)).rejects.toThrow('refused');
    link.post('news', [1]);
    server.broadcast('status', 2);
    await waitUntil(() => received.length === 1 && posts.length === 2);
    expect(received).toEqual([['client', 'news', [1]]]);
    expect(posts).toEqual([
      ['hello', 1],
      ['status', 2],
    ]);
  });

  it('rejects unsent requests and unanswered requests with different errors', async () => {
    server = await startTestServer(() => new Promise(() => {}));
    link = openTestLink(server.port);
    await expect(link.request(1, 500)).rejects.toBeInstanceOf(
      RequestNotSentError,
    );
    await waitUntil(() => link!.isOpen());
    await expect(link.request(1, 50)).rejects.toBeInstanceOf(
      RequestUnansweredError,
    );
  });

  it('does not take a stall of this process for the silence of the peer', async () => {
    server = await startTestServer(async () => {
      // Blocks the event loop right after the answer was written, which is at
      // the end of the turn, and before this process reads it.
      queueMicrotask(() => stallAfterMicrotasks(20));
      return 'answer';
    });
    link = openTestLink(server.port);
    await waitUntil(() => link!.isOpen());
    expect(await link.request(1, 100)).toBe('answer');
    await new Promise(resolve => setTimeout(resolve, 100));
    expect(openStates).toEqual([true]);
  });

  it('does not take a stall of this process for a peer that accepts no connection', async () => {
    server = await startTestServer(async () => 'answer');
    const connect = vi.spyOn(Socket.prototype, 'connect');
    connect.mockImplementationOnce(function (this: Socket, ...values) {
      // Blocks the event loop before this process learns that it is connected.
      queueMicrotask(() => stall(CONNECT_TIMEOUT_MS + 100));
      return this.connect(...values);
    });
    link = openTestLink(server.port);
    await waitUntil(() => link!.isOpen());
    // The first call is that of the mock, which makes the second.
    expect(connect).toHaveBeenCalledTimes(2);
  });

  it('rejects pending requests at once when the connection closes', async () => {
    server = await startTestServer(() => new Promise(() => {}));
    link = openTestLink(server.port);
    await waitUntil(() => link!.isOpen());
    const request = link.request(1, 60_000);
    const settled = expect(request).rejects.toBeInstanceOf(
      RequestUnansweredError,
    );
    await server.stop();
    server = undefined;
    await settled;
  });

  // Each write is a system call; a leader would spend most of its time on them.
  it('does not write to the socket once for each message of a turn', async () => {
    const count = 100;
    const arrived: unknown[] = [];
    let answerAll = () => {};
    const allArrived = new Promise<void>(resolve => (answerAll = resolve));
    server = await startTestServer(async (_from, body) => {
      if (arrived.push(body) === count) answerAll();
      await allArrived;
      return body;
    });
    link = openTestLink(server.port);
    await waitUntil(() => link!.isOpen() && posts.length === 1);
    const write = vi.spyOn(Socket.prototype, 'write');
    const bodies = Array.from({length: count}, (_, index) => index);
    const answers = bodies.map(body => link!.request(body, 500));
    expect(await Promise.all(answers)).toEqual(bodies);
    expect(arrived).toEqual(bodies);
    // One write for the requests, one for the answers, and a ping and a pong.
    expect(write.mock.calls.length).toBeLessThanOrEqual(4);
  });

  it('does not delay a post until the end of a long turn', async () => {
    const received: [string, string, unknown][] = [];
    server = await startTestServer(async () => 1, received);
    link = openTestLink(server.port);
    await waitUntil(() => link!.isOpen() && posts.length === 1);
    const write = vi.spyOn(Socket.prototype, 'write');
    const answer = link.request(1, 500);
    link.post('news', 2);
    link.post('news', 3);
    await new Promise<void>(resolve => process.nextTick(resolve));
    expect(write).toHaveBeenCalledTimes(1);
    expect(await answer).toBe(1);
    await waitUntil(() => received.length === 2);
  });

  it('does not lose a message that was sent right before it stops', async () => {
    const received: [string, string, unknown][] = [];
    server = await startTestServer(async () => 1, received);
    link = openTestLink(server.port);
    await waitUntil(() => link!.isOpen());
    link.post('news', 1);
    await link.stop();
    await waitUntil(() => received.length === 1);
  });

  it('closes a connection on which nothing arrives, and reconnects', async () => {
    const sockets: Socket[] = [];
    const silentServer = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.resume();
    });
    await new Promise<void>(resolve => silentServer.listen(0, HOST, resolve));
    const {port} = silentServer.address() as {port: number};
    link = openTestLink(port);
    await waitUntil(() => link!.isOpen());
    const openedMs = performance.now();
    await waitUntil(() => openStates.includes(false));
    const silentMs = performance.now() - openedMs;
    expect(silentMs).toBeGreaterThan(IDLE_TIMEOUT_MS - 100);
    expect(silentMs).toBeLessThan(2 * IDLE_TIMEOUT_MS);
    await waitUntil(() => sockets.length === 2);
    await link.stop();
    for (const socket of sockets) socket.destroy();
    await new Promise(resolve => silentServer.close(resolve));
  });

  // Each entry host has a link to each control host, and uses one of them.
  it('sends few pings on a link for requests while none is pending', async () => {
    server = await startTestServer(async () => 'answer');
    link = openTestLink(server.port, {isForRequests: true});
    await waitUntil(() => link!.isOpen() && posts.length === 1);
    expect(await link.request(1, 500)).toBe('answer');
    const write = vi.spyOn(Socket.prototype, 'write');
    await new Promise(resolve => setTimeout(resolve, 5 * PING_INTERVAL_MS));
    // A ping and its answer.
    expect(write.mock.calls.length).toBeLessThanOrEqual(2);
    expect(openStates).toEqual([true]);
  });

  it('finds that the peer is silent soon after a request, on a link for requests', async () => {
    const sockets: Socket[] = [];
    const silentServer = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.resume();
    });
    await new Promise<void>(resolve => silentServer.listen(0, HOST, resolve));
    const {port} = silentServer.address() as {port: number};
    link = openTestLink(port, {isForRequests: true});
    await waitUntil(() => link!.isOpen());
    await new Promise(resolve => setTimeout(resolve, 1.2 * IDLE_TIMEOUT_MS));
    expect(openStates).toEqual([true]);
    const requestedMs = performance.now();
    const request = link.request(1, 60_000);
    await expect(request).rejects.toBeInstanceOf(RequestUnansweredError);
    const silentMs = performance.now() - requestedMs;
    expect(silentMs).toBeGreaterThan(IDLE_TIMEOUT_MS - 100);
    expect(silentMs).toBeLessThan(2 * IDLE_TIMEOUT_MS);
    await link.stop();
    for (const socket of sockets) socket.destroy();
    await new Promise(resolve => silentServer.close(resolve));
  });

  it('closes the connection of a peer that sends no valid frames', async () => {
    server = await startTestServer(async () => 1);
    const validLink = openTestLink(server.port);
    await waitUntil(() => validLink.isOpen());
    await validLink.stop();
    const socket = connect(server.port, HOST);
    const closed = new Promise(resolve => socket.on('close', resolve));
    socket.on('error', () => {});
    socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
    await closed;
  });
});

describe('frames and reconnection', () => {
  it('decodes frames wherever the stream is split into chunks', () => {
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

  it('rejects a frame beyond the size limit before its payload arrives', () => {
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
    link = openTestLink(port);
    // The first attempt is refused; the next follows only after a delay.
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
    const reconnectMs = performance.now();
    await waitUntil(() => peers.length > 0);
    expect(peers).toEqual(['client']);
    expect(performance.now() - reconnectMs).toBeLessThan(
      RECONNECT_DELAY_MS / 2,
    );
  });
});

describe('a link server with limits', () => {
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Sends each part a second after the one before, on the mocked clock. */
  async function sendEachSecond(
    parts: readonly Buffer[],
    received: [string, string, unknown][],
  ): Promise<Socket> {
    vi.useFakeTimers({toFake: ['setInterval', 'performance']});
    const limits = {budgetBytes: 64 * 1024 * 1024, maxConnections: 10};
    server = await startLinkServer({
      host: HOST,
      port: 0,
      tasks,
      log,
      intake: createIntake({listeners: 'links', limits, log}),
      onRequest: async () => undefined,
      onPost: (from, kind, body) => received.push([from, kind, body]),
      initialPost: () => ({kind: 'hello', body: 1}),
    });
    const socket = connect(server.port, HOST);
    socket.on('error', () => undefined).resume();
    for (const part of parts) {
      socket.write(part);
      await sleep(20);
      vi.advanceTimersByTime(1000);
    }
    await sleep(50);
    return socket;
  }

  const divide = (bytes: Buffer, count: number) => {
    const size = Math.ceil(bytes.length / count);
    return Array.from({length: count}, (_, index) =>
      bytes.subarray(index * size, (index + 1) * size),
    );
  };

  // A busy link was closed after 25 s, since each of its reads ended inside a
  // frame.
  it('keeps a link open whose reads all end inside a frame', async () => {
    const received: [string, string, unknown][] = [];
    const frame = encodeFrame({type: 'post', kind: 'k', body: 'x'.repeat(100)});
    const first = frame.subarray(0, 10);
    const later = Buffer.concat([frame.subarray(10), first]);
    const parts = [first, ...Array.from({length: 35}, () => later)];
    const socket = await sendEachSecond(parts, received);
    expect(socket.closed).toBe(false);
    expect(received).toHaveLength(35);
    socket.destroy();
  });

  it('accepts a large frame that takes longer than the time-out but goes on', async () => {
    const received: [string, string, unknown][] = [];
    const body = 'x'.repeat(80 * 1024);
    const frame = encodeFrame({type: 'post', kind: 'k', body});
    const socket = await sendEachSecond(divide(frame, 40), received);
    expect(received).toEqual([['', 'k', body]]);
    socket.destroy();
  });

  it('closes a connection whose frame comes at less than the least rate', async () => {
    const body = 'x'.repeat(80 * 1024);
    const frame = encodeFrame({type: 'post', kind: 'k', body});
    const bytes = frame.subarray(0, 10 * 35);
    const socket = await sendEachSecond(divide(bytes, 35), []);
    await waitUntil(() => socket.closed);
  });
});
