/**
 * Tests what an edit of large tables costs, and that none is lost or undone.
 * `EDIT_RUNS` sets the number of random races, `EDIT_SEED` the seed.
 */
import {NotLeader} from '@lentildrift/consensus';
import {createLog, createMetrics, type Log} from '@lentildrift/observe';
import type {Change, State, Tables} from '@lentildrift/queue';
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {QueueCodec} from '../src/codec.js';
import {createEditSender, UnknownBaseError} from '../src/edit.js';
import {createLocalQueues, type LocalQueues} from '../src/local.js';
import {Envelope, RemoteService, type EnvelopeReply} from '../src/remote.js';
import {refuse, type Reply, type Request} from '../src/request.js';
import {createHarness, TABLES, type Harness} from './harness.js';
import {createFakeLink, createFakeMesh} from './links.js';

/**
 * Largest record of an edit of one row. A control node may send 19 KB a second;
 * with 2,500 edits a day, which come in bursts of one a second and more, the
 * leader of 5 members sends each record 4 times, which leaves 4.75 KB for one.
 */
const MAX_RECORD_BYTES = 4750;

const QUEUE_COUNT = 2000;

/** Tables with one row for each time-out. */
function tablesOf(version: number, timeoutsMs: readonly number[]): Tables {
  const queues = timeoutsMs.map((timeoutMs, at) => ({
    ...TABLES.queues[0]!,
    name: `queue-${at}`,
    host: `host-${at % 40}.example`,
    prefix: `/prefix-${at}/`,
    timeoutMs,
  }));
  const rows = queues.map(row => ({...row, kind: 'unsafe'}));
  const document = JSON.stringify({version, rows, extra: {kept: true}});
  return {...TABLES, version, queues, document};
}

function largeTables(version: number, changedRow = -1): Tables {
  const timeoutsMs = Array.from({length: QUEUE_COUNT}, (_, at) =>
    at === changedRow ? 7777 : 3000,
  );
  return tablesOf(version, timeoutsMs);
}

let harness: Harness;
let queues: LocalQueues;
let log: Log;
/** The changes recorded by the leader. */
let changes: Change[];

beforeEach(async () => {
  vi.useFakeTimers();
  await startLeading();
});

afterEach(async () => {
  await harness.stop();
  vi.useRealTimers();
});

async function startLeading(): Promise<void> {
  harness = await createHarness();
  log = createLog('debug', {}, line => harness.logLines.push(line));
  const {replica, leader, metrics} = harness;
  queues = createLocalQueues({replica, leader, metrics, log});
  changes = [];
  replica.onApply(({change}) => changes.push(change));
}

async function replaceLeader(): Promise<void> {
  await harness.replaceLeader();
  const {replica, leader, metrics} = harness;
  queues = createLocalQueues({replica, leader, metrics, log});
}

/** Encoded size of each record that holds an edit. */
function recordBytes(): number[] {
  const codec = new QueueCodec();
  return changes
    .filter(({events}) => events.some(({type}) => type.startsWith('tables')))
    .map(change => Buffer.byteLength(codec.encodeChange(change)));
}

function recordedTables(): Tables {
  return harness.replica.state().tables;
}

/** Sends the edit to the leader, as if it was received anew. */
function edit(tables: Tables): Promise<Reply> {
  const request: Request = {type: 'edit', tables};
  return queues.handle('r', structuredClone(request));
}

async function settle<T>(promise: Promise<T>, ms = 2000): Promise<T> {
  await vi.advanceTimersByTimeAsync(ms);
  return promise;
}

/** A control process with its replica. */
class Process {
  /** The requests that it sent to the leader. */
  readonly sent: Request[] = [];
  private readonly service: RemoteService;

  constructor(state: () => State, leads = false) {
    const link = createFakeLink(body => this.passToLeader(body));
    const sender = createEditSender({
      replica: {state},
      log,
      metrics: createMetrics(),
    });
    this.service = new RemoteService({
      mesh: createFakeMesh(link),
      log,
      handleLocally: async (id, request) =>
        leads ? handleAtLeader(id, request) : undefined,
      prepare: sender.prepare,
    });
  }

  edit(tables: Tables): Promise<Reply> {
    const request: Request = {type: 'edit', tables: structuredClone(tables)};
    return this.service.handle('r', request, 5000);
  }

  private async passToLeader(body: unknown): Promise<EnvelopeReply> {
    const {id, request} = Envelope.parse(JSON.parse(JSON.stringify(body)));
    this.sent.push(request);
    try {
      const reply = await handleAtLeader(id, request);
      return reply ? {type: 'reply', reply} : {type: 'not-leader'};
    } catch (error) {
      if (error instanceof UnknownBaseError) return {type: 'unknown-base'};
      throw error;
    }
  }
}

/** Resolves with undefined if the leader is being replaced. */
async function handleAtLeader(
  id: string,
  request: Request,
): Promise<Reply | undefined> {
  try {
    return await queues.handle(id, request);
  } catch (error) {
    if (error instanceof UnknownBaseError) throw error;
    if (error instanceof NotLeader) return undefined;
    return refuse('unavailable', '', {verdict: 'may-have-run'});
  }
}

