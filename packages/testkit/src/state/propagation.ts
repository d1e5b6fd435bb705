/** Time from an accepted edit until each entry host enforces it. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Service, ServingCluster} from '../process/index.js';
import {computePercentiles, type Percentiles} from './table.js';

const EDITS = 30;
/** Not a multiple of the entry's sync interval, so that phases vary. */
const PAUSE_MS = 137;

export interface EditPropagation {
  /** From the answer at the operator to the first call under the edit. */
  readonly everyEntryMs: Percentiles;
  /** The same, for the last entry host of each edit. */
  readonly lastEntryMs: Percentiles;
  /** From sending the edit to its answer. */
  readonly answerMs: Percentiles;
}

/** The route leads to `odd` before and after. */
export async function measureEditPropagation(
  stage: ServingCluster,
): Promise<EditPropagation> {
  const every: number[] = [];
  const last: number[] = [];
  const answers: number[] = [];
  for (let base = 1; base <= EDITS; base++) {
    const service: Service = base % 2 === 0 ? 'odd' : 'even';
    const sentMs = performance.now();
    const answer = await stage.edit(base, service);
    const acceptedMs = performance.now();
    if (!answer.ok) throw new Error(answer.message);
    answers.push(acceptedMs - sentMs);
    const delays = await Promise.all(
      stage.entries.map(async entry => {
        await stage.waitUntilServing(entry, service);
        return performance.now() - acceptedMs;
      }),
    );
    every.push(...delays);
    last.push(Math.max(...delays));
    await sleep(PAUSE_MS);
  }
  return {
    everyEntryMs: computePercentiles(every),
    lastEntryMs: computePercentiles(last),
    answerMs: computePercentiles(answers),
  };
}
