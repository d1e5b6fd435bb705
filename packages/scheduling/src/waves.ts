/** Policies that select the hosts that a maintenance wave empties next. */
import {z} from 'zod';

/** Why the maintenance of a host of a wave is not done. */
export const HostWaitReason = z.enum([
  /** The provider lists the host as down or as changing its state. */
  'not-up',
  /** The host is being moved between pools. */
  'moving',
  /** An order of an earlier leader to the host may still be in flight. */
  'foreign-order',
  /** As many hosts as the wave allows are down or about to be. */
  'no-slot',
  /** Too many tasks of a step on the host are unavailable already. */
  'budget',
  /** The host is in use, and the wave has time to wait until it is idle. */
  'in-use',
  /** As many hosts in use as may be emptied at once are, in its pool. */
  'pool-share',
  /** The host is being emptied. */
  'not-empty',
  /** The order to maintain the host has no answer that settles it. */
  'order-unsettled',
  /** The host has not returned from its maintenance. */
  'down',
]);
export type HostWaitReason = z.infer<typeof HostWaitReason>;

/** A host that is due for maintenance and may be emptied now. */
export interface WaveHost {
  readonly id: string;
  /** Pool of the worker on the host; undefined if there is none. */
  readonly pool: string | undefined;
  /** Whether nothing runs on the host. */
  readonly idle: boolean;
  /** Number of long-running tasks on the host, by step. */
  readonly lastingTasks: ReadonlyMap<string, number>;
  /** Number of those that are ready, by step; steps without any are absent. */
  readonly readyTasks: ReadonlyMap<string, number>;
}

/** A wave as the policy sees it. */
export interface WaveView {
  /** Time until the deadline of the wave; negative after it. */
  readonly remainingMs: number;
  /** Longest expected time from the choice of a host to its return. */
  readonly hostTimeMs: number;
  readonly atOnce: number;
  /** Hosts that are down, or whose order to go down is decided. */
  readonly down: number;
  /** Hosts that are being emptied and have no long-running tasks. */
  readonly emptying: number;
  /** Hosts that are being emptied of long-running tasks. */
  readonly emptyingLasting: number;
  readonly due: readonly WaveHost[];
  /** Number of workers, and of those that get no new runs, by pool. */
  readonly pools: ReadonlyMap<string, PoolSize>;
  /**
   * Number of tasks that may be stopped of each step with tasks on a due host,
   * beside those that are unavailable and those on hosts that are being emptied.
   */
  readonly budgets: ReadonlyMap<string, StepBudget>;
}

export interface PoolSize {
  readonly workers: number;
  readonly cordoned: number;
}

export interface StepBudget {
  /** Number of tasks that may be unavailable at once. */
  readonly limit: number;
  /** The part of the limit that is free; negative if it is exceeded. */
  readonly free: number;
}

export interface WaveDecision {
  readonly selected: readonly WaveHost[];
  /** The reason for each due host that is not selected. */
  readonly waiting: ReadonlyMap<string, HostWaitReason>;
}

export abstract class WavePolicy {
  /**
   * Selects the hosts to empty next. Idle hosts are selected at any time. Hosts
   * with long-running tasks are selected as far as the budgets of these allow,
   * since such hosts are never idle and wait for each other. Other hosts in use
   * are selected only if the wave would otherwise miss its deadline, few of one
   * pool at a time.
   */
  abstract select(view: WaveView): WaveDecision;
}

/**
 * Number of hosts that are emptied in advance, beyond those that may be down.
 */
const HOSTS_EMPTIED_AHEAD = 1;
/** Largest share of a pool's hosts that are emptied at once while in use. */
const MAX_EMPTYING_SHARE = 1 / 3;

/** Baseline: every host that is being emptied takes one of the slots. */
export class SlotWaves extends WavePolicy {
  /** How long before its deadline a wave should be done. */
  private static readonly RESERVE_MS = 7000;

