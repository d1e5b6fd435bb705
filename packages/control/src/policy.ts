/** Policies that divide a team's limit between entry sessions. */
import type {Session, Slice} from '@lentildrift/model';
import type {TeamUse} from '@lentildrift/protocol';

/** One team's slice and use in a session that has not ended. */
export interface SliceHolder {
  readonly session: string;
  readonly phase: Session['phase'];
  readonly slice?: Slice;
  /** Last report of the session; absent if none has arrived. */
  readonly use?: TeamUse;
}

export interface LimitInput {
  /** The team's limit, in slots. */
  readonly limit: number;
  /** In an order that does not change between decisions, such as by session ID. */
  readonly holders: readonly SliceHolder[];
}

export interface SliceChange {
  readonly session: string;
  /** Generation of the slice that the change applies to; 0 without a slice. */
  readonly basedOn: number;
  /** New size of the slice, in slots. */
  readonly amount: number;
}

export interface LimitDecision {
  /** Session ID to the ceiling that its entry is asked to go down to. */
  readonly targets: ReadonlyMap<string, number>;
  /**
   * Decreases before increases, so that slots freed by the decreases can be
   * granted in the same change.
   */
  readonly slices: readonly SliceChange[];
}

/** Differences below this fraction of a slice cause no reallocation. */
const HYSTERESIS_FRACTION = 0.1;

/**
 * Divides a team's limit. Subclasses choose the division. `decide` enforces the
 * rules that keep the slices within the limit, whatever the subclass returns: a
 * slice is lowered only to what the entry reported under the slice's current
 * generation, and raised only from slots that are free.
 */
export abstract class LimitPolicy {
  /**
   * Returns the wanted amount of each open holder, in the order of `open`. The
   * sum is at most `available`: the limit without the slices of closed sessions.
   */
  protected abstract divide(
    available: number,
    open: readonly SliceHolder[],
  ): readonly number[];

  /** Returns the slice changes that are safe now, and the ceilings to ask for. */
  decide(input: LimitInput): LimitDecision {
    const open = input.holders.filter(({phase}) => phase === 'open');
    const allocated = sum(input.holders.map(sliceAmount));
    const allocatedToClosed = allocated - sum(open.map(sliceAmount));
    const available = Math.max(0, input.limit - allocatedToClosed);
    const wanted = this.divide(available, open);
    const isOverLimit = allocated > input.limit;
    const targets = new Map<string, number>();
    const lowered: SliceChange[] = [];
    const increases: Increase[] = [];
    let freeSlots = input.limit - allocated;
    open.forEach((holder, index) => {
      const amount = sliceAmount(holder);
      const goal = applyHysteresis(holder, wanted[index]!, isOverLimit);
      if (goal < amount) targets.set(holder.session, goal);
      const change = lowerSlice(holder, goal);
      if (change) lowered.push(change);
      const kept = change?.amount ?? amount;
      freeSlots += amount - kept;
      if (!change && goal > amount)
        increases.push({holder, increment: goal - amount});
    });
    return {
      targets,
      slices: [...lowered, ...raiseSlices(increases, freeSlots)],
    };
  }
}

/** Slots that a holder wants on top of its slice. */
interface Increase {
  readonly holder: SliceHolder;
  readonly increment: number;
}

export function sliceAmount(holder: SliceHolder): number {
  return holder.slice?.amount ?? 0;
}

/** Returns the present amount if the difference is too small for a change. */
function applyHysteresis(
  holder: SliceHolder,
  wanted: number,
  isOverLimit: boolean,
): number {
  const amount = sliceAmount(holder);
  const difference = Math.abs(wanted - amount);
  if (difference >= Math.max(1, amount * HYSTERESIS_FRACTION)) return wanted;
  // Small differences still count while the limit is exceeded, for example
  // after it was lowered, and for an entry that is short of slots.
  const isShort = wanted > amount && (holder.use?.demand ?? 0) > amount;
  return isShort || (isOverLimit && wanted < amount) ? wanted : amount;
}

/**
 * Returns the change that reclaims the slots that the entry released. Under one
 * generation of its slice an entry only lowers its ceiling, and runs no more
 * calls than the larger of the ceiling and what it ran when it reported.
 */
function lowerSlice(
  holder: SliceHolder,
  goal: number,
): SliceChange | undefined {
  const {slice, use, session} = holder;
  if (!slice || !use || use.generation !== slice.generation) return undefined;
  if (use.ceiling >= slice.amount) return undefined;
  const minimum = Math.max(use.ceiling, use.running);
  const amount = Math.min(slice.amount, Math.max(minimum, goal));
  // A change to the same amount starts a new generation, which lifts the
  // ceiling again. That is needed only if the entry is to keep the amount.
  if (amount === slice.amount && goal < slice.amount) return undefined;
  return {session, basedOn: slice.generation, amount};
}

/** Divides the free slots between the holders that want more. */
function raiseSlices(
  increases: readonly Increase[],
  freeSlots: number,
): SliceChange[] {
  const granted = divideProportionally(
    Math.max(0, freeSlots),
    increases.map(({increment}) => increment),
  );
  return increases.flatMap(({holder, increment}, index) => {
    const growth = Math.min(increment, granted[index]!);
    if (growth <= 0) return [];
    const basedOn = holder.slice?.generation ?? 0;
    const amount = sliceAmount(holder) + growth;
    return [{session: holder.session, basedOn, amount}];
  });
}

/** Divides a limit evenly, whatever the demand; the baseline in comparisons. */
export class StaticPolicy extends LimitPolicy {
  protected override divide(available: number, open: readonly SliceHolder[]) {
    return divideProportionally(
      available,
      open.map(() => available),
    );
  }
}

/** Fraction of a limit that is divided evenly as a reserve for bursts. */
const RESERVE_FRACTION = 0.25;

/**
 * Allocates to each session its demand and an even part of a reserve. Slots that
 * no session demands stay free, so that a burst can be served without reclaiming
 * slots from other entries. A session that runs more calls than its part is
 * asked to lower its ceiling, and keeps the slots of running calls until these
 * calls end. Otherwise a busy entry would never release slots.
 */
export class DemandPolicy extends LimitPolicy {
  protected override divide(available: number, open: readonly SliceHolder[]) {
    const evenShare = (available * RESERVE_FRACTION) / open.length;
    const reserve = Math.max(1, Math.floor(evenShare));
    const needs = open.map(
      ({use}) => Math.max(use?.running ?? 0, use?.demand ?? 0) + reserve,
    );
    return divideProportionally(available, needs);
  }
}

/**
 * Divides `total` into whole parts in proportion to `weights`, each at most its
 * weight, by the largest remainder method.
 */
export function divideProportionally(
  total: number,
  weights: readonly number[],
): number[] {
  const weightSum = sum(weights);
  if (weightSum <= total) return [...weights];
  const exact = weights.map(weight => (weight * total) / weightSum);
  const parts = exact.map(Math.floor);
  const order = parts
    .map((part, index) => ({index, remainder: exact[index]! - part}))
    .sort((a, b) => b.remainder - a.remainder || a.index - b.index);
  let remaining = total - sum(parts);
  for (const {index} of order) {
    if (remaining <= 0) break;
    parts[index]! += 1;
    remaining -= 1;
  }
  return parts;
}

export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
