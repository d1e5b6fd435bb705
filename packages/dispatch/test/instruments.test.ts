/** Tests what the leader records about itself, on the fake clock. */
import {createLog, createMetrics} from '@lentildrift/observe';
import {ElasticPools} from '@lentildrift/scheduling';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {countHosts} from '../src/census.js';
import {createInstruments} from '../src/instruments.js';
import type {ProvidedHost} from '../src/index.js';
import {createHarness, job, worker} from './harness.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Fields of the lines of one event, as numbers where they are numbers. */
function linesOf(lines: readonly string[], event: string) {
  return lines
    .filter(line => line.includes(` event=${event} `))
    .map(line =>
      Object.fromEntries(
        [...line.matchAll(/(\w+)=(\S+)/g)].map(([, key, value]) => [
          key,
          isNaN(Number(value)) ? value : Number(value),
        ]),
      ),
    );
}

describe('the instruments of the leader', () => {
  it('count the time of a nested phase once', () => {
    const metrics = createMetrics();
    const log = createLog('error', {}, () => {});
    const instruments = createInstruments({token: 1, log, metrics});
    const spend = (ms: number) => vi.advanceTimersByTime(ms);
    const result = instruments.time('plan', () => {
      spend(100);
      instruments.time('load', () => {
        spend(30);
        instruments.time('apply', () => spend(5));
      });
      instruments.time('load', () => spend(40));
      return 7;
    });
    instruments.time('plan', () => spend(1));
    instruments.stop();
    expect(result).toBe(7);
    const sum = (phase: string) => {
      const prefix = `lentildrift_leader_phase_seconds_sum{phase="${phase}"} `;
      const lines = metrics.text().split('\n');
      return Number(
        lines.find(line => line.startsWith(prefix))!.slice(prefix.length),
      );
    };
    expect(sum('plan')).toBeCloseTo(0.101, 6);
    expect(sum('load')).toBeCloseTo(0.07, 6);
    expect(sum('apply')).toBeCloseTo(0.005, 6);
  });

  it('log the leader and the fleet once a second, however often they are asked', () => {
    const lines: string[] = [];
    const log = createLog('info', {}, line => lines.push(line));
    const metrics = createMetrics();
    const instruments = createInstruments({token: 3, log, metrics});
    let censuses = 0;
    const queue = {queued: 4, oldestMs: performance.now(), isCurrent: true};
    for (let i = 0; i < 500; i++) {
      vi.advanceTimersByTime(10);
      instruments.report(queue, () => ({hosts: ++censuses}));
    }
    instruments.stop();
    expect(linesOf(lines, 'leader')).toHaveLength(5);
    expect(linesOf(lines, 'fleet')).toHaveLength(5);
    expect(censuses).toBe(5);
    // An event that is never proposed shows by its age.
    expect(linesOf(lines, 'leader').at(-1)).toMatchObject({
      token: 3,
      queued: 4,
      oldestMs: 5000,
    });
  });

  it('count holds, reports, ends and answers to starts apart', () => {
    const lines: string[] = [];
    const log = createLog('info', {}, line => lines.push(line));
    const metrics = createMetrics();
    const instruments = createInstruments({token: 1, log, metrics});
    for (const inFlight of [1, 1, 2, 1]) instruments.recordHold(inFlight);
    instruments.recordReport('ends', 3);
    instruments.recordReport('none', 0);
    for (let nth = 0; nth < 5; nth++) instruments.recordStartAnswer();
    vi.advanceTimersByTime(1000);
    const queue = {queued: 0, oldestMs: undefined, isCurrent: true};
    instruments.report(queue, () => undefined);
    instruments.stop();
    expect(linesOf(lines, 'leader')).toMatchObject([
      {
        holds: 4,
        holdsInFlight: 2,
        reports: 2,
        unchanged: 1,
        ends: 3,
        startAnswers: 5,
      },
    ]);
  });

  it('record how long a change waited and how long its commit took', () => {
    const lines: string[] = [];
    const log = createLog('info', {}, line => lines.push(line));
    const metrics = createMetrics();
    const instruments = createInstruments({token: 1, log, metrics});
    const queuedMs = performance.now();
    vi.advanceTimersByTime(300);
    const settle = instruments.recordProposal(12, queuedMs);
    vi.advanceTimersByTime(700);
    settle('committed');
    const queue = {queued: 0, oldestMs: undefined, isCurrent: true};
    instruments.report(queue, () => undefined);
    instruments.stop();
    expect(linesOf(lines, 'leader')).toMatchObject([
      {changes: 1, events: 12, oldestMs: 300, commitMaxMs: 700},
    ]);
    const text = metrics.text();
    expect(text).toContain('lentildrift_change_events_total 12');
    expect(text).toContain('lentildrift_oldest_event_seconds_sum 0.3');
    expect(text).toContain(
      'lentildrift_commit_seconds_sum{outcome="committed"} 0.7',
    );
  });
});

