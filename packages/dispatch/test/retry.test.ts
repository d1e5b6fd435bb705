/**
 * Tests what the sender of a request is told whose first attempt got no answer,
 * while the tables change before the second.
 */
import {NotLeader} from '@lentildrift/consensus';
import {RequestUnansweredError} from '@lentildrift/link';
import {createLog, createMetrics} from '@lentildrift/observe';
import type {Tables} from '@lentildrift/queue';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createLocalQueues, type LocalQueues} from '../src/local.js';
import {Envelope, RemoteService} from '../src/remote.js';
import type {Reply, Request, RequestOf} from '../src/request.js';
import {createHarness, STEP, TABLES, type Harness} from './harness.js';
import {createFakeLink, createFakeMesh} from './links.js';

const KEYED: Tables = {
  ...TABLES,
  version: 2,
  queues: TABLES.queues.map(queue => ({...queue, open: false})),
  teams: [
    {
      name: 't',
      keys: ['key-1', 'key-2'],
      weight: 1,
      cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
    },
  ],
};
const [QUEUE] = KEYED.queues;

/** Changes after which the submission of a job on `/q/` is refused. */
const CHANGES: readonly (readonly [string, Partial<Tables>])[] = [
  ['withdraws its key', {teams: [{...KEYED.teams[0]!, keys: ['key-2']}]}],
  ['removes its queue', {queues: []}],
  [
    'leaves a shorter prefix of its path',
    {queues: [{...QUEUE!, name: 'all', prefix: '/'}]},
  ],
];

const target = {host: 'h', path: '/q/a', key: 'key-1'};
const SUBMIT: RequestOf<'submit'> = {
  type: 'submit',
  ...target,
  payload: 'text',
  steps: [STEP],
};
const CANCEL: Request = {type: 'cancel', ...target};
const DONE: Reply = {type: 'done'};
const REFUSED = {type: 'refused', verdict: 'not-run'};

const log = createLog('error', {}, () => {});
let harness: Harness;
let queues: LocalQueues;

beforeEach(async () => {
  vi.useFakeTimers();
  harness = await createHarness();
  const {replica, leader} = harness;
  const metrics = createMetrics();
  queues = createLocalQueues({replica, leader, metrics, log});
  await edit(KEYED);
});

afterEach(async () => {
  await harness.stop();
  vi.useRealTimers();
});

async function settle<T>(promise: Promise<T>, ms = 2000): Promise<T> {
  await vi.advanceTimersByTimeAsync(ms);
  return promise;
}

const handle = (request: Request, isRetry = false) =>
  settle(queues.handle('r', structuredClone(request), isRetry));

async function edit(change: Partial<Tables>): Promise<void> {
  const {tables} = harness.replica.state();
  const version = tables.version + 1;
  const next = {...KEYED, ...change, version, document: `${version}`};
  expect(await handle({type: 'edit', tables: next})).toEqual(DONE);
}

