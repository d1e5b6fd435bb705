/** Records finished calls as metrics and for the burn report. */
import type {Verdict} from '@lentildrift/model';
import {
  BURN_BUCKET_MS,
  getBucketStart,
  MAX_BURN_BUCKETS,
  classifyCall,
  type BurnSeries,
  type CallOutcome,
} from './burn.js';
import {createMetrics, type Metrics} from './metrics.js';

/** One finished call, as `CallRecorder` records it. */
export interface FinishedCall extends CallOutcome {
  /** Absent when the call named no route. */
  readonly route?: string;
  /** Absent when the call was not charged to a team. */
  readonly team?: string;
  readonly verdict: Verdict;
  readonly durationMs: number;
}

const MAX_CALL_SERIES = 10_000;
/** One latency series uses about 8 kB of memory. */
const MAX_LATENCY_SERIES = 1000;
/** One burn series uses about 1 kB of memory. */
const MAX_BURN_SERIES = 10_000;

/**
 * Ring buffer of the good and bad calls of one route and team. The bucket
 * with number n, its start divided by `BURN_BUCKET_MS`, is in slot n modulo
 * the length.
 */
interface BucketRing {
  readonly route: string;
  readonly team: string;
  readonly bucketNumbers: Float64Array;
  readonly good: Uint32Array;
  readonly bad: Uint32Array;
  lastCallMs: number;
}

/**
 * Records finished calls as metrics and as burn series. Memory use is bounded
 * for any sequence of calls, because the number of series is limited.
 */
export class CallRecorder {
  private readonly rings = new Map<string, BucketRing>();
  private readonly calls;
  private readonly latency;
  private readonly droppedCalls;

  /** `nowMs` returns the wall-clock time, in milliseconds. */
  constructor(
    readonly metrics: Metrics = createMetrics(),
    private readonly nowMs: () => number = Date.now,
    private readonly maxBurnSeries = MAX_BURN_SERIES,
  ) {
    this.calls = metrics.counter(
      'lentildrift_calls_total',
      'Finished calls.',
      MAX_CALL_SERIES,
    );
    this.latency = metrics.latency(
      'lentildrift_call_duration_seconds',
      'Time from the arrival of a call to the end of its answer.',
      MAX_LATENCY_SERIES,
    );
    this.droppedCalls = metrics.counter(
      'lentildrift_burn_dropped_total',
      'Calls left out of the burn report because it holds too many series.',
      1,
    );
  }

  record(call: FinishedCall): void {
    const {route = '', team = '', verdict, code, status, durationMs} = call;
    const labels = {route, team, verdict};
    this.calls.add({...labels, code: code ?? (status ? 'answered' : 'none')});
    this.latency.record(labels, durationMs);
    const kind = classifyCall(call);
    if (route === '' || team === '' || kind === 'ignored') return;
    this.countInBucket(route, team, kind);
  }

  /**
   * Returns the buckets of the last hour for the burn report. With `sinceMs`,
   * returns only buckets that may have changed since then, and leaves out
   * series without such a bucket.
   */
  getBurnSeries(sinceMs?: number): BurnSeries[] {
    const all = this.getAllBurnSeries();
    if (sinceMs === undefined) return all;
    const from = getBucketStart(sinceMs);
    return all
      .map(({buckets, ...rest}) => ({
        ...rest,
        buckets: buckets.filter(({startMs}) => startMs >= from),
      }))
      .filter(({buckets}) => buckets.length > 0);
  }

  private getAllBurnSeries(): BurnSeries[] {
    const newest = getBucketStart(this.nowMs()) / BURN_BUCKET_MS;
    return [...this.rings.values()].map(ring => {
      const {route, team, bucketNumbers, good, bad} = ring;
      const buckets = [...bucketNumbers]
        .map((number, slot) => ({
          startMs: number * BURN_BUCKET_MS,
          good: good[slot]!,
          bad: bad[slot]!,
        }))
        .filter(({startMs}) => {
          const age = newest - startMs / BURN_BUCKET_MS;
          return startMs >= 0 && age >= 0 && age < MAX_BURN_BUCKETS;
        })
        .sort((a, b) => a.startMs - b.startMs);
      return {route, team, buckets};
    });
  }

  private countInBucket(
    route: string,
    team: string,
    kind: 'good' | 'bad',
  ): void {
    const nowMs = this.nowMs();
    const ring = this.getOrCreateRing(route, team, nowMs);
    if (!ring) return this.droppedCalls.add({});
    const number = getBucketStart(nowMs) / BURN_BUCKET_MS;
    const slot = number % MAX_BURN_BUCKETS;
    if (ring.bucketNumbers[slot] !== number) {
      ring.bucketNumbers[slot] = number;
      ring.good[slot] = 0;
      ring.bad[slot] = 0;
    }
    ring[kind][slot]!++;
    ring.lastCallMs = nowMs;
  }

  private getOrCreateRing(
    route: string,
    team: string,
    nowMs: number,
  ): BucketRing | undefined {
    const key = `${route} ${team}`;
    const found = this.rings.get(key);
    if (found) return found;
    if (this.rings.size >= this.maxBurnSeries) this.evictIdleRings(nowMs);
    if (this.rings.size >= this.maxBurnSeries) return undefined;
    const ring = {
      route,
      team,
      bucketNumbers: new Float64Array(MAX_BURN_BUCKETS).fill(-1),
      good: new Uint32Array(MAX_BURN_BUCKETS),
      bad: new Uint32Array(MAX_BURN_BUCKETS),
      lastCallMs: nowMs,
    };
    this.rings.set(key, ring);
    return ring;
  }

  /** Removes series that had no call within the long window. */
  private evictIdleRings(nowMs: number): void {
    for (const [key, ring] of this.rings) {
      if (nowMs - ring.lastCallMs > MAX_BURN_BUCKETS * BURN_BUCKET_MS) {
        this.rings.delete(key);
      }
    }
  }
}
