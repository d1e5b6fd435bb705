/** The order of jobs by what callers lose by a wait. */
import {isLongRunning} from '@lentildrift/queue';
import {ObjectiveCost, priorityWeight, type DelayCost} from './cost.js';
import {
  CLASS_SPACING,
  JobOrder,
  LATE_TOLERANCE,
  outlookOf,
  type OrderInput,
  type Outlook,
} from './order.js';

/** Slack that the whole difference between priorities outweighs. */
const PRIORITY_SLACK_MS = 1000;
/**
 * Slack, in milliseconds, that a saving of the whole work of a job outweighs. It
 * bounds the lead of small jobs: large ones, whose objectives are longer, have
 * more slack.
 */
const SLACK_PER_SAVING_MS = 1000;
/** Savings above this multiple of the work count as this, for the same reason. */
const MAX_SAVING = 3;
/**
 * A job that has waited for this multiple of its objective precedes all others
 * that have not started, so that it ends however many others keep coming.
 */
const MAX_WAIT_FACTOR = 6;

/**
 * Answers a pool with too little room for jobs of unequal use: the jobs come
 * first by which callers are spared most for the room that they need.
 *
 * Long-running jobs precede all others. While there is room, what counts is the
 * cost of one more wait, and then the slack. In an overloaded pool, started jobs
 * are completed, then those begin that save most for each core millisecond that
 * they still need, with the most slack; jobs on room that was lent to their team
 * come after those. Jobs beyond help are last, the one with the least remaining
 * work first, but none waits for ever.
 */
export class CostOrder extends JobOrder {
  constructor(private readonly delayCost: DelayCost = new ObjectiveCost()) {
    super();
  }

  override rank(
    input: OrderInput,
    isOverloaded = false,
    isOnLentRoom = false,
  ): number {
    const {job, queue, nowMs} = input;
    if (isLongRunning(job)) return -2 * CLASS_SPACING;
    const outlook = outlookOf(input);
    const {dueAtMs, objectiveMs, remainingPathMs, remainingWorkMs} = outlook;
    const slackMs = dueAtMs + objectiveMs - nowMs - remainingPathMs;
    if (slackMs < -LATE_TOLERANCE * objectiveMs) {
      const hasWaitedLong = nowMs - dueAtMs > MAX_WAIT_FACTOR * objectiveMs;
      return hasWaitedLong
        ? slackMs - CLASS_SPACING / 2
        : CLASS_SPACING + remainingWorkMs;
    }
    if (!isOverloaded) {
      return slackMs - PRIORITY_SLACK_MS * priorityWeight(queue.priority);
    }
    if (job.started) return slackMs - CLASS_SPACING;
    const saving = this.saving(input, outlook, Infinity);
    const rank = -slackMs - SLACK_PER_SAVING_MS * saving;
    return isOnLentRoom ? rank + CLASS_SPACING / 2 : rank;
  }

  /**
   * What is saved if the occurrence gets room now, and not at `laterMs`, relative
   * to the work that it needs.
   */
  private saving(
    input: OrderInput,
    {remainingPathMs, remainingWorkMs}: Outlook,
    laterMs: number,
  ): number {
    const sooner = this.delayCost.cost(input, input.nowMs + remainingPathMs);
    const later = this.delayCost.cost(input, laterMs + remainingPathMs);
    const saving = (later - sooner) / Math.max(1, remainingWorkMs);
    return Math.min(MAX_SAVING, saving);
  }
}
