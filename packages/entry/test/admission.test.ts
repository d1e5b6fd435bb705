import {connect} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
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

const booking = (key: string) => ({
  method: 'POST',
  headers: {'idempotency-key': key},
});

describe('idempotency keys', () => {
  it('let a claimed request be forwarded once, and answer duplicates with its first response', async () => {
    const upstream = await stack.upstream(socket => {
      setTimeout(() => socket.write(respond('lane 4', 'x-lane: 4\r\n')), 50);
    });
    const first = stack.call('/book/', booking('k1'));
    await waitUntil(() => upstream.requests.length === 1);
    const early = await stack.call('/book/', booking('k1'));
    expect([early.status, verdictOf(early)]).toEqual([409, 'may-have-run']);
    expect(await (await first).text()).toBe('lane 4');
    await waitUntil(() => [...stack.control.claims.values()].includes('ran'));
    const again = await stack.call('/book/', booking('k1'));
    expect([again.status, again.headers.get('x-lane')]).toEqual([200, '4']);
    expect(await again.text()).toBe('lane 4');
    expect(upstream.requests.length).toBe(1);
  });

  it('are claimed in batches, and answer 409 if another entry host holds the claim', async () => {
    const upstream = await stack.upstream(socket =>
      socket.write(respond('ok')),
    );
    stack.control.claims.set('4:club:theirs', 'ran');
    const keys = ['theirs', 'a', 'b', 'c', 'd'];
    const answers = await Promise.all(
      keys.map(key => stack.call('/book/', booking(key))),
    );
    expect(answers.map(each => each.status)).toEqual([409, 200, 200, 200, 200]);
    expect(verdictOf(answers[0]!)).toBe('ran');
    expect(upstream.requests.length).toBe(4);
    expect(stack.control.claimRequests).toBeLessThan(4);
  });

  it('are released after a request that certainly did not run', async () => {
    const refused = await stack.call('/book/', booking('k2'));
    expect([refused.status, verdictOf(refused)]).toEqual([503, 'not-run']);
    await waitUntil(() => stack.control.claims.size === 0);
    await stack.upstream(socket => socket.write(respond('ok')));
    expect((await stack.call('/book/', booking('k2'))).status).toBe(200);
  });

  it('stay claimed after a request that may have run', async () => {
    const upstream = await stack.upstream(socket => socket.destroy());
    const broken = await stack.call('/book/', booking('k3'));
    expect([broken.status, verdictOf(broken)]).toEqual([502, 'may-have-run']);
    const again = await stack.call('/book/', booking('k3'));
    expect([again.status, verdictOf(again)]).toEqual([409, 'may-have-run']);
    expect(upstream.requests.length).toBe(1);
  });
});

describe('an entry host', () => {
  it('refuses announcements with a foreign key, pool or host, and oversized or malformed ones', async () => {
    const other = stack.control.addKey({kind: 'pool', pool: 'other'});
    stack.control.revision += 1;
    await new Promise(resolve => setTimeout(resolve, 1100));
    const address = '127.0.0.1:9';
    const statuses = [
      await stack.announce(address, {}, other),
      await stack.announce(address, {}, stack.teamKey),
      await stack.announce(address, {host: 'h9'}),
      await stack.announce(address, {pool: 'other'}),
      await stack.announce(address, {extra: 'x'.repeat(5000)}),
      await stack.announce(address, {leaseMs: 5}),
    ].map(each => each.status);
    expect(statuses).toEqual([403, 401, 403, 403, 413, 400]);
    expect(stack.control.roster).toEqual([]);
  });

  it('sends no further calls to an upstream that has left', async () => {
    const upstream = await stack.upstream(socket =>
      socket.write(respond('ok')),
    );
    expect((await stack.call('/lanes/')).status).toBe(200);
    await fetch(`${stack.base}/leave`, {
      method: 'POST',
      headers: {authorization: `Bearer ${stack.poolKey}`},
      body: JSON.stringify({
        ...stack.control.roster[0]!.announcement,
        sequence: 2,
      }),
    });
    expect((await stack.call('/lanes/')).status).toBe(503);
    // A delayed older announcement must not add the upstream again.
    await stack.announce(upstream.address, {sequence: 1});
    expect((await stack.call('/lanes/')).status).toBe(503);
    expect(stack.control.roster.at(-1)).toMatchObject({left: true});
  });

  it('does not send a call whose key was withdrawn while the call waited', async () => {
    const {control} = stack;
    const upstream = await stack.upstream(socket =>
      socket.write(respond('ok')),
    );
    let claimed = false;
    let openGate = () => {};
    const gate = new Promise<void>(resolve => (openGate = resolve));
    const claim = control.claim.bind(control);
    control.claim = async request => {
      claimed = true;
      await gate;
      return claim(request);
    };
    const call = stack.call('/book/', booking('late'));
    await waitUntil(() => claimed);
    for (const key of Object.values(control.keys)) key.withdrawnAtMs = 1;
    control.revision += 1;
    const {length} = control.syncs;
    await waitUntil(() => control.syncs.length > length);
    await new Promise(resolve => setTimeout(resolve, 20));
    openGate();
    const response = await call;
    expect([response.status, verdictOf(response)]).toEqual([401, 'not-run']);
    expect(upstream.requests.length).toBe(0);
  });

  it('accepts requests for jobs only with the key of a team', async () => {
    const job = {
      id: 'j1',
      queue: 'recounts',
      declared: {cores: 1, memoryMiB: 1},
      runTimeMs: 1,
    };
    const sendRequest = (
      method: string,
      path: string,
      key: string,
      body?: unknown,
    ) =>
      fetch(`${stack.base}${path}`, {
        method,
        headers: {authorization: `Bearer ${key}`},
        body: body === undefined ? undefined : JSON.stringify(body),
      });
    const {teamKey, poolKey, control} = stack;
    const jobs = [job];
    expect((await sendRequest('POST', '/jobs', poolKey, {jobs})).status).toBe(
      401,
    );
    expect(
      (await sendRequest('POST', '/jobs', teamKey, {jobs: [{}]})).status,
    ).toBe(400);
    const team = 'other';
    expect(
      (await sendRequest('POST', '/jobs', teamKey, {jobs, team})).status,
    ).toBe(200);
    expect((await sendRequest('DELETE', '/jobs/j1', teamKey)).status).toBe(200);
    expect((await sendRequest('GET', '/jobs', teamKey)).status).toBe(200);
    expect(control.submitted).toMatchObject([
      {team: 'club', jobs},
      {team: 'club', jobs: ['j1']},
    ]);
    control.down = true;
    const down = await sendRequest('POST', '/jobs', teamKey, {jobs});
    expect([down.status, verdictOf(down)]).toEqual([503, 'not-run']);
  });

  it('finishes the calls in flight and then closes its session when it stops', async () => {
    let finish = () => {};
    const upstream = await stack.upstream(socket => {
      finish = () => socket.write(respond('ok'));
    });
    // A connection without a request must not delay the stop.
    const idle = connect(stack.entry.port, '127.0.0.1');
    idle.on('error', () => undefined);
    const call = stack.call('/lanes/');
    await waitUntil(() => upstream.requests.length === 1);
    const stopped = stack.entry.stop();
    await expect(fetch(`${stack.base}/health`)).rejects.toThrow();
    expect(stack.control.closed).toEqual([]);
    finish();
    expect(await (await call).text()).toBe('ok');
    await stopped;
    expect(stack.control.closed).toEqual(['s1']);
  });
});
