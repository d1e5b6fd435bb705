import {connect, type Socket} from 'node:net';
import {once} from 'node:events';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {FakeControl} from './fake.js';
import {
  respond,
  startStack,
  verdictOf,
  waitUntil,
  type Stack,
} from './stack.js';

let stack: Stack;

beforeEach(async () => {
  stack = await startStack();
});

afterEach(async () => {
  await stack.stop();
  expect(stack.failures).toEqual([]);
});

const post = {method: 'POST', body: 'claim'};

describe('forwarding', () => {
  it('never relays a truncated response as a complete one', async () => {
    await stack.upstream((socket, head) => {
      if (head.startsWith('GET /chunked')) {
        socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
        socket.end('5\r\nhello\r\n');
      } else socket.end('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf');
    });
    for (const path of ['/lanes/plain', '/lanes/chunked']) {
      const response = await stack.call(path);
      await expect(response.text()).rejects.toThrow();
    }
    expect(stack.observer.calls).toMatchObject([
      {verdict: 'ran', complete: false, callerLeft: undefined},
      {verdict: 'ran', complete: false, callerLeft: undefined},
    ]);
  });

  it('does not retry a POST when a reused connection closes', async () => {
    const upstream = await stack.upstream((socket, _head, count) => {
      if (count === 1) socket.write(respond('ok'));
      else socket.destroy();
    });
    expect((await stack.call('/lanes/', post)).status).toBe(200);
    const second = await stack.call('/lanes/', post);
    expect(second.status).toBe(502);
    expect(verdictOf(second)).toBe('may-have-run');
    expect(upstream.requests.length).toBe(2);
    expect(upstream.accepted()).toBe(1);
  });

  it('does not retry unsafe methods at another upstream if they may have run', async () => {
    const reset = (socket: Socket) => socket.resetAndDestroy();
    const upstreams = [
      await stack.upstream(reset),
      await stack.upstream(reset, {host: 'h2'}),
    ];
    const sent = () =>
      upstreams.reduce((sum, {requests}) => sum + requests.length, 0);
    const calls: [string, RequestInit][] = [
      ['/lanes/', post],
      ['/lanes/', {method: 'POST'}],
      ['/lanes/', {method: 'DELETE'}],
      // On a route marked `once`, not even safe methods may be retried.
      ['/book/', {method: 'GET'}],
    ];
    for (const [path, init] of calls) {
      const before = sent();
      const response = await stack.call(path, init);
      expect(verdictOf(response)).toBe('may-have-run');
      expect(sent()).toBe(before + 1);
    }
  });

  it('retries a GET at another upstream when its connection was reset', async () => {
    const broken = await stack.upstream(socket => socket.resetAndDestroy());
    const healthy = await stack.upstream(
      socket => socket.write(respond('ok')),
      {
        host: 'h2',
      },
    );
    for (let i = 0; i < 20; i++) {
      expect(await (await stack.call('/lanes/')).text()).toBe('ok');
    }
    expect(broken.requests.length).toBeGreaterThan(0);
    expect(healthy.requests.length).toBe(20);
  });

  it('sends a POST to another upstream if the first refuses the connection', async () => {
    const gone = await stack.upstream(() => undefined);
    await gone.stop();
    const healthy = await stack.upstream(
      socket => socket.write(respond('ok')),
      {
        host: 'h2',
      },
    );
    for (let i = 0; i < 5; i++) {
      const response = await stack.call('/lanes/', post);
      expect(response.status).toBe(200);
    }
    expect(healthy.requests.length).toBe(5);
    expect(healthy.requests[0]).toMatch(/\r\n\r\nclaim$/);
  });

  it('answers not-run when no upstream accepts a connection', async () => {
    const gone = await stack.upstream(() => undefined);
    await gone.stop();
    const refused = await stack.call('/lanes/', post);
    expect(refused.status).toBe(502);
    expect(verdictOf(refused)).toBe('not-run');
    // The upstream is now excluded, so the next call is refused at once.
    expect((await stack.call('/lanes/', post)).status).toBe(503);
  });

  it('answers by the deadline when the upstream does not, and drops a late response', async () => {
    const upstream = await stack.upstream((socket, head) => {
      const late = head.startsWith('GET /late');
      setTimeout(
        () => socket.write(respond(late ? 'late' : 'own')),
        late ? 300 : 0,
      );
    });
    const late = await stack.call('/quick/late');
    expect(late.status).toBe(504);
    expect(verdictOf(late)).toBe('may-have-run');
    expect(await (await stack.call('/quick/own')).text()).toBe('own');
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(await (await stack.call('/quick/own')).text()).toBe('own');
    expect(upstream.requests.length).toBe(3);
  });

  it('keeps the slot of a disconnected caller until the upstream connection is closed', async () => {
    await stack.stop();
    stack = await startStack(new FakeControl(1));
    const upstream = await stack.upstream((socket, head) => {
      if (!head.startsWith('GET /hang')) socket.write(respond('ok'));
    });
    const caller = new AbortController();
    const left = stack.call('/lanes/hang', {signal: caller.signal});
    await waitUntil(() => upstream.requests.length === 1);
    const full = await stack.call('/lanes/');
    expect(full.status).toBe(429);
    expect(full.headers.get('retry-after')).toBe('1');
    expect(verdictOf(full)).toBe('not-run');
    caller.abort();
    await expect(left).rejects.toThrow();
    await waitUntil(() => upstream.sockets.size === 0);
    await new Promise(resolve => setTimeout(resolve, 50));
    expect((await stack.call('/lanes/')).status).toBe(200);
    const [gone] = stack.observer.calls.filter(({status}) => status === 0);
    expect(gone).toMatchObject({callerLeft: true, complete: false});
  });

  it('reports a caller that disconnects during the response as callerLeft', async () => {
    await stack.upstream(socket =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf'),
    );
    const caller = new AbortController();
    const response = await stack.call('/lanes/', {signal: caller.signal});
    caller.abort();
    await expect(response.text()).rejects.toThrow();
    await waitUntil(() => stack.observer.calls.length === 1);
    expect(stack.observer.calls).toMatchObject([
      {status: 200, complete: false, callerLeft: true},
    ]);
  });

  it('stops reading from the upstream while the caller does not read', async () => {
    let sent = 0;
    let closed = false;
    await stack.upstream(socket => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n');
      const block = Buffer.alloc(65536);
      const push = () => {
        while (!socket.destroyed && socket.write(block)) sent += block.length;
      };
      socket.on('drain', push).on('close', () => (closed = true));
      push();
    });
    const socket = connect(stack.entry.port, '127.0.0.1');
    socket.write(
      `GET /call/lanes/ HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${stack.teamKey}\r\n\r\n`,
    );
    socket.on('error', () => undefined);
    await once(socket, 'readable');
    await waitUntil(() => closed);
    expect(sent).toBeLessThan(100_000_000);
    expect(stack.observer.calls).toMatchObject([
      {complete: false, callerLeft: undefined},
    ]);
    socket.destroy();
  });

  it('refuses bodies above the limit, with and without a declared length', async () => {
    const upstream = await stack.upstream(socket =>
      socket.write(respond('ok')),
    );
    const declared = await stack.call('/lanes/', {
      method: 'POST',
      body: 'x'.repeat(1001),
    });
    expect([declared.status, verdictOf(declared)]).toEqual([413, 'not-run']);
    expect(upstream.requests.length).toBe(0);
    const stream = new ReadableStream({
      async start(controller) {
        controller.enqueue(Buffer.alloc(600));
        await waitUntil(() => upstream.hasReceived());
        controller.enqueue(Buffer.alloc(600));
        controller.close();
      },
    });
    const chunked = await stack.call('/lanes/', {
      method: 'POST',
      body: stream,
      duplex: 'half',
    });
    expect(chunked.status).toBe(413);
    expect(verdictOf(chunked)).toBe('may-have-run');
    expect(upstream.requests.length).toBe(0);
  });

  it('refuses ambiguous framing and oversized headers without forwarding the request', async () => {
    const upstream = await stack.upstream(socket =>
      socket.write(respond('ok')),
    );
    const head =
      'POST /call/lanes/ HTTP/1.1\r\nhost: a\r\nconnection: close\r\n' +
      `authorization: Bearer ${stack.teamKey}\r\n`;
    const shapes = [
      'content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
      'content-length: 5\r\ncontent-length: 6\r\n\r\nhello',
      'transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
      'transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
      'host: b\r\n\r\n',
    ];
    for (const shape of shapes) {
      expect(await stack.raw(head + shape)).toMatch(
        /^HTTP\/1.1 400 [^]*not-run/,
      );
    }
    const large = await stack.raw(`${head}x: ${'y'.repeat(17_000)}\r\n\r\n`);
    expect(large).toMatch(/^HTTP\/1.1 431 [^]*not-run/);
    expect(upstream.requests.length).toBe(0);
  });

  it('strips hop-by-hop headers in both directions, and the key of the caller', async () => {
    const upstream = await stack.upstream(socket =>
      socket.write(
        respond(
          'ok',
          'connection: x-hop\r\nx-hop: 1\r\nset-cookie: a\r\nset-cookie: b\r\nlentildrift-verdict: not-run\r\n',
        ),
      ),
    );
    const answer = await stack.raw(
      'GET /call/lanes/a?b HTTP/1.1\r\nhost: a\r\nconnection: close, x-own\r\n' +
        `x-own: 1\r\nte: trailers\r\nauthorization: Bearer ${stack.teamKey}\r\nx-kept: 1\r\n\r\n`,
    );
    expect(upstream.requests[0]).toMatch(/^GET \/a\?b HTTP\/1.1\r\n/);
    expect(upstream.requests[0]).toContain('x-kept: 1');
    expect(upstream.requests[0]).not.toMatch(
      /x-own|^te:|authorization|Bearer/im,
    );
    expect(answer).not.toMatch(/x-hop|not-run/);
    expect(answer).toMatch(/set-cookie: a\r\nset-cookie: b/);
    expect(answer).toMatch(/lentildrift-verdict: ran/);
  });
});
