import type {EndKind, Worker} from '@lentildrift/queue';
import {runId, type LiveRun} from '@lentildrift/scheduling';
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {Report} from '../src/driver.js';
import {reconcile} from '../src/reconcile.js';
import {createReportFilter} from '../src/report-filter.js';
import {createHarness, job, STEP, worker, type Harness} from './harness.js';

const WORKER: Worker = worker('w');

function liveRun(id: string, number: number): LiveRun {
  const run = {number, worker: 'w@1'};
  const task = {
    done: false,
    failures: 0,
    lastRun: number,
    checkpoint: '',
    failedOn: [],
    crashes: [],
    runs: [run],
  };
  return {
    job: {
      spec: job(id),
      acceptedAtMs: 0,
      phase: 'active',
      started: true,
      tasks: {'0.0.0': task},
      done: {},
    },
    key: '0.0.0',
    step: STEP,
    task,
    run,
    id: runId(`${id}.0.0.0`, number),
  };
}

const row = fc.record({
  id: fc.constantFrom('a', 'b', 'c'),
  number: fc.integer({min: 1, max: 2}),
});
const rows = fc.uniqueArray(row, {
  maxLength: 3,
  selector: ({id, number}) => `${id} ${number}`,
});

/** What happens between two reports, of which nothing is the most frequent. */
const round = fc.record({
  running: fc.option(rows, {freq: 2}),
  ended: fc.option(rows, {freq: 2}),
  recorded: fc.oneof(
    {weight: 2, arbitrary: fc.constant('unchanged' as const)},
    fc.constant('as-running' as const),
    rows,
  ),
  settled: fc.boolean(),
  forgets: fc.boolean(),
});

function reportOf(
  running: readonly {id: string; number: number}[],
  ended: readonly {id: string; number: number}[],
): Report {
  return {
    bornMs: 1,
    clockMs: 0,
    running: running.map(({id, number}) => ({
      task: `${id}.0.0.0`,
      run: number,
      checkpoint: '',
      percent: 50,
      measure: 0,
    })),
    ended: ended.map(({id, number}, at) => ({
      number: at + 1,
      task: `${id}.0.0.0`,
      run: number,
      how: 'done' satisfies EndKind,
      checkpoint: '',
    })),
    isComplete: true,
  };
}

describe('a report without news', () => {
  it('would yield nothing if it were reconciled', () => {
    let unchangedCount = 0;
    fc.assert(
      fc.property(fc.array(round, {minLength: 1, maxLength: 12}), rounds => {
        const filter = createReportFilter();
        const reported = new Set<string>();
        let running: readonly {id: string; number: number}[] = [];
        let recorded: readonly LiveRun[] = [];
        for (const each of rounds) {
          running = each.running ?? running;
          if (each.recorded !== 'unchanged') {
            const next =
              each.recorded === 'as-running' ? running : each.recorded;
            recorded = next.map(({id, number}) => liveRun(id, number));
          }
          // The ends up to the first are recorded.
          const cursor = 1;
          const report = reportOf(running, each.ended ?? []);
          if (each.forgets) filter.forget('w@1');
          const isUnchanged = filter.isUnchanged(
            'w@1',
            report,
            recorded,
            cursor,
          );
          const {events, unexpected, confirmed} = reconcile({
            worker: WORKER,
            report,
            recorded,
            cursor,
            isSettled: () => each.settled,
          });
          if (isUnchanged) {
            unchangedCount++;
            expect(each.forgets).toBe(false);
            expect(events).toEqual([]);
            expect(unexpected).toEqual([]);
            for (const id of confirmed) expect(reported).toContain(id);
            continue;
          }
          for (const id of confirmed) reported.add(id);
          filter.note('w@1', report, recorded, confirmed.size);
        }
      }),
      {numRuns: 1000},
    );
    expect(unchangedCount).toBeGreaterThan(100);
  });
});

describe('a leader', () => {
  const WORKERS = 12;
  const QUIET_MS = 5000;
  let harness: Harness;

  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(async () => {
    await harness.stop();
    vi.useRealTimers();
  });

  /** Value of a metric's series; 0 before it is first recorded. */
  function valueOf(series: string): number {
    const lines = harness.metrics.text().split('\n');
    const line = lines.find(each => each.startsWith(`${series} `));
    return Number(line?.slice(series.length) ?? 0);
  }

  const countRounds = () =>
    valueOf('lentildrift_leader_phase_seconds_count{phase="plan"}');
  const countReports = (news: string) =>
    valueOf(`lentildrift_worker_reports_total{news="${news}"}`);

  it('decides only on its ticks while reports bring no news', async () => {
    harness = await createHarness({
      behave: () => ({lasting: true, durationMs: Infinity}),
    });
    for (let index = 0; index < WORKERS; index++) {
      await harness.addWorker(worker(`w${index}`));
      // Spreads the reports over the wait of a hold.
      await harness.advance(70);
    }
    await harness.submit(job('l', {lasting: true, count: WORKERS}));
    await harness.advance(3000);
    const before = countRounds();
    const reportsBefore = countReports('none');
    const endsBefore = countReports('ends');
    await harness.advance(QUIET_MS);
    // One round for each tick of 100 ms, and one more at the edges.
    expect(countRounds() - before).toBeLessThanOrEqual(QUIET_MS / 100 + 1);
    expect(harness.fleet.running('l.0.0.0')).toHaveLength(1);
    // Each worker reports about once a second.
    const reports = countReports('none') - reportsBefore;
    expect(reports).toBeGreaterThan((WORKERS * QUIET_MS) / 2000);
    expect(countReports('ends')).toBe(endsBefore);
  });
});
