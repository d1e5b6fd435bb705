/**
 * Workers that crash: shortly after they have started a deadly task, or when a
 * test says so. A crashed worker is back after some seconds, on the same host
 * and as a new incarnation.
 */
import type {Worker} from '@lentildrift/queue';
import {vi} from 'vitest';
import type {Harness} from './harness.js';

/** Time from the start of a deadly task to the crash of its worker. */
const CRASH_DELAY_MS = 10;

export interface CrashOptions {
  readonly harness: Harness;
  /** Time from a crash to the first announcement of the next incarnation. */
  readonly downMs?: number;
  isDeadly(task: string): boolean;
}

export interface Crashes {
  /** Crashes of workers under each deadly task. */
  readonly count: ReadonlyMap<string, number>;
  /** Ends the worker on the host with all of its runs. */
  crash(host: string): void;
  stop(): void;
}

/** Requires that the caller has installed vitest's fake timers. */
export function startCrashes(options: CrashOptions): Crashes {
  const {harness, isDeadly, downMs = 3400} = options;
  const {fleet} = harness;
  const count = new Map<string, number>();
  const announcing = new Map<string, Worker>();
  let incarnations = 0;

  const start = fleet.start.bind(fleet);
  vi.spyOn(fleet, 'start').mockImplementation(async (target, order) => {
    const answer = await start(target, order);
    const fake = fleet.byAddress.get(target.address)!;
    if (answer.ok && fake.isAlive && isDeadly(order.task)) {
      setTimeout(() => {
        if (!fake.isAlive || !fake.runs.has(order.task)) return;
        count.set(order.task, (count.get(order.task) ?? 0) + 1);
        crash(fake.worker.host);
      }, CRASH_DELAY_MS);
    }
    return answer;
  });
  // Announcements are repeated, as those that no leader takes are lost.
  const timer = setInterval(() => {
    for (const row of announcing.values()) {
      harness.leader.announce(row).catch(() => undefined);
    }
  }, 500);

  function crash(host: string): void {
    const fake = [...fleet.byAddress.values()].find(
      each => each.isAlive && each.worker.host === host,
    );
    if (!fake) return;
    fake.isAlive = false;
    announcing.delete(host);
    const next = {
      ...fake.worker,
      id: `${host}-${++incarnations}`,
      bornMs: 1000 + incarnations,
    };
    setTimeout(() => {
      fleet.add(next);
      announcing.set(host, next);
      harness.leader.announce(next).catch(() => undefined);
    }, downMs);
  }

  return {
    count,
    crash,
    stop() {
      clearInterval(timer);
    },
  };
}
