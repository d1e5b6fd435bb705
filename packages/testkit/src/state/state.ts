/** `measure -- state`: the system as processes on loopback. */
import {startServingCluster} from '../process/index.js';
import {measureBurst, type BurstTimes} from './burst.js';
import {measureEditPropagation, type EditPropagation} from './propagation.js';
import {measureIdleUsage, type ResourceUsage, type IdleUsage} from './idle.js';
import {measureFailover, type FailoverTimes} from './failover.js';
import {measureRestarts, type RestartTimes} from './restart.js';
import {printRows, formatPercentiles, type Row} from './table.js';

const ENTRY_COUNTS = [1, 4, 8] as const;
/** Bounds of the target, on a node. */
const TARGET = {
  editMs: 7000,
  corePercent: 4.5,
  memoryMB: 256,
  trafficKBPerSecond: 19,
};

interface Figures {
  readonly idle: readonly IdleUsage[];
  readonly edits: EditPropagation;
  readonly burst: BurstTimes;
  readonly vacancy: FailoverTimes;
  readonly restarts: readonly RestartTimes[];
}

export async function measureState(): Promise<object> {
  const restarts = await measureRestarts();
  const stage = await startServingCluster({
    entries: Math.max(...ENTRY_COUNTS),
    startedEntries: 1,
    countTraffic: true,
  });
  try {
    const idle: IdleUsage[] = [];
    let started = 1;
    for (const count of ENTRY_COUNTS) {
      const all = stage.entries.slice(0, count);
      await stage.startEntries(all.slice(started).map(({name}) => name));
      started = count;
      for (const entry of all) await stage.waitUntilServing(entry, 'odd');
      idle.push(
        await measureIdleUsage(
          stage,
          all.map(({name}) => name),
        ),
      );
    }
    const edits = await measureEditPropagation(stage);
    const burst = await measureBurst(stage);
    const vacancy = await measureFailover(stage);
    const figures = {idle, edits, burst, vacancy, restarts};
    printRows(rowsOf(figures));
    return {target: TARGET, withinTarget: judge(figures), ...figures};
  } finally {
    await stage.stop();
  }
}

function rowsOf({idle, edits, burst, vacancy, restarts}: Figures): Row[] {
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
      [`idle leader, ${entries} entries`, costText(leader)],
      [`idle follower, ${entries} entries`, costText(follower)],
      [`idle entry, ${entries} entries`, costText(entry)],
    ]),
  ];
}

function costText(cost: ResourceUsage): string {
  const {corePercent, memoryMB, sentKBPerSecond, receivedKBPerSecond} = cost;
  return `${corePercent} % of a core, ${memoryMB} MB, sent ${sentKBPerSecond} KB/s, received ${receivedKBPerSecond} KB/s`;
}

/** Traffic of a node counts both directions. */
function judge({idle, edits}: Figures) {
  const costs = idle.flatMap(({leader, follower, entry}) => [
    leader,
    follower,
    entry,
  ]);
  return {
    edits: edits.everyEntryMs.max <= TARGET.editMs,
    core: costs.every(c => c.corePercent <= TARGET.corePercent),
    memory: costs.every(c => c.memoryMB <= TARGET.memoryMB),
    traffic: costs.every(
      c =>
        c.sentKBPerSecond + c.receivedKBPerSecond <= TARGET.trafficKBPerSecond,
    ),
  };
}
