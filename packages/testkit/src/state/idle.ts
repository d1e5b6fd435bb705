/** Measures the resource usage of idle processes, by number of entry hosts. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ServingCluster} from '../process/index.js';

const SETTLE_MS = 4000;
const WINDOW_MS = 15_000;

export interface ResourceUsage {
  readonly corePercent: number;
  readonly memoryMB: number;
  readonly sentKBPerSecond: number;
  readonly receivedKBPerSecond: number;
}

/** Usage with a given number of entry hosts. */
export interface IdleUsage {
  readonly entries: number;
  readonly leader: ResourceUsage;
  /** Maximum of each figure over the other control processes. */
  readonly follower: ResourceUsage;
  /** Maximum of each figure over the entry hosts. */
  readonly entry: ResourceUsage;
}

export async function measureIdleUsage(
  cluster: ServingCluster,
  entries: readonly string[],
): Promise<IdleUsage> {
  await sleep(SETTLE_MS);
  const leader = await cluster.operator.waitForLeader();
  const names = [...cluster.controls, ...entries];
  const readUsage = (name: string) => ({
    ...cluster.daemon(name).usage(),
    ...cluster.traffic(name),
  });
  const usageBefore = new Map(names.map(name => [name, readUsage(name)]));
  const startMs = performance.now();
  await sleep(WINDOW_MS);
  const seconds = (performance.now() - startMs) / 1000;
  const usageByName = new Map(
    names.map(name => {
      const [start, end] = [usageBefore.get(name)!, readUsage(name)];
      const rate = (a: number, b: number) => round((b - a) / seconds / 1000);
      const usage: ResourceUsage = {
        corePercent: round(
          ((end.cpuSeconds - start.cpuSeconds) / seconds) * 100,
        ),
        memoryMB: round(end.memoryBytes / 1e6),
        sentKBPerSecond: rate(start.sentBytes, end.sentBytes),
        receivedKBPerSecond: rate(start.receivedBytes, end.receivedBytes),
      };
      return [name, usage];
    }),
  );
  const maxUsage = (list: readonly string[]): ResourceUsage => {
    const all = list.map(name => usageByName.get(name)!);
    const maxOf = (field: keyof ResourceUsage) =>
      Math.max(...all.map(c => c[field]));
    return {
      corePercent: maxOf('corePercent'),
      memoryMB: maxOf('memoryMB'),
      sentKBPerSecond: maxOf('sentKBPerSecond'),
      receivedKBPerSecond: maxOf('receivedKBPerSecond'),
    };
  };
  return {
    entries: entries.length,
    leader: usageByName.get(leader)!,
    follower: maxUsage(cluster.controls.filter(name => name !== leader)),
    entry: maxUsage(entries),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
