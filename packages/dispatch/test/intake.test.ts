/** Which jobs the leader accepts when more come than its hosts can run. */
import {NotLeader} from '@lentildrift/consensus';
import type {DurationStatistics, JobSpec} from '@lentildrift/queue';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {SubmitResult} from '../src/leader.js';
import {
  createHarness,
  job,
  TABLES,
  worker,
  type Harness,
  type HarnessOptions,
} from './harness.js';

const QUEUE = TABLES.queues[0]!;
/** Tasks of the queue take a second. */
const STATISTICS: DurationStatistics = {
  queue: 'q',
  count: 100,
  mean: Math.log(1000),
  variance: 0.01,
  estimateError: 0.01,
  stepVariance: 0.01,
};
/** Time after which a new leader may refuse jobs. */
const SETTLED_MS = 3500;

let harness: Harness;

async function submit(spec: JobSpec): Promise<SubmitResult> {
  let result: SubmitResult | undefined;
  void harness.leader.submit(spec, QUEUE).then(each => (result = each));
  for (let turn = 0; turn < 100 && !result; turn++) await harness.advance(10);
  return result!;
}

/** Two workers with room for four tasks each. */
async function createCluster(options: HarnessOptions = {}): Promise<void> {
  harness = await createHarness(options);
  await harness.addWorker(worker('w1'));
  await harness.addWorker(worker('w2'));
  await harness.replica.propose({
    events: [{type: 'statistics', rows: [STATISTICS]}],
  });
  await harness.replaceLeader();
  await harness.advance(SETTLED_MS);
}

beforeEach(async () => {
  vi.useFakeTimers();
  await createCluster();
});

afterEach(async () => {
  expect(harness.fleet.violations).toEqual([]);
  await harness.stop();
  vi.useRealTimers();
});

describe('a leader with more jobs than its hosts can run', () => {
  // Every job was accepted, and nearly all of them ended late.
  it('refuses at once what cannot be in time, and runs none of it', async () => {
    const accepted: string[] = [];
    const refused: string[] = [];
    for (let at = 0; at < 40; at++) {
      const {type} = await submit(job(`j${at}`, {count: 4}));
      (type === 'recorded' ? accepted : refused).push(`j${at}`);
      await harness.advance(90);
    }
    expect(refused.length).toBeGreaterThan(8);
    expect(accepted.length).toBeGreaterThan(8);
    await harness.advance(10_000);
    for (const id of accepted) expect(harness.phase(id)).toBe('completed');
    const started = new Set(
      harness.fleet.starts.map(({task}) => task.split('.')[0]),
    );
    for (const id of refused) expect(started.has(id)).toBe(false);
    // 1.6 times the path of a second, 0.6 s more, and a tolerance of 0.3.
    const ends = harness.logLines.filter(line => line.includes('job-ended'));
    const tookMs = ends.map(line => Number(/tookMs=(\d+)/.exec(line)![1]));
    expect(Math.max(...tookMs)).toBeLessThan(1.3 * 2200 + 500);
  });

  it('lets refused callers return one after the other, in their order', async () => {
    const returnMs: number[] = [];
    for (let at = 0; at < 30; at++) {
      const result = await submit(job(`j${at}`, {count: 4}));
      if (result.type !== 'overloaded') continue;
      returnMs.push(performance.now() + result.retryAfterMs);
    }
    expect(returnMs.length).toBeGreaterThan(5);
    expect(returnMs).toEqual([...returnMs].sort((a, b) => a - b));
    expect(new Set(returnMs.map(Math.round)).size).toBeGreaterThan(
      returnMs.length / 2,
    );
  });

  // The caller would be told that the job has not run, and it would run.
  it('does not refuse a job that is sent again before it is recorded', async () => {
    harness.replica.commitDelayMs = 300;
    const specs = Array.from({length: 12}, (_, at) =>
      job(`j${at}`, {count: 4}),
    );
    const first = specs.map(spec => harness.leader.submit(spec, QUEUE));
    await harness.advance(150);
    const again = specs.map(spec => harness.leader.submit(spec, QUEUE));
    await harness.advance(2000);
    const types = async (all: readonly Promise<SubmitResult>[]) =>
      (await Promise.all(all)).map(({type}) => type);
    const firstTypes = await types(first);
    expect(firstTypes).toContain('overloaded');
    const againTypes = await types(again);
    for (const [at, type] of firstTypes.entries()) {
      if (type === 'recorded') expect(againTypes[at]).toBe('recorded');
    }
  });

  it('accepts all jobs for some seconds after a change of leader', async () => {
    for (let at = 0; at < 12; at++) await submit(job(`a${at}`, {count: 4}));
    expect((await submit(job('last', {count: 4}))).type).toBe('overloaded');
    await harness.replaceLeader();
    expect((await submit(job('next', {count: 4}))).type).toBe('recorded');
  });

  it('accepts jobs that run until they are cancelled, or at set times', async () => {
    for (let at = 0; at < 12; at++) await submit(job(`j${at}`, {count: 4}));
    expect((await submit(job('more', {count: 4}))).type).toBe('overloaded');
    expect((await submit(job('long', {lasting: true}))).type).toBe('recorded');
    const schedule = {startAtMs: Date.now() + 60_000, intervalMs: 0, times: 1};
    const later = {...job('later'), schedule};
    expect((await submit(later)).type).toBe('recorded');
  });

  it('refuses a job at once if a task of it is larger than every host', async () => {
    const size = {cpuMillis: 5000, memoryMb: 100, gpus: 0};
    expect(await submit(job('large', {}, {size}))).toEqual({
      type: 'unservable',
      step: 1,
    });
  });

  it('rejects a job that arrives when it has stopped, as not proposed', async () => {
    const {leader} = harness;
    await harness.replaceLeader();
    await expect(leader.submit(job('j'), QUEUE)).rejects.toBeInstanceOf(
      NotLeader,
    );
  });
});

