import {
  BURN_BUCKET_MS,
  computeBurnReport,
  CallRecorder,
  classifyCall,
  createLog,
  createMetrics,
  formatBurnReport,
  formatLogLine,
  mergeBurnSeries,
  updateBurnSeries,
  type CallOutcome,
  type FinishedCall,
} from '@lentildrift/observe';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

const NOW_MS = 1_800_000_000_000;

describe('a log line', () => {
  it('stays one line and keeps its other fields for any field value', () => {
    fc.assert(
      fc.property(fc.string({unit: 'binary'}), text => {
        const line = formatLogLine(new Date(0), 'info', 'call', {text, n: 1});
        expect(line).not.toMatch(/[\p{Cc}\u2028\u2029]/u);
        const value = /^at=\S+ level=info event=call text=(.*) n=1$/su.exec(
          line,
        )![1]!;
        const quoted = value.startsWith('"');
        expect(quoted ? JSON.parse(value) : value).toBe(text);
      }),
    );
  });

  it('is omitted below the log level, and contains the common fields', () => {
    const lines: string[] = [];
    const log = createLog('warn', {host: 'h 1'}, line => lines.push(line));
    log.info('no');
    log.warn('yes', {empty: '', absent: undefined});
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(/level=warn event=yes host="h 1" empty=""$/);
  });
});

describe('the metrics text', () => {
  it('follows the Prometheus text format and escapes label values', () => {
    const metrics = createMetrics();
    metrics.counter('a_total', 'Things.', 10).add({x: 'a"b\\c\nd'}, 2);
    metrics.gauge('b', 'Level.', 10).set({}, -1.5);
    const latency = metrics.latency('c_seconds', 'Time.', 10);
    for (let i = 0; i < 100; i++) latency.record({r: 'x'}, 10);
    expect(metrics.text()).toBe(
      [
        '# HELP a_total Things.',
        '# TYPE a_total counter',
        'a_total{x="a\\"b\\\\c\\nd"} 2',
        '# HELP b Level.',
        '# TYPE b gauge',
        'b -1.5',
        '# HELP c_seconds Time.',
        '# TYPE c_seconds summary',
        'c_seconds{r="x",quantile="0.5"} 0.01',
        'c_seconds{r="x",quantile="0.9"} 0.01',
        'c_seconds{r="x",quantile="0.99"} 0.01',
        'c_seconds{r="x",quantile="0.999"} 0.01',
        'c_seconds_sum{r="x"} 1',
        'c_seconds_count{r="x"} 100',
        '',
      ].join('\n'),
    );
  });

  it('lists a metric once that was requested again', () => {
    // A process that leads a second time requests its metrics a second time;
    // a scraper refuses a text that describes one metric twice.
    const metrics = createMetrics();
    for (let i = 0; i < 2; i++) {
      metrics.counter('a_total', 'Things.', 1).add({});
      metrics.gauge('b', 'Level.', 1).set({}, i);
      metrics.latency('c_seconds', 'Time.', 1).record({}, 10);
    }
    const lines = metrics.text().split('\n');
    expect(lines.filter(line => line.startsWith('# HELP'))).toHaveLength(3);
    expect(lines).toContain('a_total 2');
    expect(lines).toContain('c_seconds_count 2');
  });

  it('has a limited number of series when callers send many label values', () => {
    const metrics = createMetrics();
    const counter = metrics.counter('a_total', 'Things.', 5);
    for (let i = 0; i < 1000; i++) counter.add({x: String(i)});
    const lines = metrics.text().trimEnd().split('\n').slice(2);
    expect(lines).toHaveLength(5);
    expect(lines.at(-1)).toBe('a_total{x="other"} 996');
  });
});

function createCall(overrides: Partial<FinishedCall> = {}): FinishedCall {
  return {
    route: 'lanes',
    team: 'juniors',
    verdict: 'ran',
    status: 200,
    durationMs: 5,
    ...overrides,
  };
}

