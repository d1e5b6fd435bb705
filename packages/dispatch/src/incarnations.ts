/**
 * Numbers the incarnations of each worker that a leader calls. With its token,
 * the number fences off calls to earlier incarnations, which may be under way
 * for seconds and reach the incarnation that has the worker's ID by then.
 */
import type {Worker} from '@lentildrift/queue';
import type {Target} from './driver.js';

export interface Incarnations {
  /**
   * Returns the target of calls to this incarnation. One that is asked for later
   * than another with the same ID has a higher number.
   */
  targetOf(worker: Worker): Target;
}

export function createIncarnations(): Incarnations {
  /** Numbers by `bornMs`, by worker ID. */
  const numbersById = new Map<string, Map<number, number>>();

  return {
    targetOf({id, address, dataCentre, bornMs}) {
      let numbers = numbersById.get(id);
      if (!numbers) numbersById.set(id, (numbers = new Map<number, number>()));
      const incarnation = numbers.get(bornMs) ?? numbers.size;
      numbers.set(bornMs, incarnation);
      return {id, address, dataCentre, incarnation};
    },
  };
}
