/** Tests how a request reaches the leader, and the verdict if it does not. */
import {RequestNotSentError, RequestUnansweredError} from '@lentildrift/link';
import {createLog} from '@lentildrift/observe';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {RemoteService, type Envelope} from '../src/remote.js';
import {refuse, type Reply, type Request} from '../src/request.js';
import {createFakeLink, createFakeMesh, type Answer} from './links.js';

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
const ANSWER_LOST = new RequestUnansweredError('x', 'closed');

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Handles the request on the fake clock; also returns how long that took. */
async function handleToEnd(
  service: RemoteService,
  request: Request,
  budgetMs = 3000,
): Promise<{reply: Reply; tookMs: number}> {
  const startMs = performance.now();
  const result = service
    .handle('r', request, budgetMs)
    .then(reply => ({reply, tookMs: performance.now() - startMs}));
  await vi.advanceTimersByTimeAsync(10_000);
  return result;
}

describe('a request', () => {
  it('that waits in a process is answered once this process leads', async () => {
    let leads = false;
    setTimeout(() => (leads = true), 500);
    const service = new RemoteService({
      mesh: createFakeMesh(undefined),
      log,
      handleLocally: async () => (leads ? {type: 'done'} : undefined),
    });
    const {reply, tookMs} = await handleToEnd(service, SUBMIT);
    expect(reply).toEqual({type: 'done'});
    expect(tookMs).toBeLessThan(600);
  });

  it('that this process leaves unanswered ends within its budget, with an unknown outcome', async () => {
    const service = new RemoteService({
      mesh: createFakeMesh(undefined),
      log,
      handleLocally: () => new Promise(() => {}),
    });
    const {reply, tookMs} = await handleToEnd(service, SUBMIT, 1000);
    expect(reply).toMatchObject({verdict: 'may-have-run'});
    expect(tookMs).toBeLessThanOrEqual(1100);
  });

  it('whose answer was lost is sent again within its budget', async () => {
    const answers = [ANSWER_LOST, ANSWER_LOST];
    const service = new RemoteService({
      mesh: createFakeMesh(
        createFakeLink(async () => {
          await new Promise(resolve => setTimeout(resolve, 600));
          const lost = answers.pop();
          if (lost) throw lost;
          return DONE;
        }),
      ),
      log,
    });
    const {reply} = await handleToEnd(service, SUBMIT);
    expect(reply).toEqual({type: 'done'});
  });

  it('is sent again if the leader does not know the outcome', async () => {
    const replies: unknown[] = [
      DONE,
      {
        type: 'reply',
        reply: refuse('unavailable', '', {verdict: 'may-have-run'}),
      },
    ];
    const service = new RemoteService({
      mesh: createFakeMesh(createFakeLink(async () => replies.pop())),
      log,
    });
    expect((await handleToEnd(service, SUBMIT)).reply).toEqual({type: 'done'});
  });

  it('that may have run in one attempt is not reported as not run after another', async () => {
    const answers: Answer[] = [
      () => Promise.resolve({type: 'not-leader'}),
      () => Promise.reject(ANSWER_LOST),
    ];
    const service = new RemoteService({
      mesh: createFakeMesh(
        createFakeLink(body => {
          const next = answers.length > 1 ? answers.pop()! : answers[0]!;
          return next(body);
        }),
      ),
      log,
    });
    const {reply, tookMs} = await handleToEnd(service, SUBMIT);
    expect(reply).toMatchObject({verdict: 'may-have-run'});
    expect(tookMs).toBeLessThan(3100);
  });

  it('that was never sent is refused before its budget is used up', async () => {
    const unsent = createFakeLink(() =>
      Promise.reject(new RequestNotSentError('x')),
    );
    const service = new RemoteService({mesh: createFakeMesh(unsent), log});
    const {reply, tookMs} = await handleToEnd(service, SUBMIT);
    expect(reply).toMatchObject({
      verdict: 'not-run',
      retryAfterMs: expect.any(Number),
    });
    expect(tookMs).toBeLessThan(1000);
  });

  it('is not repeated so often that the load delays the election of a leader', async () => {
    let attempts = 0;
    const link = createFakeLink(async () => {
      attempts++;
      return {type: 'not-leader'};
    });
    const mesh = createFakeMesh(undefined, [link]);
    await handleToEnd(new RemoteService({mesh, log}), SUBMIT);
    expect(attempts).toBeGreaterThan(4);
    expect(attempts).toBeLessThan(15);
  });

  it('that only reads is reported as not run, even if its answer was lost', async () => {
    const service = new RemoteService({
      mesh: createFakeMesh(createFakeLink(() => Promise.reject(ANSWER_LOST))),
      log,
    });
    const {reply} = await handleToEnd(service, INSPECT);
    expect(reply).toMatchObject({reason: 'unavailable', verdict: 'not-run'});
  });

  it('is relayed by another process if this one has no link to the leader', async () => {
    const bodies: unknown[] = [];
    const notLeading = createFakeLink(() =>
      Promise.resolve({type: 'not-leader'}),
    );
    const other = createFakeLink(async body => {
      bodies.push(body);
      return DONE;
    });
    const service = new RemoteService({
      mesh: createFakeMesh(undefined, [notLeading, other]),
      log,
    });
    expect((await handleToEnd(service, SUBMIT)).reply).toEqual({type: 'done'});
    expect(bodies).toMatchObject([{relay: true}]);
  });
});

describe('a relay', () => {
  const envelope: Envelope = {
    type: 'request',
    id: 'r',
    request: SUBMIT,
    relay: true,
    isRetry: false,
  };

  it('reports that the request had no effect if no leader is known', async () => {
    const service = new RemoteService({mesh: createFakeMesh(undefined), log});
    expect(await service.relay(envelope)).toEqual({type: 'not-leader'});
  });

  it('reports an unknown outcome if the leader does not answer', async () => {
    const leader = createFakeLink(() => Promise.reject(ANSWER_LOST));
    const service = new RemoteService({mesh: createFakeMesh(leader), log});
    expect(await service.relay(envelope)).toMatchObject({
      type: 'reply',
      reply: {verdict: 'may-have-run'},
    });
  });
});
