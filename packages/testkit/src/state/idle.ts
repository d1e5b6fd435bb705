/** Cost of idle processes with different numbers of entry hosts. */
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

export interface IdleUsage {
  readonly entries: number;
  readonly leader: ResourceUsage;
  /** The dearest of the other control processes, figure by figure. */
  readonly follower: ResourceUsage;
  readonly entry: ResourceUsage;
}

export async function measureIdleUsage(
  stage: ServingCluster,
  entries: readonly string[],
): Promise<IdleUsage> {
  await sleep(SETTLE_MS);
  const leader = await stage.operator.waitForLeader();
  const names = [...stage.controls, ...entries];
  const look = (name: string) => ({
    ...stage.daemon(name).usage(),
    ...stage.traffic(name),
  });
  const before = new Map(names.map(name => [name, look(name)]));
  const startMs = performance.now();
  await sleep(WINDOW_MS);
  const seconds = (performance.now() - startMs) / 1000;
  const costs = new Map(
    names.map(name => {
      const [was, is] = [before.get(name)!, look(name)];
      const rate = (a: number, b: number) => round((b - a) / seconds / 1000);
      const cost: ResourceUsage = {
        corePercent: round(((is.cpuSeconds - was.cpuSeconds) / seconds) * 100),
        memoryMB: round(is.memoryBytes / 1e6),
        sentKBPerSecond: rate(was.sentBytes, is.sentBytes),
        receivedKBPerSecond: rate(was.receivedBytes, is.receivedBytes),
      };
      return [name, cost];
    }),
  );
  const dearest = (list: readonly string[]): ResourceUsage => {
    const all = list.map(name => costs.get(name)!);
    const most = (field: keyof ResourceUsage) =>
      Math.max(...all.map(c => c[field]));
    return {
      corePercent: most('corePercent'),
      memoryMB: most('memoryMB'),
      sentKBPerSecond: most('sentKBPerSecond'),
      receivedKBPerSecond: most('receivedKBPerSecond'),
    };
  };
  return {
    entries: entries.length,
    leader: costs.get(leader)!,
    follower: dearest(stage.controls.filter(name => name !== leader)),
    entry: dearest(entries),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
