/**
 * The cost of delay: what callers lose if an occurrence of a job ends at a given
 * time, in the unit of its work, so that costs can be compared with the room
 * that would avoid them.
 */
import {dueAtMs, isLongRunning} from '@lentildrift/queue';
import {outlookOf, type OrderInput} from './order.js';

/** Maps an occurrence and the time of its end to a cost. */
export abstract class DelayCost {
  /**
   * The cost to callers, in core milliseconds, if the occurrence ends at the Unix
   * time `endAtMs`. It is never negative, and no lower for a later end. For a
   * long-running job `endAtMs` is the time from which it is at work.
   */
  abstract cost(input: OrderInput, endAtMs: number): number;
}

/**
 * Multiple of its objective up to which a job counts as in time without
 * `ObjectiveCost`, as in the order by deadline.
 */
const TOLERATED_FACTOR = 1.5;

/**
 * Baseline: the work of a job is lost once the job is late; the priority of its
 * queue does not count.
 */
export class LatenessCost extends DelayCost {
  override cost(input: OrderInput, endAtMs: number): number {
    if (isLongRunning(input.job)) return unavailabilityMs(input, endAtMs);
    const outlook = outlookOf(input);
    const tookMs = endAtMs - outlook.dueAtMs;
    const limitMs = TOLERATED_FACTOR * outlook.objectiveMs;
    return tookMs <= limitMs ? 0 : outlook.wholeWorkMs;
  }
}

/**
 * What an answer is worth to its caller whatever the work behind it, in core
 * milliseconds. Without it, a small job would count as nothing beside a large
 * one, though a caller waits for each.
 */
export const CALLER_WORK_MS = 15_000;

/** The cost halves with each step of the priority away from 0. */
const PRIORITY_FACTOR = 0.5;
/** Priorities beyond this count as this, so that no queue costs nothing. */
const MAX_PRIORITY = 6;

/**
 * Fraction of the worth of an occurrence that is lost, by the multiple of its
 * objective after which it ends; linear in between. Callers need the answer
 * within the objective, have little use for a later one and none after three
 * times the objective. The first rise spans what expected ends are off by.
 */
const LOSSES: readonly (readonly [multiple: number, fraction: number])[] = [
  [0.75, 0],
  [1.25, 0.9],
  [3, 1],
];

/**
 * Answers a lack of room for jobs of unequal use: the cost rises around the
 * objective, and by the work and the priority of the queue. An objective of 0
 * cannot be met, so the whole worth is lost at any end.
 */
export class ObjectiveCost extends DelayCost {
  override cost(input: OrderInput, endAtMs: number): number {
    const weight = priorityWeight(input.queue.priority);
    if (isLongRunning(input.job)) {
      return weight * unavailabilityMs(input, endAtMs);
    }
    const {dueAtMs, objectiveMs, wholeWorkMs} = outlookOf(input);
    const worthMs = weight * (CALLER_WORK_MS + wholeWorkMs);
    if (objectiveMs <= 0) return worthMs;
    return worthMs * lossAt((endAtMs - dueAtMs) / objectiveMs);
  }
}

/**
 * Weight of a queue's priority: 1 for 0, the most urgent, and half as much for
 * each further whole number. Fractions lie in between; a priority below 0 counts
 * as 0, one above 6 as 6.
 */
export function priorityWeight(priority: number): number {
  const bounded = Math.min(MAX_PRIORITY, Math.max(0, priority));
  return PRIORITY_FACTOR ** bounded;
}

function lossAt(multiple: number): number {
  let [fromMultiple, fromLoss] = LOSSES[0]!;
  if (multiple <= fromMultiple) return fromLoss;
  for (const [toMultiple, toLoss] of LOSSES) {
    if (multiple < toMultiple) {
      const part = (multiple - fromMultiple) / (toMultiple - fromMultiple);
      return fromLoss + part * (toLoss - fromLoss);
    }
    [fromMultiple, fromLoss] = [toMultiple, toLoss];
  }
  return fromLoss;
}

/**
 * Core milliseconds for which a long-running job is not at work: it serves users
 * all the time, so each moment without it is lost.
 */
function unavailabilityMs({job, occurrence}: OrderInput, untilMs: number) {
  let cores = 0;
  for (const {count, size} of job.spec.steps) {
    cores += (count * size.cpuMillis) / 1000;
  }
  return cores * Math.max(0, untilMs - dueAtMs(job, occurrence));
}
