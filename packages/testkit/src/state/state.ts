/** The measurement `state`: runs the system as processes on loopback. */
import {startServingCluster} from '../process/index.js';
import {measureBurst, type BurstTimes} from './burst.js';
import {measureEditPropagation, type EditPropagation} from './propagation.js';
import {measureIdleUsage, type ResourceUsage, type IdleUsage} from './idle.js';
import {measureFailover, type FailoverTimes} from './failover.js';
import {measureRestarts, type RestartTimes} from './restart.js';
import {printRows, formatPercentiles, type Row} from './table.js';

const ENTRY_COUNTS = [1, 4, 8] as const;
/** Upper limits of the target, per process. */
const TARGET = {
  editMs: 7000,
  corePercent: 4.5,
  memoryMB: 256,
  trafficKBPerSecond: 19,
};

interface StateFigures {
  readonly idle: readonly IdleUsage[];
  readonly edits: EditPropagation;
  readonly burst: BurstTimes;
  /** Times without a leader after the leader is killed. */
  readonly vacancy: FailoverTimes;
  readonly restarts: readonly RestartTimes[];
}

export async function measureState(): Promise<object> {
  const restarts = await measureRestarts();
  const cluster = await startServingCluster({
    entries: Math.max(...ENTRY_COUNTS),
    startedEntries: 1,
    countTraffic: true,
  });
  try {
    const idle: IdleUsage[] = [];
    let started = 1;
    for (const count of ENTRY_COUNTS) {
      const all = cluster.entries.slice(0, count);
      await cluster.startEntries(all.slice(started).map(({name}) => name));
      started = count;
      for (const entry of all) await cluster.waitUntilServing(entry, 'odd');
      idle.push(
        await measureIdleUsage(
          cluster,
          all.map(({name}) => name),
        ),
      );
    }
    const edits = await measureEditPropagation(cluster);
    const burst = await measureBurst(cluster);
    const vacancy = await measureFailover(cluster);
    const figures = {idle, edits, burst, vacancy, restarts};
    printRows(rowsOf(figures));
    return {target: TARGET, withinTarget: checkTargets(figures), ...figures};
  } finally {
    await cluster.stop();
  }
}

function rowsOf({idle, edits, burst, vacancy, restarts}: StateFigures): Row[] {
  return [
    ['edit in force, each of 8 entries', formatPercentiles(edits.everyEntryMs)],
    ['edit in force, last of 8 entries', formatPercentiles(edits.lastEntryMs)],
    ['edit answered', formatPercentiles(edits.answerMs)],
    [
      'leader killed: until the next',
      formatPercentiles(vacancy.withoutLeaderMs),
    ],
    ['leader killed: until a command', formatPercentiles(vacancy.commandMs)],
    ['leader killed: terms passed', vacancy.terms.join(', ')],
    ['burst: 90 % of highest reached', formatPercentiles(burst.reachedMs)],
    ['burst: running at once', burst.atOnce.join(', ')],
    ['burst: running at most', burst.highest.join(', ')],
    ...restarts.map(({changes, snapshots, loadedMs, leadsMs, readMs}): Row => [
      `restart, ${changes} changes, ${snapshots ? 'with' : 'no'} snapshots`,
      `loaded ${loadedMs} ms, leads ${leadsMs} ms, read ${readMs} ms`,
    ]),
    ...idle.flatMap(({entries, leader, follower, entry}): Row[] => [
      [`idle leader, ${entries} entries`, formatUsage(leader)],
      [`idle follower, ${entries} entries`, formatUsage(follower)],
      [`idle entry, ${entries} entries`, formatUsage(entry)],
    ]),
  ];
}

function formatUsage(usage: ResourceUsage): string {
  const {corePercent, memoryMB, sentKBPerSecond, receivedKBPerSecond} = usage;
  return `${corePercent} % of a core, ${memoryMB} MB, sent ${sentKBPerSecond} KB/s, received ${receivedKBPerSecond} KB/s`;
}

/**
 * Compares the figures with `TARGET`; traffic is the sum of both directions.
 */
function checkTargets({idle, edits}: StateFigures) {
  const usages = idle.flatMap(({leader, follower, entry}) => [
    leader,
    follower,
    entry,
  ]);
  return {
    edits: edits.everyEntryMs.max <= TARGET.editMs,
    core: usages.every(c => c.corePercent <= TARGET.corePercent),
    memory: usages.every(c => c.memoryMB <= TARGET.memoryMB),
    traffic: usages.every(
      c =>
        c.sentKBPerSecond + c.receivedKBPerSecond <= TARGET.trafficKBPerSecond,
    ),
  };
}
