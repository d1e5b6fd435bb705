/** Time without a leader after the leader is killed. */
import {setTimeout as sleep} from 'node:timers/promises';
import {filterByType} from '../history.js';
import type {ServingCluster} from '../process/index.js';
import {computePercentiles, type Percentiles} from './table.js';

const KILLS = 6;
/** Until the killed process has caught up. */
const SETTLE_MS = 3000;

export interface FailoverTimes {
  /** From the kill until another process logs that it leads. */
  readonly withoutLeaderMs: Percentiles;
  /** From the kill until a command sent at once is answered. */
  readonly commandMs: Percentiles;
  /** Terms that passed for each kill: 1 is a single election. */
  readonly terms: readonly number[];
}

export async function measureFailover(
  stage: ServingCluster,
): Promise<FailoverTimes> {
  const {operator, history} = stage;
  const vacancies: number[] = [];
  const commands: number[] = [];
  const terms: number[] = [];
  const offices = () => filterByType(history.events(), 'led');
  for (let round = 0; round < KILLS; round++) {
    const old = await operator.waitForLeader();
    const term = offices().at(-1)!.term;
    const killedMs = performance.now();
    const killed = stage.daemon(old).kill();
    await operator.command({type: 'withdraw-key', keyId: 'none'});
    commands.push(performance.now() - killedMs);
    await killed;
    const next = offices().find(({atMs}) => atMs > killedMs)!;
    vacancies.push(next.atMs - killedMs);
    await operator.waitForLeader();
    terms.push(offices().at(-1)!.term - term);
    await stage.start(old);
    await sleep(SETTLE_MS);
  }
  return {
    withoutLeaderMs: computePercentiles(vacancies),
    commandMs: computePercentiles(commands),
    terms,
  };
}