describe.each(CHANGES)('a request while an edit %s', (_, change) => {
  it('is not refused after its first attempt has recorded the job', async () => {
    await handle(SUBMIT);
    await edit(change);
    expect(await handle(SUBMIT, true)).toEqual(DONE);
  });

  it('is not refused after the job of its first attempt has ended', async () => {
    await handle(SUBMIT);
    await settle(harness.leader.commit({type: 'cancel', job: 'a'}));
    await edit(change);
    expect(await handle(SUBMIT, true)).toEqual(DONE);
  });

  it('is not refused while its first attempt, which waits behind the edit, is being recorded', async () => {
    const {replica} = harness;
    replica.commitDelayMs = 300;
    const edited = edit(change);
    await vi.advanceTimersByTimeAsync(100);
    const first = queues.handle('r', SUBMIT);
    await vi.advanceTimersByTimeAsync(250);
    const second = queues.handle('r', SUBMIT, true);
    const reply = await settle(second);
    const isRecorded = harness.phase('a') !== undefined;
    expect(reply).toMatchObject(isRecorded ? DONE : REFUSED);
    expect(await first).toMatchObject(isRecorded ? DONE : REFUSED);
    // A job of a queue that was removed before it is not recorded.
    expect(isRecorded).toBe(change.queues === undefined);
    await edited;
  });

  it('is refused if its first attempt had no effect', async () => {
    await edit(change);
    expect(await handle(SUBMIT, true)).toMatchObject(REFUSED);
    expect(harness.phase('a')).toBeUndefined();
  });

  it('does not tell another sender that a job exists', async () => {
    await handle(SUBMIT);
    await edit(change);
    expect(await handle(SUBMIT)).toMatchObject(REFUSED);
    for (const other of [{payload: 'guess'}, {steps: [STEP, STEP]}]) {
      const request = {...SUBMIT, ...other};
      expect(await handle(request, true)).toMatchObject(REFUSED);
    }
    expect(await handle(CANCEL, true)).toMatchObject(REFUSED);
    expect(harness.phase('a')).toBe('active');
  });

  it('is not refused after its first attempt has cancelled the job', async () => {
    await handle(SUBMIT);
    await handle(CANCEL);
    await edit(change);
    expect(await handle(CANCEL, true)).toEqual(DONE);
  });
});

it('a job is not refused as one too many while its first attempt waits for the commit', async () => {
  const {replica} = harness;
  const {state} = replica;
  replica.commitDelayMs = 300;
  const first = queues.handle('r', SUBMIT);
  await vi.advanceTimersByTimeAsync(100);
  replica.state = () => ({...state.call(replica), activeJobCount: 5000});
  const second = queues.handle('r', SUBMIT);
  expect(await settle(second)).toEqual(DONE);
  expect(await first).toEqual(DONE);
});

describe('the sender of a request', () => {
  /** Answers the leader's link; the first answer is lost. */
  function createSender(beforeSecond: () => Promise<void>) {
    const envelopes: Envelope[] = [];
    const link = createFakeLink(async body => {
      const envelope = Envelope.parse(JSON.parse(JSON.stringify(body)));
      envelopes.push(envelope);
      const {id, request, isRetry} = envelope;
      if (envelopes.length === 2) await beforeSecond();
      const reply = await queues.handle(id, request, isRetry);
      if (envelopes.length === 1) {
        throw new RequestUnansweredError('x', 'closed');
      }
      return {type: 'reply', reply};
    });
    const service = new RemoteService({mesh: createFakeMesh(link), log});
    return {service, envelopes};
  }

  it('is told that a job was accepted whose key was withdrawn after the first attempt', async () => {
    const {service, envelopes} = createSender(() => edit(CHANGES[0]![1]));
    const reply = service.handle('r', SUBMIT, 3000);
    expect(await settle(reply, 5000)).toEqual(DONE);
    expect(envelopes.map(({isRetry}) => isRetry)).toEqual([false, true]);
  });

  it('does not count an attempt that had no effect as one that may have', async () => {
    const attempts: boolean[] = [];
    const service = new RemoteService({
      mesh: createFakeMesh(undefined),
      log,
      async handleLocally(id, request, isRetry) {
        attempts.push(isRetry);
        try {
          if (attempts.length === 1) throw new NotLeader(undefined);
          return await queues.handle(id, request, isRetry);
        } catch {
          return undefined;
        }
      },
    });
    expect(await settle(service.handle('r', SUBMIT, 3000))).toEqual(DONE);
    expect(attempts).toEqual([false, false]);
  });

  it('is told by a relay whether an earlier attempt may have taken effect', async () => {
    const envelopes: Envelope[] = [];
    const leader = createFakeLink(async body => {
      envelopes.push(Envelope.parse(body));
      return {type: 'reply', reply: DONE};
    });
    const service = new RemoteService({mesh: createFakeMesh(leader), log});
    const envelope = {type: 'request', id: 'r', request: SUBMIT} as const;
    await service.relay({...envelope, relay: true, isRetry: true});
    expect(envelopes).toMatchObject([{relay: false, isRetry: true}]);
  });
});
