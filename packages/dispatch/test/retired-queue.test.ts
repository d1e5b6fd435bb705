/** Tests jobs whose queue an edit removes after they were accepted. */
import type {Tables} from '@lentildrift/queue';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {Behaviour} from './fakes.js';
import {createHarness, job, TABLES, worker, type Harness} from './harness.js';

let harness: Harness;
let behaviour: Partial<Behaviour>;

beforeEach(async () => {
  vi.useFakeTimers();
  behaviour = {durationMs: 1000};
  harness = await createHarness({behave: () => behaviour});
  for (const name of ['w1', 'w2']) await harness.addWorker(worker(name));
});

afterEach(async () => {
  expect(harness.fleet.violations).toEqual([]);
  await harness.stop();
  vi.useRealTimers();
});

async function edit(queues: Tables['queues']): Promise<void> {
  const version = harness.replica.state().tables.version + 1;
  const tables = {...TABLES, queues, version, document: `${version}`};
  void harness.leader.commit({type: 'tables', tables});
  await harness.advance(100);
}

const withoutQueue = TABLES.queues.filter(({name}) => name !== 'q');

describe('a job whose queue was removed', () => {
  // Its tasks were passed over for good.
  it.each([false, true])(
    'goes on to its end, after a change of leader: %s',
    async changesLeader => {
      await harness.submit(job('a', {}, {after: [0]}));
      await harness.advance(500);
      await edit(withoutQueue);
      if (changesLeader) await harness.replaceLeader();
      await harness.advance(5000);
      expect(harness.phase('a')).toBe('completed');
    },
  );

  // Its attempts had no limit, and were not counted once the queue was back.
  it.each([false, true])(
    'fails after the attempts that its queue allowed, which comes back: %s',
    async comesBack => {
      behaviour = {durationMs: 1000, how: 'failed'};
      await harness.submit(job('a'));
      await harness.advance(1500);
      expect(harness.fleet.starts).toHaveLength(2);
      await edit(withoutQueue);
      await harness.advance(2000);
      if (comesBack) await edit(TABLES.queues);
      await harness.advance(5000);
      expect(harness.phase('a')).toBe('failed');
      expect(harness.fleet.starts).toHaveLength(2);
    },
  );
});
