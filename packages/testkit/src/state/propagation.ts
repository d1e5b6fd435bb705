/** Measures the time from an accepted edit until the entry hosts enforce it. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Service, ServingCluster} from '../process/index.js';
import {computePercentiles, type Percentiles} from './table.js';

const EDITS = 30;
/**
 * Not a multiple of the sync interval, so that edits fall at varying times in
 * it.
 */
const PAUSE_MS = 137;

export interface EditPropagation {
  /**
   * From the operator's receipt of the answer to the first call under the edit,
   * for each entry host.
   */
  readonly everyEntryMs: Percentiles;
  /** The same time for the slowest entry host of each edit. */
  readonly lastEntryMs: Percentiles;
  /** From sending the edit to its answer. */
  readonly answerMs: Percentiles;
}

/**
 * Requires that the route points to `odd`; the route points to `odd` again
 * afterwards.
 */
export async function measureEditPropagation(
  cluster: ServingCluster,
): Promise<EditPropagation> {
  const every: number[] = [];
  const last: number[] = [];
  const answers: number[] = [];
  for (let base = 1; base <= EDITS; base++) {
    const service: Service = base % 2 === 0 ? 'odd' : 'even';
    const sentMs = performance.now();
    const answer = await cluster.edit(base, service);
    const acceptedMs = performance.now();
    if (!answer.ok) throw new Error(answer.message);
    answers.push(acceptedMs - sentMs);
    const delays = await Promise.all(
      cluster.entries.map(async entry => {
        await cluster.waitUntilServing(entry, service);
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
