import {
  RequestNotSentError,
  RequestUnansweredError,
  type Link,
} from '@lentildrift/link';
import {createLog} from '@lentildrift/observe';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {Mesh} from '../src/mesh.js';
import {RemoteService} from '../src/remote.js';
import {refuse, type Reply, type Request} from '../src/request.js';

const log = createLog('error', {}, () => {});
const SUBMIT: Request = {
  type: 'submit',
  host: 'h',
  path: '/q/a',
  payload: '',
  steps: [],
};
const INSPECT: Request = {type: 'inspect', host: 'h', path: '/q/a'};
const DONE = {type: 'reply', reply: {type: 'done'}};
const LOST = new RequestUnansweredError('x', 'closed');

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

type Answer = (body: unknown) => Promise<unknown>;

function link(answer: Answer): Link {
  return {
    address: '1.2.3.4:5',
    isOpen: () => true,
    request: answer,
    post: () => {},
    reconnect: () => {},
    stop: async () => {},
  };
}

function mesh(leader: Link | undefined, open: Link[] = []): Mesh {
  return {
    linkTo: () => undefined,
    openLinks: () => open,
    leaderLink: () => leader,
    processIdAt: () => undefined,
    hasLeader: () => leader !== undefined,
    refresh: () => {},
    stop: async () => {},
  };
}

async function ask(
  service: RemoteService,
  request: Request,
  budgetMs = 3000,
): Promise<{reply: Reply; tookMs: number}> {
  const begunMs = performance.now();
  const asked = service
    .handle('r', request, budgetMs)
    .then(reply => ({reply, tookMs: performance.now() - begunMs}));
  await vi.advanceTimersByTimeAsync(10_000);
  return asked;
}

describe('a request', () => {
  it('that waits at a process is answered once that process leads', async () => {
    let leads = false;
    setTimeout(() => (leads = true), 500);
    const service = new RemoteService({
      mesh: mesh(undefined),
      log,
      handleLocally: async () => (leads ? {type: 'done'} : undefined),
    });
    const {reply, tookMs} = await ask(service, SUBMIT);
    expect(reply).toEqual({type: 'done'});
    expect(tookMs).toBeLessThan(600);
  });

  it('whose answer was lost is sent again while the caller waits', async () => {
    const answers = [LOST, LOST];
    const service = new RemoteService({
      mesh: mesh(
        link(async () => {
          await new Promise(resolve => setTimeout(resolve, 600));
          const lost = answers.pop();
          if (lost) throw lost;
          return DONE;
        }),
      ),
      log,
    });
    const {reply} = await ask(service, SUBMIT);
    expect(reply).toEqual({type: 'done'});
  });

  it('is sent again if its leader does not know the outcome', async () => {
    const replies: unknown[] = [
      DONE,
      {
        type: 'reply',
        reply: refuse('unavailable', '', {verdict: 'may-have-run'}),
      },
    ];
    const service = new RemoteService({
      mesh: mesh(link(async () => replies.pop())),
      log,
    });
    expect((await ask(service, SUBMIT)).reply).toEqual({type: 'done'});
  });

  it('that may have been carried out is never said not to have run', async () => {
    const answers: Answer[] = [
      () => Promise.resolve({type: 'not-leader'}),
      () => Promise.reject(LOST),
    ];
    const service = new RemoteService({
      mesh: mesh(
        link(body => {
          const next = answers.length > 1 ? answers.pop()! : answers[0]!;
          return next(body);
        }),
      ),
      log,
    });
    const {reply, tookMs} = await ask(service, SUBMIT);
    expect(reply).toMatchObject({verdict: 'may-have-run'});
    expect(tookMs).toBeLessThan(3100);
  });

  it('that was never sent is refused soon, although the caller would wait', async () => {
    const unsent = link(() => Promise.reject(new RequestNotSentError('x')));
    const service = new RemoteService({mesh: mesh(unsent), log});
    const {reply, tookMs} = await ask(service, SUBMIT);
    expect(reply).toMatchObject({
      verdict: 'not-run',
      retryAfterMs: expect.any(Number),
    });
    expect(tookMs).toBeLessThan(1000);
  });

  it('that changes nothing has not run, whatever was lost', async () => {
    const service = new RemoteService({
      mesh: mesh(link(() => Promise.reject(LOST))),
      log,
    });
    const {reply} = await ask(service, INSPECT);
    expect(reply).toMatchObject({reason: 'unavailable', verdict: 'not-run'});
  });

  it('goes through another process if no leader is in reach', async () => {
    const bodies: unknown[] = [];
    const deaf = link(() => Promise.resolve({type: 'not-leader'}));
    const other = link(async body => {
      bodies.push(body);
      return DONE;
    });
    const service = new RemoteService({
      mesh: mesh(undefined, [deaf, other]),
      log,
    });
    expect((await ask(service, SUBMIT)).reply).toEqual({type: 'done'});
    expect(bodies).toMatchObject([{relay: true}]);
  });
});

describe('a relay', () => {
  const envelope = {id: 'r', request: SUBMIT, relay: true};

  it('without a leader says at once that nothing was done', async () => {
    const service = new RemoteService({mesh: mesh(undefined), log});
    expect(await service.relay(envelope)).toEqual({type: 'not-leader'});
  });

  it('says that the outcome is unknown if the leader does not answer', async () => {
    const leader = link(() => Promise.reject(LOST));
    const service = new RemoteService({mesh: mesh(leader), log});
    expect(await service.relay(envelope)).toMatchObject({
      type: 'reply',
      reply: {verdict: 'may-have-run'},
    });
  });
});