describe('the count of hosts', () => {
  it('counts each host once, so that a missing host shows', () => {
    const names = [
      'moving',
      'wave',
      'emptied',
      'fine',
      'mute',
      'drains',
      'none',
      'spare',
    ];
    const hosts = new Map(
      names.map(id => [
        id,
        {
          id,
          pool: id === 'spare' ? 'standby' : 'p',
          state: 'up',
          capacity: worker('x').capacity,
          labels: [],
          worker: '',
        } satisfies ProvidedHost,
      ]),
    );
    const workers = names
      .filter(id => id !== 'none' && id !== 'spare')
      .map(id => worker(id, {host: id}));
    const census = countHosts({
      hosts,
      workers: [...workers, worker('left', {host: 'none', phase: 'gone'})],
      standbyPools: new Set(['standby']),
      isUsable: ({id}) => id !== 'mute' && id !== 'drains',
      isAnswering: key => !key.startsWith('mute'),
      isMoving: host => host === 'moving',
      isInWave: host => host === 'wave',
      isEvacuated: host => host === 'emptied',
    });
    expect(census).toEqual({
      hosts: 8,
      moving: 1,
      cordoned: 1,
      evacuated: 1,
      usable: 1,
      silent: 1,
      unready: 1,
      standby: 1,
      absent: 1,
    });
  });
});

describe('a leader', () => {
  it('logs its first order, its state and its fleet', async () => {
    const harness = await createHarness({pools: new ElasticPools()});
    await harness.addWorker(worker('w1'));
    await harness.submit(job('a'));
    await harness.advance(3000);
    await harness.stop();
    const {logLines} = harness;
    expect(linesOf(logLines, 'takeover')).toMatchObject([
      {token: 1, leadingMs: 0, firstReportMs: expect.any(Number) as number},
    ]);
    const states = linesOf(logLines, 'leader');
    expect(states.length).toBeGreaterThanOrEqual(2);
    expect(states[0]).toMatchObject({token: 1, current: 'true'});
    expect(linesOf(logLines, 'fleet').at(-1)).toMatchObject({
      hosts: 1,
      usable: 1,
    });
  });

  // It logged nothing while it led and started no task.
  it('logs its state while a change is not committed', async () => {
    const harness = await createHarness({pools: new ElasticPools()});
    await harness.addWorker(worker('w1'));
    harness.replica.commitDelayMs = 6000;
    const submitted = harness.submit(job('a'));
    await harness.advance(500);
    const count = linesOf(harness.logLines, 'leader').length;
    await harness.advance(4000);
    const lines = linesOf(harness.logLines, 'leader').slice(count);
    expect(lines.length).toBeGreaterThanOrEqual(3);
    expect(lines.at(-1)).toMatchObject({rounds: 0, changes: 0});
    harness.replica.commitDelayMs = 0;
    await harness.advance(3000);
    await submitted;
    await harness.stop();
  });
});
