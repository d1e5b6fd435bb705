import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createHarness, job, TABLES, worker, type Harness} from './harness.js';

let harness: Harness;

beforeEach(async () => {
  vi.useFakeTimers();
  harness = await createHarness();
  await harness.addWorker(worker('w'));
});

afterEach(async () => {
  await harness.stop();
  vi.useRealTimers();
});

function readLine(id: string): Map<string, number> {
  const line = harness.logLines.find(each =>
    each.includes(`event=job-ended job=${id} `),
  )!;
  const pairs = line.split(' ').map(pair => pair.split('='));
  return new Map(pairs.map(([name, value]) => [name!, Number(value)]));
}

describe('the line about a job that has ended', () => {
  it('says where the time of each of its steps went', async () => {
    harness.replica.commitDelayMs = 50;
    const submit = (id: string) =>
      void harness.leader.submit(
        job(id, {count: 4}, {count: 2, after: [0]}),
        TABLES.queues[0]!,
      );
    submit('first');
    await harness.advance(500);
    // Waits until the first step of the other job has ended.
    submit('second');
    await harness.advance(20_000);
    const fields = readLine('second');
    const names = ['intake', 'room', 'commit', 'order', 'run', 'record'];
    const sum = names.reduce((ms, name) => ms + fields.get(`${name}Ms`)!, 0);
    expect(Math.abs(sum - fields.get('tookMs')!)).toBeLessThan(100);
    expect(fields.get('roomMs')).toBeGreaterThan(400);
    // Two runs of a second each.
    expect(fields.get('runMs')).toBeGreaterThan(1900);
    expect(fields.get('runMs')).toBeLessThan(2200);
    expect(fields.get('commitMs')).toBeGreaterThanOrEqual(100);
    expect(fields.get('recordMs')).toBeGreaterThanOrEqual(100);
  });

  it('does not repeat a step whose ends come from several workers', async () => {
    await harness.addWorker(worker('v'));
    void harness.leader.submit(job('wide', {count: 8}), TABLES.queues[0]!);
    await harness.advance(5000);
    const fields = readLine('wide');
    expect(fields.get('runMs')).toBeLessThan(1200);
  });
});