const DONE: Reply = {type: 'done'};

describe('an edit', () => {
  it('of one row among 2,000 does not record what the other rows hold', async () => {
    expect(await settle(edit(largeTables(2)))).toEqual(DONE);
    changes = [];
    const changed = largeTables(3, 1234);
    expect(await settle(edit(changed))).toEqual(DONE);
    expect(recordedTables()).toEqual(changed);
    expect(recordBytes()).toHaveLength(1);
    expect(recordBytes()[0]).toBeLessThan(MAX_RECORD_BYTES);
  });

  // An operator sends an edit again after a second, also one that waits.
  it('that arrives again while it is recorded is not recorded twice', async () => {
    await settle(edit(largeTables(2)));
    changes = [];
    const changed = largeTables(3, 5);
    const replies = Promise.all([edit(changed), edit(changed)]);
    expect(await settle(replies)).toEqual([DONE, DONE]);
    expect(recordBytes()).toHaveLength(1);
  });

  it('that arrives with others needs no commit of its own', async () => {
    await settle(edit(largeTables(2)));
    changes = [];
    harness.replica.commitDelayMs = 100;
    const versions = [3, 4, 5, 6, 7, 8];
    const replies = Promise.all(
      versions.map(version => edit(largeTables(version, version))),
    );
    expect(await settle(replies)).toEqual(versions.map(() => DONE));
    expect(recordBytes().length).toBeLessThanOrEqual(2);
    expect(recordedTables()).toEqual(largeTables(8, 8));
  });

  it('whose content contradicts itself is neither sent nor recorded', async () => {
    await settle(edit(largeTables(2)));
    changes = [];
    const {replica} = harness;
    const follower = new Process(() => replica.state());
    const valid = largeTables(3);
    const queues = valid.queues.with(7, {...valid.queues[7]!, pool: 'none'});
    const document = `${valid.document} `;
    const invalid = {...valid, queues, document};
    for (const reply of [follower.edit(invalid), edit(invalid)]) {
      expect(await settle(reply)).toMatchObject({reason: 'invalid'});
    }
    expect(follower.sent).toEqual([]);
    expect(recordBytes()).toEqual([]);
  });

  // The operators may use a field that a later version of this product knows.
  it('with fields that are unknown is returned unchanged after differences', async () => {
    const rows = Array.from({length: 50}, (_, at) => ({at, new: {x: '}é'}}));
    for (const version of [2, 3, 4]) {
      rows[version * 7] = {at: -version, new: {x: `{"${version}"}`}};
      const document = JSON.stringify({version, rows, tail: [{}]});
      await settle(edit({...TABLES, version, document}));
      expect(await queues.handle('r', {type: 'tables'})).toEqual({
        type: 'tables',
        document,
      });
    }
    expect(harness.metrics.text()).toContain(
      'lentildrift_edits_total{form="difference",outcome="applied"} 2',
    );
  });

  // The record of a rejected edit may be committed later. An edit that is based
  // on the next one of its version would be applied to the wrong rows.
  it('is not based on one that another of its version precedes in the log', async () => {
    await settle(edit(largeTables(2)));
    const {replica} = harness;
    const propose = replica.propose.bind(replica);
    let late: Change | undefined;
    vi.spyOn(replica, 'propose').mockImplementationOnce(async change => {
      late = change;
      throw new Error('not answered');
    });
    const first = edit(largeTables(3, 10));
    expect(await settle(first.catch(() => 'rejected'))).toBe('rejected');
    vi.spyOn(replica, 'propose').mockImplementation(async change => {
      if (late) await propose(late);
      late = undefined;
      return propose(change);
    });
    const fewer = Array.from({length: QUEUE_COUNT - 20}, () => 3000);
    const other = tablesOf(3, fewer);
    const next = largeTables(4, 1999);
    const replies = Promise.all([edit(other), edit(next)]);
    const [otherReply, nextReply] = await settle(replies);
    expect(recordedTables()).toEqual(next);
    expect(otherReply).toMatchObject({reason: 'conflict'});
    expect(nextReply).toEqual(DONE);
  });
});

