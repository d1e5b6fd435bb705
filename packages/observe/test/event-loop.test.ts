import {createLog, createMetrics, watchEventLoop} from '@lentildrift/observe';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/**
 * Moves the clock on while no timer can run, as a long turn does. The lag is up
 * to 20 ms longer than `ms`, depending on when the next sample is due.
 */
async function stall(ms: number): Promise<void> {
  const nowMs = performance.now();
  const clock = vi.spyOn(performance, 'now').mockReturnValue(nowMs + ms + 20);
  await vi.advanceTimersByTimeAsync(20);
  clock.mockRestore();
  await vi.advanceTimersByTimeAsync(ms);
}

describe('the watch of the event loop', () => {
  it('logs a turn that was longer than 200 ms, and no shorter one', async () => {
    const lines: string[] = [];
    const log = createLog('info', {}, line => lines.push(line));
    const probe = watchEventLoop({log});
    await vi.advanceTimersByTimeAsync(1000);
    await stall(150);
    expect(lines).toEqual([]);
    await stall(300);
    probe.stop();
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(
      /event=loop-stalled lagMs=3[0-2]\d cpuMs=\d+ unreported=0$/,
    );
  });

  it('logs at most one line a second while every turn is too long', async () => {
    const lines: string[] = [];
    const log = createLog('info', {}, line => lines.push(line));
    const probe = watchEventLoop({log});
    const beganMs = performance.now();
    for (let i = 0; i < 20; i++) await stall(250);
    probe.stop();
    const seconds = (performance.now() - beganMs) / 1000;
    expect(lines.length).toBeGreaterThan(1);
    expect(lines.length).toBeLessThanOrEqual(Math.ceil(seconds));
    expect(lines[1]).toMatch(/unreported=[1-9]\d*$/);
  });

  it('records the lag of every sample and stops on request', async () => {
    const metrics = createMetrics();
    const log = createLog('error', {}, () => {});
    const probe = watchEventLoop({log, metrics});
    await vi.advanceTimersByTimeAsync(200);
    const count = /lentildrift_event_loop_lag_seconds_count (\d+)/;
    const recorded = Number(count.exec(metrics.text())![1]);
    expect(recorded).toBeGreaterThanOrEqual(9);
    probe.stop();
    await vi.advanceTimersByTimeAsync(200);
    expect(Number(count.exec(metrics.text())![1])).toBe(recorded);
  });
});
