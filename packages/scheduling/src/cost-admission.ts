/** Admission by what a refusal costs callers. */
import {
  DeadlineAdmission,
  newJob,
  type AdmissionInput,
  type AdmissionVerdict,
  type Overloaded,
} from './admission.js';
import {ObjectiveCost, type DelayCost} from './cost.js';

/**
 * Time for which the current inflow is expected to go on. Bursts last for
 * seconds, and what is refused too early cannot be made good.
 */
const INFLOW_HORIZON_MS = 3000;

/**
 * The same for a caller that returns too late to be in time: it can still be
 * served once the inflow no longer fills the pool, at little further loss.
 */
const LATE_RETURN_HORIZON_MS = 8000;

/**
 * Answers demand above the capacity of all hosts, of one team or of many: while
 * the work that comes within the next second would no longer fit, room is kept
 * for it, and the jobs are refused at once that are beyond the share of their
 * team or that cost callers less than others for the work that they need. What
 * `DeadlineAdmission` refuses is refused, too.
 *
 * A caller that returns is not asked to give way again to jobs that cost more,
 * and neither is a class of sizes that was refused much more often than others.
 */
export class CostAdmission extends DeadlineAdmission {
  constructor(private readonly delayCost: DelayCost = new ObjectiveCost()) {
    super();
  }

  override decide(input: AdmissionInput): AdmissionVerdict {
    const verdict = super.decide(input);
    if (verdict.type === 'unservable') return verdict;
    const {workMs} = verdict;
    const {spec, shares, offers, queue, forecast} = input;
    if (workMs <= 0 || !shares || !offers || !forecast) return verdict;
    const offer = {queue: queue.name, workMs, costMs: this.costOf(input)};
    const standing = shares.standing(spec.team, workMs);
    const result = this.decideOnRoom(input, verdict, offer.costMs);
    offers.record(offer, result.type === 'admitted');
    if (result.type === 'admitted') return result;
    return {...result, ...standing, costMs: offer.costMs};
  }

  /** What is lost if the job is never done. */
  private costOf({spec, queue, nowMs, durations}: AdmissionInput): number {
    const job = newJob(spec, nowMs);
    const occasion = {job, queue, occurrence: 0, nowMs, durations};
    return this.delayCost.cost(occasion, Infinity);
  }

  private decideOnRoom(
    input: AdmissionInput,
    verdict: Exclude<AdmissionVerdict, {type: 'unservable'}>,
    costMs: number,
  ): AdmissionVerdict & {type: 'admitted' | 'overloaded'} {
    const {spec, queue, shares, offers, forecast, waitedMs = 0} = input;
    const {workMs} = verdict;
    const {isBeyondShare} = shares!.standing(spec.team, workMs);
    const {limitMs} = verdict;
    if (limitMs === undefined) return verdict;
    const withinPart = shares!.withinSharesPart();
    const endWith = (reservedMs: number) =>
      forecast!.doneInMs(input.acceptedWorkMs + workMs + reservedMs);
    if (verdict.type === 'overloaded') {
      return isBeyondShare ? {...verdict, reason: 'beyond-share'} : verdict;
    }
    const inflowCores = (forecast!.inflowCpuMillis / 1000) * withinPart;
    const isTooLate = waitedMs > 0 && waitedMs + endWith(0) > limitMs;
    const horizonMs = isTooLate ? LATE_RETURN_HORIZON_MS : INFLOW_HORIZON_MS;
    const inflowMs = inflowCores * horizonMs;
    const endMs = endWith(inflowMs);
    if (endMs <= limitMs) return verdict;
    const refused: Overloaded = {
      type: 'overloaded',
      reason: 'beyond-share',
      endMs,
      limitMs,
      workMs,
    };
    if (isBeyondShare) return refused;
    if (isTooLate) return {...refused, reason: 'least-cost'};
    if (waitedMs > 0 || offers!.isBelowFloor(queue.name, workMs)) {
      return verdict;
    }
    const mean = offers!.meanCostPerWork();
    if (mean === undefined) return verdict;
    // Work that costs more for each core millisecond, as a part of the inflow.
    const densePart = Math.max(0, 1 - costMs / workMs / mean);
    const keptEndMs = endWith(densePart * inflowMs);
    if (keptEndMs <= limitMs) return verdict;
    return {...refused, reason: 'least-cost', endMs: keptEndMs};
  }
}
