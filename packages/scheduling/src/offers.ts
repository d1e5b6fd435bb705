/** What callers have handed in to a pool of late, accepted or not. */

/** A job that was decided on. */
export interface Offer {
  readonly queue: string;
  readonly workMs: number;
  /** What its callers lose if it is never done. */
  readonly costMs: number;
}

export interface OfferHistory {
  record(offer: Offer, isAdmitted: boolean): void;
  /** Mean cost for each core millisecond; undefined while little is known. */
  meanCostPerWork(): number | undefined;
  /**
   * Whether jobs of this size have been accepted less often than a floor, which
   * is a part of how often all jobs of the queue have been.
   */
  isBelowFloor(queue: string, workMs: number): boolean;
}

/** Number of offers over which the means reflect the latest ones. */
const MEMORY = 60;
/** Offers below which nothing is concluded. */
const MIN_OFFERS = 15;
/** Least part of the acceptance of its queue that each class of sizes keeps. */
const FLOOR = 0.8;
/**
 * Lower bounds of the classes, as multiples of the mean work of the queue. The
 * largest tenth of the jobs of a queue, and the fifth below it, are about those
 * above 2 and 1.
 */
const CLASS_BOUNDS = [2, 1];

interface Tally {
  offered: number;
  admitted: number;
  workMs: number;
  costMs: number;
}

function createTally(): Tally {
  return {offered: 0, admitted: 0, workMs: 0, costMs: 0};
}

function addTo(tally: Tally, {workMs, costMs}: Offer, isAdmitted: boolean) {
  const kept = 1 - 1 / MEMORY;
  tally.offered = tally.offered * kept + 1;
  tally.admitted = tally.admitted * kept + (isAdmitted ? 1 : 0);
  tally.workMs = tally.workMs * kept + workMs;
  tally.costMs = tally.costMs * kept + costMs;
}

export function createOfferHistory(): OfferHistory {
  const all = createTally();
  /** By queue, and by queue and class. */
  const tallies = new Map<string, Tally>();

  function tallyOf(key: string): Tally {
    let tally = tallies.get(key);
    if (!tally) tallies.set(key, (tally = createTally()));
    return tally;
  }

  function classKey(queue: string, workMs: number): string {
    const {offered, workMs: totalMs} = tallyOf(queue);
    const multiple = offered > 0 ? workMs / (totalMs / offered) : 1;
    const at = CLASS_BOUNDS.findIndex(bound => multiple >= bound);
    return `${queue} ${at < 0 ? CLASS_BOUNDS.length : at}`;
  }

  return {
    record(offer, isAdmitted) {
      const key = classKey(offer.queue, offer.workMs);
      for (const tally of [all, tallyOf(offer.queue), tallyOf(key)]) {
        addTo(tally, offer, isAdmitted);
      }
    },
    meanCostPerWork() {
      if (all.offered < MIN_OFFERS || all.workMs <= 0) return undefined;
      return all.costMs / all.workMs;
    },
    isBelowFloor(queue, workMs) {
      const whole = tallyOf(queue);
      const part = tallyOf(classKey(queue, workMs));
      return (
        part.admitted * whole.offered < FLOOR * whole.admitted * part.offered
      );
    },
  };
}
