/**
 * Log lines about a member of the group, at most once a second. A slow commit
 * may be due to the leader, to the event loop of a follower or to its disk; the
 * leader's own lines do not tell which.
 */
import {performance as nodePerformance} from 'node:perf_hooks';
import {
  startCollectionProbe,
  startLagProbe,
  type Latency,
  type Log,
  type Metrics,
} from '@lentildrift/observe';
import {
  LogStore,
  type LogWrite,
  type Snapshot,
  type StoredLog,
} from '@lentildrift/storage';

export interface MemberReport {
  /** The store with its writes measured. */
  readonly store: LogStore;
  /** Counts a call to a worker that was made for the leader. */
  countRelayedCall(): void;
  stop(): void;
}

export interface MemberReportOptions {
  readonly store: LogStore;
  readonly log: Log;
  readonly metrics: Metrics;
}

const REPORT_INTERVAL_MS = 1000;

/** Sums and maxima since the last line. */
interface Window {
  cpuMs: number;
  collectionMs: number;
  lagMaxMs: number;
  writes: number;
  writeMaxMs: number;
  relayedCalls: number;
}

function createWindow(): Window {
  return {
    cpuMs: 0,
    collectionMs: 0,
    lagMaxMs: 0,
    writes: 0,
    writeMaxMs: 0,
    relayedCalls: 0,
  };
}

export function startMemberReport({
  store,
  log,
  metrics,
}: MemberReportOptions): MemberReport {
  const writeTime: Latency = metrics.latency(
    'lentildrift_log_write_seconds',
    'Time until a write to the log was synced.',
    1,
  );
  const collectionTime: Latency = metrics.latency(
    'lentildrift_gc_seconds',
    'Duration of a garbage collection.',
    1,
  );
  let window = createWindow();
  const collections = startCollectionProbe(durationMs => {
    collectionTime.record({}, durationMs);
    window.collectionMs += durationMs;
  });
  let reportedMs = performance.now();
  let reportedLoop = readLoopCounts();
  const probe = startLagProbe(({lagMs, cpuMs}) => {
    window.cpuMs += cpuMs;
    window.lagMaxMs = Math.max(window.lagMaxMs, lagMs);
    const nowMs = performance.now();
    if (nowMs - reportedMs < REPORT_INTERVAL_MS) return;
    // A member without any work is not worth a line.
    const loop = readLoopCounts();
    if (window.writes > 0 || window.relayedCalls > 0) {
      log.info('member', {
        periodMs: Math.round(nowMs - reportedMs),
        cpuMs: Math.round(window.cpuMs),
        gcMs: Math.round(window.collectionMs),
        lagMaxMs: Math.round(window.lagMaxMs),
        turns: loop.turns - reportedLoop.turns,
        inputs: loop.inputs - reportedLoop.inputs,
        writes: window.writes,
        writeMaxMs: Math.round(window.writeMaxMs),
        relayedCalls: window.relayedCalls,
      });
    }
    reportedMs = nowMs;
    reportedLoop = loop;
    window = createWindow();
  });
  return {
    store: new MeasuredStore(store, elapsedMs => {
      writeTime.record({}, elapsedMs);
      window.writes++;
      window.writeMaxMs = Math.max(window.writeMaxMs, elapsedMs);
    }),
    countRelayedCall: () => void window.relayedCalls++,
    stop() {
      probe.stop();
      collections.stop();
    },
  };
}

interface LoopCounts {
  /** Turns of the event loop since the start of the process. */
  readonly turns: number;
  /** Sockets and other sources that were ready in these turns. */
  readonly inputs: number;
}

/**
 * Turns and inputs cost processor time of the operating system, which shows in
 * no profile of the program.
 */
function readLoopCounts(): LoopCounts {
  const {loopCount, events} = nodePerformance.nodeTiming.uvMetricsInfo;
  return {turns: loopCount, inputs: events};
}

/** Passes everything on, and reports how long each write took. */
class MeasuredStore extends LogStore {
  constructor(
    private readonly store: LogStore,
    private readonly onWritten: (elapsedMs: number) => void,
  ) {
    super();
  }

  override load(): Promise<StoredLog> {
    return this.store.load();
  }

  override async write(writes: readonly LogWrite[]): Promise<void> {
    const startMs = performance.now();
    await this.store.write(writes);
    this.onWritten(performance.now() - startMs);
  }

  override compact(snapshot: Snapshot): Promise<void> {
    return this.store.compact(snapshot);
  }

  override close(): Promise<void> {
    return this.store.close();
  }
}