  override select(view: WaveView): WaveDecision {
    const {atOnce, due, emptying, emptyingLasting} = view;
    const slots =
      atOnce + HOSTS_EMPTIED_AHEAD - view.down - emptying - emptyingLasting;
    const decision = new Decision(view);
    const rounds = Math.ceil(due.length / atOnce);
    const isPressing =
      view.remainingMs < rounds * view.hostTimeMs + SlotWaves.RESERVE_MS;
    const isFull = () => decision.selected.length >= slots;
    for (const host of due) {
      if (!host.idle) continue;
      if (isFull()) decision.wait(host, 'no-slot');
      else decision.take(host);
    }
    for (const host of due) {
      if (host.idle) continue;
      const reason = isFull() ? 'no-slot' : decision.obstacle(host, isPressing);
      if (reason === undefined) decision.take(host);
      else decision.wait(host, reason);
    }
    return decision;
  }
}

/**
 * Hosts with long-running tasks take no slot while they are emptied, which lasts
 * as long as the budgets of their steps demand, and those whose steps need the
 * most time are first. Other hosts in use are emptied once the rounds that their
 * pool needs would not fit into the remaining time any more.
 */
export class TimedWaves extends WavePolicy {
  /**
   * Time for what delays a wave without its doing: a change of leader holds up
   * hosts for 3.5 s after the next leader begins, and a lost worker for its
   * lease.
   */
  private static readonly RESERVE_MS = 9000;

  override select(view: WaveView): WaveDecision {
    const {atOnce, due} = view;
    const decision = new Decision(view);
    this.selectLasting(view, decision);
    let slots = atOnce + HOSTS_EMPTIED_AHEAD - view.down - view.emptying;
    const pressing = this.findPressingPools(view);
    const isPressing = ({pool}: WaveHost) =>
      pool === undefined || pressing.has(pool);
    // One round of each pressing pool precedes the idle hosts, since these would
    // take all slots for as long as any of them is due.
    for (const host of due) {
      if (host.idle || host.lastingTasks.size > 0) continue;
      const reason =
        slots <= 0 ? 'no-slot' : decision.obstacle(host, isPressing(host));
      if (reason !== undefined) {
        decision.wait(host, reason);
        continue;
      }
      decision.take(host);
      slots--;
    }
    for (const host of due) {
      if (!host.idle) continue;
      if (slots <= 0) {
        decision.wait(host, 'no-slot');
        continue;
      }
      decision.take(host);
      slots--;
    }
    return decision;
  }

  /**
   * Selects hosts with long-running tasks, as many as may be down at once, and
   * as many more as those that are down or empty leave of twice that number.
   * Without the second limit, hosts that were empty and waited for a slot piled
   * up. Near the deadline the budget of one step is enough, since hosts with
   * tasks of several steps could wait for others in turn.
   */
  private selectLasting(view: WaveView, decision: Decision): void {
    const {down, emptying, emptyingLasting} = view;
    const limit = view.atOnce + HOSTS_EMPTIED_AHEAD;
    let left = Math.min(
      limit - emptyingLasting,
      2 * limit - down - emptying - emptyingLasting,
    );
    const isPressing =
      view.remainingMs < view.hostTimeMs + TimedWaves.RESERVE_MS;
    for (const host of sortByRounds(view)) {
      const isAllowed = isPressing
        ? decision.hasStoppableTask(host)
        : decision.isWithinBudgets(host);
      if (left <= 0) decision.wait(host, 'no-slot');
      else if (!isAllowed) decision.wait(host, 'budget');
      else {
        decision.take(host);
        left--;
      }
    }
  }

  /** Pools whose hosts in use would miss the deadline if they waited longer. */
  private findPressingPools(view: WaveView): ReadonlySet<string> {
    const {atOnce, due, pools, hostTimeMs} = view;
    const usedHosts = new Map<string, number>();
    for (const {pool, idle, lastingTasks} of due) {
      if (idle || lastingTasks.size > 0 || pool === undefined) continue;
      usedHosts.set(pool, (usedHosts.get(pool) ?? 0) + 1);
    }
    const pressing = new Set<string>();
    const waveRounds = Math.ceil(due.length / atOnce);
    for (const [pool, used] of usedHosts) {
      const size = pools.get(pool);
      // A host in progress keeps the next ones waiting for up to a round.
      const inProgress = size?.cordoned ?? 0;
      const poolRounds = Math.ceil((used + inProgress) / emptyingLimit(size));
      const neededMs = Math.max(waveRounds, poolRounds) * hostTimeMs;
      if (view.remainingMs < neededMs + TimedWaves.RESERVE_MS) {
        pressing.add(pool);
      }
    }
    return pressing;
  }
}

