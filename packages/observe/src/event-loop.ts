/** Lag of the process's event loop. */
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** One delay of the event loop. */
export interface LagSample {
  /** How much later than due a timer ran. */
  readonly lagMs: number;
  /**
   * Processor time that the process used since the previous sample. Little of
   * it in a long delay means that the process was frozen or not scheduled.
   */
  readonly cpuMs: number;
}

export interface LagProbe {
  stop(): void;
}

export interface EventLoopOptions {
  readonly log: Log;
  /** Without metrics, only stalls are logged. */
  readonly metrics?: Metrics;
}

/** A stall is seen up to this much shorter than it was. */
const SAMPLE_INTERVAL_MS = 20;
/** A turn longer than this is logged; heartbeats are sent every 100 ms. */
const STALL_MS = 200;
/** Shortest time between two log lines about stalls. */
const REPORT_INTERVAL_MS = 1000;

/**
 * Calls `onSample` at a short interval with the lag of the event loop. The
 * probe does not keep the process alive.
 */
export function startLagProbe(onSample: (sample: LagSample) => void): LagProbe {
  let dueMs = performance.now() + SAMPLE_INTERVAL_MS;
  let usedMs = processorTimeMs();
  let timer = setTimeout(sample, SAMPLE_INTERVAL_MS);
  timer.unref();

  function sample(): void {
    const nowMs = performance.now();
    const nowUsedMs = processorTimeMs();
    onSample({lagMs: Math.max(0, nowMs - dueMs), cpuMs: nowUsedMs - usedMs});
    dueMs = nowMs + SAMPLE_INTERVAL_MS;
    usedMs = nowUsedMs;
    timer = setTimeout(sample, SAMPLE_INTERVAL_MS);
    timer.unref();
  }

  return {stop: () => clearTimeout(timer)};
}

/** Records the lag of the event loop and logs its stalls. */
export function watchEventLoop({log, metrics}: EventLoopOptions): LagProbe {
  const lag = metrics?.latency(
    'lentildrift_event_loop_lag_seconds',
    'How much later than due a timer ran.',
    1,
  );
  let reportedMs = -Infinity;
  let unreported = 0;

  return startLagProbe(({lagMs, cpuMs}) => {
    lag?.record({}, lagMs);
    if (lagMs < STALL_MS) return;
    const nowMs = performance.now();
    if (nowMs - reportedMs < REPORT_INTERVAL_MS) {
      unreported++;
      return;
    }
    log.warn('loop-stalled', {
      lagMs: Math.round(lagMs),
      cpuMs: Math.round(cpuMs),
      unreported,
    });
    reportedMs = nowMs;
    unreported = 0;
  });
}

function processorTimeMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1000;
}
