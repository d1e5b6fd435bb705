/** Metrics with labels: counters, gauges and latency summaries. */
import {build, type Histogram} from 'hdr-histogram-js';

export type Labels = Readonly<Record<string, string>>;

/** Value of every label of the series that counts label sets past the limit. */
export const OVERFLOW_LABEL_VALUE = 'other';

const QUANTILES = [0.5, 0.9, 0.99, 0.999];
/** Latency is recorded in steps of 0.1 ms, up to 10 minutes. */
const LATENCY_STEPS_PER_MS = 10;
const MAX_LATENCY_STEPS = 10 * 60 * 1000 * LATENCY_STEPS_PER_MS;
const SIGNIFICANT_DIGITS = 2;

interface MetricFamily {
  readonly name: string;
  readonly help: string;
  readonly type: 'counter' | 'gauge' | 'summary';
  formatLines(): string[];
}

export interface Counter {
  add(labels: Labels, by?: number): void;
}

export interface Gauge {
  set(labels: Labels, value: number): void;
}

export interface Latency {
  record(labels: Labels, durationMs: number): void;
}

/**
 * A second request for a metric returns the existing one, so that a part of the
 * process that starts again continues its metrics.
 */
export interface Metrics {
  counter(name: string, help: string, maxSeries: number): Counter;
  gauge(name: string, help: string, maxSeries: number): Gauge;
  /** A summary with quantiles and sum in seconds, and a count. */
  latency(name: string, help: string, maxSeries: number): Latency;
  /** Formats all metrics in the Prometheus text format, version 0.0.4. */
  text(): string;
}

/** Content type of the output of `Metrics.text`. */
export const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

export function createMetrics(): Metrics {
  const families: MetricFamily[] = [];
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const latencies = new Map<string, Latency>();

  function counter(name: string, help: string, maxSeries: number): Counter {
    const known = counters.get(name);
    if (known) return known;
    const values = new Map<string, number>();
    const add = (labels: Labels, by = 1) => {
      if (!(by >= 0)) throw new RangeError(`counter ${name} cannot fall`);
      const key = chooseSeriesKey(values, labels, maxSeries);
      values.set(key, (values.get(key) ?? 0) + by);
    };
    const formatLines = () => formatValues(name, values);
    families.push({name, help, type: 'counter', formatLines});
    const created = {add};
    counters.set(name, created);
    return created;
  }

  function gauge(name: string, help: string, maxSeries: number): Gauge {
    const known = gauges.get(name);
    if (known) return known;
    const values = new Map<string, number>();
    const set = (labels: Labels, value: number) => {
      values.set(chooseSeriesKey(values, labels, maxSeries), value);
    };
    const formatLines = () => formatValues(name, values);
    families.push({name, help, type: 'gauge', formatLines});
    const created = {set};
    gauges.set(name, created);
    return created;
  }

  function latency(name: string, help: string, maxSeries: number): Latency {
    const known = latencies.get(name);
    if (known) return known;
    const series = new Map<string, LatencySeries>();
    const record = (labels: Labels, durationMs: number) => {
      const key = chooseSeriesKey(series, labels, maxSeries);
      let found = series.get(key);
      if (!found) series.set(key, (found = createLatencySeries()));
      const steps = Math.round(Math.max(0, durationMs) * LATENCY_STEPS_PER_MS);
      found.histogram.recordValue(Math.min(steps, MAX_LATENCY_STEPS));
      found.sumMs += Math.max(0, durationMs);
    };
    const formatLines = () =>
      [...series].flatMap(([key, value]) =>
        formatLatencySeries(name, key, value),
      );
    families.push({name, help, type: 'summary', formatLines});
    const created = {record};
    latencies.set(name, created);
    return created;
  }

  function text(): string {
    const blocks = families.map(({name, help, type, formatLines}) =>
      [
        `# HELP ${name} ${escapeHelp(help)}`,
        `# TYPE ${name} ${type}`,
        ...formatLines(),
      ].join('\n'),
    );
    return blocks.length === 0 ? '' : blocks.join('\n') + '\n';
  }

  return {counter, gauge, latency, text};
}

interface LatencySeries {
  readonly histogram: Histogram;
  sumMs: number;
}

function createLatencySeries(): LatencySeries {
  const histogram = build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_STEPS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    autoResize: false,
  });
  return {histogram, sumMs: 0};
}

function formatLatencySeries(
  name: string,
  key: string,
  {histogram, sumMs}: LatencySeries,
): string[] {
  const quantiles = QUANTILES.map(quantile => {
    const steps = histogram.getValueAtPercentile(quantile * 100);
    const labels = appendLabel(key, `quantile="${quantile}"`);
    return `${name}{${labels}} ${steps / LATENCY_STEPS_PER_MS / 1000}`;
  });
  return [
    ...quantiles,
    `${name}_sum${wrapInBraces(key)} ${sumMs / 1000}`,
    `${name}_count${wrapInBraces(key)} ${histogram.totalCount}`,
  ];
}

/**
 * Returns the key of the series of `labels`, or that of the overflow series
 * when the metric has no room for another series.
 */
function chooseSeriesKey(
  series: ReadonlyMap<string, unknown>,
  labels: Labels,
  maxSeries: number,
): string {
  const key = formatLabels(labels);
  // The overflow series counts towards `maxSeries`.
  if (series.has(key) || series.size < maxSeries - 1) return key;
  const names = Object.keys(labels);
  return formatLabels(
    Object.fromEntries(names.map(name => [name, OVERFLOW_LABEL_VALUE])),
  );
}

function formatLabels(labels: Labels): string {
  let text = '';
  for (const name in labels) {
    if (text !== '') text += ',';
    text += `${name}="${escapeLabel(labels[name]!)}"`;
  }
  return text;
}

function formatValues(
  name: string,
  values: ReadonlyMap<string, number>,
): string[] {
  return [...values].map(
    ([key, value]) => `${name}${wrapInBraces(key)} ${value}`,
  );
}

function wrapInBraces(key: string): string {
  return key === '' ? '' : `{${key}}`;
}

function appendLabel(key: string, more: string): string {
  return key === '' ? more : `${key},${more}`;
}

function escapeLabel(value: string): string {
  if (!/[\\"\n]/.test(value)) return value;
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}

function escapeHelp(help: string): string {
  return help.replaceAll('\\', '\\\\').replaceAll('\n', '\\n');
}
