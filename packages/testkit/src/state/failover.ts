/** Measures the time without a leader after the leader is killed. */
import {setTimeout as sleep} from 'node:timers/promises';
import {filterByType} from '../history.js';
import type {ServingCluster} from '../process/index.js';
import {computePercentiles, type Percentiles} from './table.js';

const KILLS = 6;
/** Time in which the restarted process catches up. */
const SETTLE_MS = 3000;

export interface FailoverTimes {
  /** From the kill until another process logs that it is the leader. */
  readonly withoutLeaderMs: Percentiles;
  /** From the kill until the answer to a command that is sent immediately. */
  readonly commandMs: Percentiles;
  /** Increase of the term at each kill; 1 means a single election. */
  readonly terms: readonly number[];
}

export async function measureFailover(
  cluster: ServingCluster,
): Promise<FailoverTimes> {
  const {operator, history} = cluster;
  const leaderlessTimes: number[] = [];
  const commandTimes: number[] = [];
  const terms: number[] = [];
  const listElections = () => filterByType(history.events(), 'led');
  for (let round = 0; round < KILLS; round++) {
    const killedLeader = await operator.waitForLeader();
    const termBefore = listElections().at(-1)!.term;
    const killedMs = performance.now();
    const killed = cluster.daemon(killedLeader).kill();
    await operator.command({type: 'withdraw-key', keyId: 'none'});
    commandTimes.push(performance.now() - killedMs);
    await killed;
    const nextElection = listElections().find(({atMs}) => atMs > killedMs)!;
    leaderlessTimes.push(nextElection.atMs - killedMs);
    await operator.waitForLeader();
    terms.push(listElections().at(-1)!.term - termBefore);
    await cluster.start(killedLeader);
    await sleep(SETTLE_MS);
  }
  return {
    withoutLeaderMs: computePercentiles(leaderlessTimes),
    commandMs: computePercentiles(commandTimes),
    terms,
  };
}