describe('a leader whose teams have shares', () => {
  const cap = {cpuMillis: 0, memoryMb: 0, gpus: 0};
  const teams = [
    {name: 'flood', keys: ['f'], weight: 1, cap},
    {name: 'calm', keys: ['c'], weight: 5, cap},
  ];

  /** One team sends four times what the hosts can run, another less than that. */
  async function flood(policies: string) {
    await harness.stop();
    await createCluster({policies});
    await harness.replica.propose({
      events: [{type: 'tables', tables: {...TABLES, version: 2, teams}}],
    });
    const types: Record<string, SubmitResult['type'][]> = {flood: [], calm: []};
    for (let at = 0; at < 60; at++) {
      const team = at % 6 === 5 ? 'calm' : 'flood';
      const spec = {...job(`j${at}`, {count: 4}), team};
      types[team]!.push((await submit(spec)).type);
      await harness.advance(90);
    }
    return types as {flood: string[]; calm: string[]};
  }

  // The team that sent most took the room, and others were refused as often.
  it('refuses the team beyond its share rather than others', async () => {
    const refusedOf = (types: string[]) =>
      types.filter(type => type === 'overloaded').length;
    const before = await flood('');
    const {flood: flooding, calm} = await flood('order=cost,admission=cost');
    // Room that was lent before the team needed it is not taken back at once.
    expect(refusedOf(before.calm)).toBeGreaterThan(2 * refusedOf(calm));
    expect(flooding).toContain('recorded');
    const line = harness.logLines.find(each => each.includes('beyond-share'))!;
    expect(line).toMatch(/job-refused.* job=j\d+ .*team=flood/);
    expect(line).toMatch(/usedMs=\d+ shareMs=\d+/);
    expect(harness.metrics.text()).toMatch(
      /lentildrift_jobs_refused_total\{reason="beyond-share"\} \d+/,
    );
  });

  // The first refusals of a new leader were due to what it did not know yet.
  it('refuses nobody at first after a change of leader', async () => {
    await flood('order=cost,admission=cost');
    await harness.replaceLeader();
    for (let at = 0; at < 6; at++) {
      const spec = {...job(`next${at}`, {count: 4}), team: 'flood'};
      expect((await submit(spec)).type).toBe('recorded');
    }
  });
});
