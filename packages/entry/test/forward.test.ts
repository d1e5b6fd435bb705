import {connect, type Socket} from 'node:net';
import {once} from 'node:events';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {FakeControl} from './fake.js';
import {respond, startStack, until, verdictOf, type Stack} from './stack.js';

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
  it('does not end a truncated response as a complete one', async () => {
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

  it('does not repeat a booking on a reused connection that closes', async () => {
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

  it('does not repeat what may have run on another upstream', async () => {
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
      // No method may be repeated on a route marked `once`.
      ['/book/', {method: 'GET'}],
    ];
    for (const [path, init] of calls) {
      const before = sent();
      const response = await stack.call(path, init);
      expect(verdictOf(response)).toBe('may-have-run');
      expect(sent()).toBe(before + 1);
    }
  });

  it('repeats a read whose connection was reset, on another upstream', async () => {
    const broken = await stack.upstream(socket => socket.resetAndDestroy());
    const sound = await stack.upstream(socket => socket.write(respond('ok')), {
      host: 'h2',
    });
    for (let i = 0; i < 20; i++) {
      expect(await (await stack.call('/lanes/')).text()).toBe('ok');
    }
    expect(broken.requests.length).toBeGreaterThan(0);
    expect(sound.requests.length).toBe(20);
  });

  it('sends a booking elsewhere only if the first upstream refused it', async () => {
    const gone = await stack.upstream(() => undefined);
    await gone.stop();
    const sound = await stack.upstream(socket => socket.write(respond('ok')), {
      host: 'h2',
    });
    for (let i = 0; i < 5; i++) {
      const response = await stack.call('/lanes/', post);
      expect(response.status).toBe(200);
    }
    expect(sound.requests.length).toBe(5);
    expect(sound.requests[0]).toMatch(/\r\n\r\nclaim$/);
  });

  it('says not-run only when no upstream took the connection', async () => {
    const gone = await stack.upstream(() => undefined);
    await gone.stop();
    const refused = await stack.call('/lanes/', post);
    expect(refused.status).toBe(502);
    expect(verdictOf(refused)).toBe('not-run');
    // The upstream is now excluded, and the refusal comes early.
    expect((await stack.call('/lanes/', post)).status).toBe(503);
  });

  it('answers in time when an upstream never does, and drops a late answer', async () => {
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

  it('holds the slot of a caller that left until the connection is closed', async () => {
    await stack.stop();
    stack = await startStack(new FakeControl(1));
    const upstream = await stack.upstream((socket, head) => {
      if (!head.startsWith('GET /hang')) socket.write(respond('ok'));
    });
    const caller = new AbortController();
    const left = stack.call('/lanes/hang', {signal: caller.signal});
    await until(() => upstream.requests.length === 1);
    const full = await stack.call('/lanes/');
    expect(full.status).toBe(429);
    expect(full.headers.get('retry-after')).toBe('1');
    expect(verdictOf(full)).toBe('not-run');
    caller.abort();
    await expect(left).rejects.toThrow();
    await until(() => upstream.sockets.size === 0);
    await new Promise(resolve => setTimeout(resolve, 50));
    expect((await stack.call('/lanes/')).status).toBe(200);
    const [gone] = stack.observer.calls.filter(({status}) => status === 0);
    expect(gone).toMatchObject({callerLeft: true, complete: false});
  });

  it('does not blame the upstream when a caller leaves amid the response', async () => {
    await stack.upstream(socket =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf'),
    );
    const caller = new AbortController();
    const response = await stack.call('/lanes/', {signal: caller.signal});
    caller.abort();
    await expect(response.text()).rejects.toThrow();
    await until(() => stack.observer.calls.length === 1);
    expect(stack.observer.calls).toMatchObject([
      {status: 200, complete: false, callerLeft: true},
    ]);
  });

  it('reads no more from the upstream than a slow caller takes', async () => {
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
    await until(() => closed);
    expect(sent).toBeLessThan(100_000_000);
    expect(stack.observer.calls).toMatchObject([
      {complete: false, callerLeft: undefined},
    ]);
    socket.destroy();
  });

  it('refuses bodies above the limit, declared or not', async () => {
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
        await until(() => upstream.touched());
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

  it('refuses ambiguous framing and large headers, and forwards nothing', async () => {
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

  it('strips hop-by-hop headers and the key, both ways', async () => {
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