describe('an edit through a process that does not lead', () => {
  it('of one row among 2,000 does not send the other rows to the leader', async () => {
    await settle(edit(largeTables(2)));
    const {replica} = harness;
    const follower = new Process(() => replica.state());
    const changed = largeTables(3, 1234);
    expect(await settle(follower.edit(changed))).toEqual(DONE);
    expect(recordedTables()).toEqual(changed);
    const [request] = follower.sent;
    expect(JSON.stringify(request).length).toBeLessThan(MAX_RECORD_BYTES);
  });

  it('is acknowledged if the process is behind, and is not sent whole', async () => {
    await settle(edit(largeTables(2)));
    const state = harness.replica.state();
    await settle(edit(largeTables(3, 3)));
    await settle(edit(largeTables(5, 5)));
    changes = [];
    const follower = new Process(() => state);
    const versions = [6, 4, 3, 2];
    for (const version of versions) {
      const reply = follower.edit(largeTables(version, version));
      expect(await settle(reply)).toEqual(DONE);
    }
    expect(follower.sent.map(({type}) => type)).not.toContain('edit');
    expect(recordedTables()).toEqual(largeTables(6, 6));
    expect(recordBytes()).toHaveLength(1);
  });

  it('is computed anew if the leader does not have its base, and sent whole at last', async () => {
    await settle(edit(largeTables(2)));
    const outdated = harness.replica.state();
    await settle(edit(largeTables(3, 3)));
    // The next leader has only the last tables.
    const {replica} = harness;
    await replaceLeader();
    let state = outdated;
    const catchingUp = new Process(() => state);
    const reply = catchingUp.edit(largeTables(4, 4));
    await vi.advanceTimersByTimeAsync(5);
    state = replica.state();
    expect(await settle(reply)).toEqual(DONE);
    expect(catchingUp.sent.map(({type}) => type)).toEqual([
      'edit-difference',
      'edit-difference',
    ]);
    const behind = new Process(() => outdated);
    await replaceLeader();
    expect(await settle(behind.edit(largeTables(5, 5)))).toEqual(DONE);
    expect(behind.sent.map(({type}) => type)).toEqual([
      'edit-difference',
      'edit',
    ]);
    expect(recordedTables()).toEqual(largeTables(5, 5));
  });

  it('is acknowledged without the leader if it was recorded or overtaken', async () => {
    await settle(edit(largeTables(2)));
    await settle(edit(largeTables(3, 3)));
    const {replica} = harness;
    changes = [];
    const follower = new Process(() => replica.state());
    for (const tables of [largeTables(2), largeTables(3, 3)]) {
      expect(await settle(follower.edit(tables))).toEqual(DONE);
    }
    expect(follower.sent).toEqual([]);
    expect(recordBytes()).toEqual([]);
  });

  // A higher version may have been recorded, and then the edit is overtaken.
  it('is refused for other content of its version only by the leader', async () => {
    await settle(edit(largeTables(2)));
    const {replica} = harness;
    const outdated = replica.state();
    const follower = new Process(() => outdated);
    const other = largeTables(2, 9);
    expect(await settle(follower.edit(other))).toMatchObject({
      reason: 'conflict',
    });
    await settle(edit(largeTables(3)));
    expect(await settle(follower.edit(other))).toEqual(DONE);
  });
});

describe('edits that race through several processes', () => {
  interface Step {
    readonly version: number;
    readonly process: number;
    readonly pauseMs: number;
    readonly lagMs: number;
    readonly delayMs: number;
    /** Whether another leader starts before the edit. */
    readonly replacesLeader: boolean;
  }
  const step: fc.Arbitrary<Step> = fc.record({
    version: fc.integer({min: 2, max: 9}),
    process: fc.nat(2),
    pauseMs: fc.constantFrom(0, 0, 5, 150),
    lagMs: fc.constantFrom(0, 20, 400),
    delayMs: fc.constantFrom(0, 60),
    replacesLeader: fc.nat(9).map(digit => digit === 0),
  });

  function smallTables(version: number): Tables {
    const timeoutsMs = Array.from({length: 30}, (_, at) =>
      at === version ? 100 + version : 3000,
    );
    return tablesOf(version, timeoutsMs.slice(version % 3));
  }

  it('are all acknowledged, and the highest version holds unchanged', async () => {
    await harness.stop();
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, {minLength: 1, maxLength: 15}),
        async steps => {
          await startLeading();
          const {replica} = harness;
          const lags = [0, 0];
          const states = lags.map(() => replica.state());
          const versions = [1];
          replica.onApply(({state}) => {
            versions.push(state.tables.version);
            lags.forEach((lagMs, at) => {
              setTimeout(() => (states[at] = state), lagMs);
            });
          });
          const processes = [
            new Process(() => replica.state(), true),
            ...lags.map((_, at) => new Process(() => states[at]!)),
          ];
          const replies: Promise<Reply>[] = [];
          for (const each of steps) {
            replica.commitDelayMs = each.delayMs;
            if (each.replacesLeader) await replaceLeader();
            if (each.process > 0) lags[each.process - 1] = each.lagMs;
            const tables = smallTables(each.version);
            replies.push(processes[each.process]!.edit(tables));
            await vi.advanceTimersByTimeAsync(each.pauseMs);
          }
          const all = await settle(Promise.all(replies), 6000);
          expect(all).toEqual(steps.map(() => DONE));
          const highest = Math.max(...steps.map(({version}) => version));
          expect(recordedTables()).toEqual(smallTables(highest));
          expect(versions).toEqual(versions.toSorted((a, b) => a - b));
          const records = changes.flatMap(({events}) =>
            events.filter(({type}) => type.startsWith('tables')),
          );
          expect(records.length).toBeLessThanOrEqual(steps.length);
          await harness.stop();
        },
      ),
      {
        numRuns: Number(process.env['EDIT_RUNS'] ?? 100),
        seed: Number(process.env['EDIT_SEED'] ?? 20261204),
      },
    );
    await startLeading();
  }, 120_000);
});
