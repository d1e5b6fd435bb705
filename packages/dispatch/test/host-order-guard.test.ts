/**
 * Tests that a restarted process leaves enough time to the orders of an earlier
 * leader that it replays before a leader is elected.
 */
import {
  bootstrapRecord,
  PeerTransport,
  startRaft,
} from '@lentildrift/consensus';
import type {Change} from '@lentildrift/queue';
import {EMPTY_LOG, MemoryDisk, MemoryStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {QueueCodec} from '../src/codec.js';
import {createHostOrderGuard} from '../src/host-order-guard.js';
import {queueMachine} from '../src/index.js';
import {HOST_ORDER_PAUSE_MS} from '../src/timing.js';

class NoPeers extends PeerTransport {
  override send(): void {}
}

/** Starts a member without peers that knows an order as committed. */
async function restartWithOrder() {
  const tasks = startTasks(error => expect(error).toBeUndefined());
  const duty = {host: 'h', by: 'a#1', done: false, atMs: 0};
  const change: Change = {events: [{type: 'duty', duty}]};
  const codec = new QueueCodec();
  const disk = new MemoryDisk();
  const at = {index: 2, term: 1, revision: 1, kind: 'change' as const};
  disk.synced = {
    ...EMPTY_LOG,
    ballot: {term: 1, vote: null},
    records: [
      bootstrapRecord(['a', 'b', 'c']),
      {...at, text: codec.encodeChange(change)},
    ],
    commitIndex: 2,
  };
  const replica = await startRaft({
    member: 'b',
    group: 'g',
    seed: 1,
    stateMachine: queueMachine,
    codec,
    store: new MemoryStore(disk),
    transport: new NoPeers(),
    tasks,
    onFatal: error => expect(error).toBeUndefined(),
  });
  return {
    replica,
    createGuard: () =>
      createHostOrderGuard({
        replica,
        processId: 'b#2',
        hasProcessEnded: () => false,
      }),
    stop() {
      replica.kill();
      tasks.stop();
    },
  };
}

describe('the order of an earlier leader that is replayed without a leader', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('counts as in flight for the whole pause after it was applied', async () => {
    const {replica, createGuard, stop} = await restartWithOrder();
    const guard = createGuard();
    await vi.advanceTimersByTimeAsync(1);
    expect(replica.status()).toMatchObject({revision: 1, leader: undefined});
    await vi.advanceTimersByTimeAsync(HOST_ORDER_PAUSE_MS - 1);
    expect(guard.hasForeignOrder('h')).toBe(true);
    await vi.advanceTimersByTimeAsync(10);
    expect(guard.hasForeignOrder('h')).toBe(false);
    stop();
  });

  it('counts as in flight for the whole pause after the creation of a guard that did not see it applied', async () => {
    const {replica, createGuard, stop} = await restartWithOrder();
    await vi.advanceTimersByTimeAsync(100);
    expect(replica.status()).toMatchObject({revision: 1, leader: undefined});
    const guard = createGuard();
    await vi.advanceTimersByTimeAsync(HOST_ORDER_PAUSE_MS);
    expect(guard.hasForeignOrder('h')).toBe(true);
    await vi.advanceTimersByTimeAsync(10);
    expect(guard.hasForeignOrder('h')).toBe(false);
    stop();
  });
});