/**
 * The hosts with long-running tasks; those of the step that takes the most
 * rounds of stops first, as one late host makes the wave late.
 */
function sortByRounds({due, budgets}: WaveView): WaveHost[] {
  const tasksByStep = new Map<string, number>();
  const hosts = due.filter(({lastingTasks}) => lastingTasks.size > 0);
  for (const {lastingTasks} of hosts) {
    for (const [step, count] of lastingTasks) {
      tasksByStep.set(step, (tasksByStep.get(step) ?? 0) + count);
    }
  }
  const roundsOf = ({lastingTasks}: WaveHost) =>
    Math.max(
      ...[...lastingTasks.keys()].map(
        step => tasksByStep.get(step)! / (budgets.get(step)?.limit ?? 1),
      ),
    );
  const ranked = hosts.map(host => ({host, rounds: roundsOf(host)}));
  return ranked.sort((a, b) => b.rounds - a.rounds).map(({host}) => host);
}

/** Number of hosts in use of one pool that may be emptied at once. */
function emptyingLimit(pool: PoolSize | undefined): number {
  return Math.max(1, Math.floor((pool?.workers ?? 0) * MAX_EMPTYING_SHARE));
}

/** The decisions of one round, with the budgets and pools that they leave. */
class Decision implements WaveDecision {
  readonly selected: WaveHost[] = [];
  readonly waiting = new Map<string, HostWaitReason>();
  /** Ready tasks of the selected hosts, by step. */
  private readonly taken = new Map<string, number>();
  /** Selected hosts, by pool. */
  private readonly cordoned = new Map<string, number>();

  constructor(private readonly view: WaveView) {}

  take(host: WaveHost): void {
    this.selected.push(host);
    for (const [step, count] of host.readyTasks) {
      this.taken.set(step, (this.taken.get(step) ?? 0) + count);
    }
    if (host.pool === undefined) return;
    this.cordoned.set(host.pool, (this.cordoned.get(host.pool) ?? 0) + 1);
  }

  wait({id}: WaveHost, reason: HostWaitReason): void {
    this.waiting.set(id, reason);
  }

  /** Why a host in use is not emptied yet, if there is a reason. */
  obstacle(host: WaveHost, isPressing: boolean): HostWaitReason | undefined {
    const hasLastingTasks = host.lastingTasks.size > 0;
    if (hasLastingTasks && this.isWithinBudgets(host)) return undefined;
    if (!isPressing) return hasLastingTasks ? 'budget' : 'in-use';
    return this.isWithinPoolShare(host) ? undefined : 'pool-share';
  }

  /**
   * Whether a task of each step on the host may be stopped. A host may have more
   * tasks of a step than may be unavailable at once; they are stopped in turn.
   */
  isWithinBudgets(host: WaveHost): boolean {
    return [...host.lastingTasks.keys()].every(step =>
      this.hasBudget(host, step),
    );
  }

  /** Whether a task of some step on the host may be stopped. */
  hasStoppableTask(host: WaveHost): boolean {
    return [...host.lastingTasks.keys()].some(step =>
      this.hasBudget(host, step),
    );
  }

  /**
   * A task that is not ready counts as unavailable already, so its stop takes
   * nothing of the budget.
   */
  private hasBudget({readyTasks}: WaveHost, step: string): boolean {
    if (!readyTasks.has(step)) return true;
    const free = this.view.budgets.get(step)?.free ?? 0;
    return free - (this.taken.get(step) ?? 0) > 0;
  }

  private isWithinPoolShare({pool}: WaveHost): boolean {
    if (pool === undefined) return true;
    const size = this.view.pools.get(pool);
    const cordoned = (size?.cordoned ?? 0) + (this.cordoned.get(pool) ?? 0);
    return cordoned + 1 <= emptyingLimit(size);
  }
}
