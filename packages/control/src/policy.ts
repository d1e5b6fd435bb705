/** Decisions on how a team's limit is divided between entry sessions. */
import type {Session, Slice} from '@lentildrift/model';
import type {TeamUse} from '@lentildrift/protocol';

/** A session that has not ended, as far as one team is concerned. */
export interface SliceHolder {
  readonly session: string;
  readonly phase: Session['phase'];
  readonly slice?: Slice;
  /** Last report of the session; absent if none has arrived. */
  readonly use?: TeamUse;
}

export interface LimitInput {
  readonly limit: number;
  /** In a fixed order, such as that of session IDs. */
  readonly holders: readonly SliceHolder[];
}

export interface SliceChange {
  readonly session: string;
  readonly basedOn: number;
  readonly amount: number;
}

export interface LimitDecision {
  /** Session to the ceiling that its entry is asked to go down to. */
  readonly targets: ReadonlyMap<string, number>;
  /** Lower amounts first, so that what they free can be given in one change. */
  readonly slices: readonly SliceChange[];
}

/** Part of a slice below which a difference causes no reallocation. */
const HYSTERESIS = 0.1;

/**
 * Divides a team's limit. `decide` holds the rules that keep the limit, which
 * no policy can change: an amount is lowered only to what the entry reported
 * under the current generation, and raised only from what is free.
 */
export abstract class LimitPolicy {
  /**
   * Amounts wanted for the open holders. Their sum is at most `available`:
   * the limit without the slices of closed sessions.
   */
  protected abstract divide(
    available: number,
    open: readonly SliceHolder[],
  ): readonly number[];

  decide(input: LimitInput): LimitDecision {
    const open = input.holders.filter(({phase}) => phase === 'open');
    const held = sum(input.holders.map(sliceAmount));
    const closed = held - sum(open.map(sliceAmount));
    const available = Math.max(0, input.limit - closed);
    const wanted = this.divide(available, open);
    const over = held > input.limit;
    const targets = new Map<string, number>();
    const lowered: SliceChange[] = [];
    const wants: Want[] = [];
    let free = input.limit - held;
    open.forEach((holder, index) => {
      const amount = sliceAmount(holder);
      const goal = settleGoal(holder, wanted[index]!, over);
      if (goal < amount) targets.set(holder.session, goal);
      const change = lower(holder, goal);
      if (change) lowered.push(change);
      const kept = change?.amount ?? amount;
      free += amount - kept;
      if (!change && goal > amount) wants.push({holder, more: goal - amount});
    });
    return {targets, slices: [...lowered, ...raise(wants, free)]};
  }
}

interface Want {
  readonly holder: SliceHolder;
  readonly more: number;
}

export function sliceAmount(holder: SliceHolder): number {
  return holder.slice?.amount ?? 0;
}

/** Keeps the amount when the difference is too small to be worth a change. */
function settleGoal(
  holder: SliceHolder,
  wanted: number,
  over: boolean,
): number {
  const amount = sliceAmount(holder);
  const difference = Math.abs(wanted - amount);
  if (difference >= Math.max(1, amount * HYSTERESIS)) return wanted;
  // A lowered limit, and an entry that is short, are served to the last slot.
  const short = wanted > amount && (holder.use?.demand ?? 0) > amount;
  return short || (over && wanted < amount) ? wanted : amount;
}

/**
 * The change that takes back what the entry has given up. Under one
 * generation an entry only lowers its ceiling, and runs no more than the
 * larger of the ceiling and what it ran when it reported.
 */
function lower(holder: SliceHolder, goal: number): SliceChange | undefined {
  const {slice, use, session} = holder;
  if (!slice || !use || use.generation !== slice.generation) return undefined;
  if (use.ceiling >= slice.amount) return undefined;
  const least = Math.max(use.ceiling, use.running);
  const amount = Math.min(slice.amount, Math.max(least, goal));
  // An unchanged amount only serves to lift the ceiling again.
  if (amount === slice.amount && goal < slice.amount) return undefined;
  return {session, basedOn: slice.generation, amount};
}

function raise(wants: readonly Want[], free: number): SliceChange[] {
  const given = divideProportionally(
    Math.max(0, free),
    wants.map(({more}) => more),
  );
  return wants.flatMap(({holder, more}, index) => {
    const growth = Math.min(more, given[index]!);
    if (growth <= 0) return [];
    const basedOn = holder.slice?.generation ?? 0;
    const amount = sliceAmount(holder) + growth;
    return [{session: holder.session, basedOn, amount}];
  });
}

/** Even parts whatever the demand: the baseline. */
export class StaticPolicy extends LimitPolicy {
  protected override divide(available: number, open: readonly SliceHolder[]) {
    return divideProportionally(
      available,
      open.map(() => available),
    );
  }
}

/** Part of a limit that is spread evenly, against bursts at any entry. */
const RESERVE = 0.25;

/**
 * Gives each session its demand and an even reserve. What nobody asks for
 * stays free, so that a burst is served without taking from other entries.
 * A session that runs more than its part is asked to go down, and keeps what
 * it runs until that ends: otherwise a busy entry would never give way.
 */
export class DemandPolicy extends LimitPolicy {
  protected override divide(available: number, open: readonly SliceHolder[]) {
    const even = (available * RESERVE) / open.length;
    const reserve = Math.max(1, Math.floor(even));
    const needs = open.map(
      ({use}) => Math.max(use?.running ?? 0, use?.demand ?? 0) + reserve,
    );
    return divideProportionally(available, needs);
  }
}

/**
 * Whole parts of `total` in proportion to `weights`, each at most its weight;
 * what rounding leaves over goes to the largest remainders.
 */
export function divideProportionally(
  total: number,
  weights: readonly number[],
): number[] {
  const whole = sum(weights);
  if (whole <= total) return [...weights];
  const exact = weights.map(weight => (weight * total) / whole);
  const parts = exact.map(Math.floor);
  const order = parts
    .map((part, index) => ({index, rest: exact[index]! - part}))
    .sort((a, b) => b.rest - a.rest || a.index - b.index);
  let left = total - sum(parts);
  for (const {index} of order) {
    if (left <= 0) break;
    parts[index]! += 1;
    left -= 1;
  }
  return parts;
}

export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