describe('the burn report', () => {
  it('counts a call as bad only if the system failed, not the caller', () => {
    const good = [{status: 200}, {status: 302, complete: true}];
    const ignored: CallOutcome[] = [
      {status: 404},
      {code: 'unauthorised', status: 401},
      {code: 'duplicate', status: 409},
      {code: 'body-too-large', status: 413, complete: false},
      {},
      {status: 0},
      {code: 'upstream-failed', status: 502, callerLeft: true},
    ];
    const bad: CallOutcome[] = [
      {status: 429},
      {status: 500},
      {status: 200, complete: false},
      {code: 'over-limit', status: 429},
      {code: 'overloaded', status: 429},
      {code: 'stale', status: 503},
      {code: 'timeout', status: 504},
      {code: 'upstream-failed', status: 0},
    ];
    expect(new Set(good.map(classifyCall))).toEqual(new Set(['good']));
    expect(new Set(ignored.map(classifyCall))).toEqual(new Set(['ignored']));
    expect(new Set(bad.map(classifyCall))).toEqual(new Set(['bad']));
  });

  it('matches an example calculated by hand', () => {
    // Objective 0.99 allows 1 % bad calls. 20 min ago: 900 good, 0 bad. Now:
    // 95 good, 5 bad. Short burn rate: 5/100 / 0.01 = 5. Long burn rate:
    // 5/1000 / 0.01 = 0.5. Error budget of the hour: 1000 * 0.01 = 10, of
    // which 5 are left.
    let nowMs = NOW_MS - 20 * 60_000;
    const recorder = new CallRecorder(createMetrics(), () => nowMs);
    for (let i = 0; i < 900; i++) recorder.record(createCall());
    nowMs = NOW_MS;
    for (let i = 0; i < 95; i++) recorder.record(createCall());
    for (let i = 0; i < 5; i++) recorder.record(createCall({status: 503}));
    recorder.record(createCall({status: 404}));
    const rows = computeBurnReport(recorder.getBurnSeries(), () => 0.99, nowMs);
    expect(rows).toEqual([
      {
        route: 'lanes',
        team: 'juniors',
        objective: 0.99,
        errorBudget: 10,
        errorBudgetLeft: 5,
        short: {calls: 100, bad: 5, burnRate: 5},
        long: {calls: 1000, bad: 5, burnRate: 0.5},
      },
    ]);
    expect(formatBurnReport(rows)).toContain('5.00 (5/100)');
    expect(formatBurnReport(rows)).toContain('5.0 of 10.0');
  });

  it('excludes calls older than a window, also after their slot is reused', () => {
    let nowMs = NOW_MS;
    const recorder = new CallRecorder(createMetrics(), () => nowMs);
    recorder.record(createCall({status: 500}));
    const computeRow = () =>
      computeBurnReport(recorder.getBurnSeries(), () => 0.9, nowMs)[0]!;
    nowMs = NOW_MS + 5 * 60_000 - BURN_BUCKET_MS;
    expect(computeRow()).toMatchObject({short: {bad: 1}, long: {bad: 1}});
    nowMs += BURN_BUCKET_MS;
    expect(computeRow()).toMatchObject({short: {calls: 0, burnRate: 0}});
    expect(computeRow().long.bad).toBe(1);
    nowMs = NOW_MS + 60 * 60_000;
    expect(computeRow().long.calls).toBe(0);
    recorder.record(createCall());
    expect(computeRow().long).toEqual({calls: 1, bad: 0, burnRate: 0});
  });

  it('is the same from the merged series of two hosts as from one host', () => {
    const callsArbitrary = fc.array(
      fc.record({
        second: fc.integer({min: 0, max: 3599}),
        host: fc.integer({min: 0, max: 1}),
        team: fc.constantFrom('juniors', 'seniors'),
        status: fc.constantFrom(200, 404, 429, 503),
      }),
    );
    fc.assert(
      fc.property(callsArbitrary, calls => {
        let nowMs = NOW_MS;
        const createRecorder = () =>
          new CallRecorder(createMetrics(), () => nowMs);
        const combined = createRecorder();
        const hosts = [createRecorder(), createRecorder()];
        for (const one of calls.sort((a, b) => a.second - b.second)) {
          nowMs = NOW_MS + one.second * 1000;
          for (const recorder of [combined, hosts[one.host]!]) {
            recorder.record(createCall({team: one.team, status: one.status}));
          }
        }
        const report = (series: ReturnType<CallRecorder['getBurnSeries']>) =>
          computeBurnReport(series, () => 0.999, nowMs);
        const merged = mergeBurnSeries(hosts.map(host => host.getBurnSeries()));
        expect(report(merged)).toEqual(report(combined.getBurnSeries()));
      }),
    );
  });

  it('counts a bucket that a host sends twice only once, and drops old ones', () => {
    let nowMs = NOW_MS;
    const recorder = new CallRecorder(createMetrics(), () => nowMs);
    recorder.record(createCall());
    let stored = updateBurnSeries([], recorder.getBurnSeries(), nowMs);
    nowMs += 1000;
    recorder.record(createCall({status: 500}));
    stored = updateBurnSeries(stored, recorder.getBurnSeries(NOW_MS), nowMs);
    expect(stored).toEqual(recorder.getBurnSeries());
    nowMs += 2 * BURN_BUCKET_MS;
    recorder.record(createCall());
    const sent = recorder.getBurnSeries(nowMs - BURN_BUCKET_MS);
    expect(sent.map(({buckets}) => buckets.length)).toEqual([1]);
    stored = updateBurnSeries(stored, sent, nowMs);
    expect(stored).toEqual(recorder.getBurnSeries());
    expect(updateBurnSeries(stored, [], nowMs + 60 * 60_000)).toEqual([]);
  });

  it('limits the number of series, and evicts those of idle teams', () => {
    let nowMs = NOW_MS;
    const recorder = new CallRecorder(createMetrics(), () => nowMs, 2);
    for (const team of ['a', 'b', 'c']) recorder.record(createCall({team}));
    expect(recorder.getBurnSeries()).toHaveLength(2);
    expect(recorder.metrics.text()).toContain(
      'lentildrift_burn_dropped_total 1',
    );
    nowMs += 61 * 60_000;
    recorder.record(createCall({team: 'c'}));
    expect(recorder.getBurnSeries().map(({team}) => team)).toEqual(['c']);
  });
});
