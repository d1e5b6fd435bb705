/**
 * Decides which calls may run: the freshness lease, and for each team the
 * slice, the ceiling and the running calls. No I/O; times are arguments.
 */
import {ceilingOf, refuse, type Refusal, type Slice} from '@lentildrift/model';
import type {CeilingTarget, TeamUse} from '@lentildrift/protocol';
import {EntryRules} from './rules.js';

/** A refused call counts as demand for this long: callers try again soon. */
const REFUSED_DEMAND_MS = 100;
const RETRY_AFTER_MS = 1000;

/** Proof of admission, given back when the call has ended. */
export interface Grant {
  readonly team: string;
  readonly session: string;
}

export interface Renewal {
  readonly session: string;
  /** When the sync that renewed the lease was sent, in milliseconds. */
  readonly sentMs: number;
  readonly slices: Readonly<Record<string, Slice>>;
  /** Ceilings to lower, by team. */
  readonly targets: Readonly<Record<string, CeilingTarget>>;
}

export interface Ledger {
  admit(team: string, nowMs: number): Grant | Refusal;
  /** Whether `admit` would grant a call. */
  hasRoom(team: string, nowMs: number): boolean;
  release(grant: Grant): void;
  /** Starts a session with no slices; calls of the one before count no more. */
  open(session: string): void;
  /** Returns whether a ceiling went down, so that slots can be taken back. */
  renew(renewal: Renewal): boolean;
  /** Use of each team; the demand is measured anew from here on. */
  report(): Record<string, TeamUse>;
  /** Most calls that may run for the team here. */
  ceiling(team: string): number;
  freshUntilMs(): number;
}

interface TeamAccount {
  generation: number;
  ceiling: number;
  running: number;
  demand: number;
  refused: number;
  refusedSinceMs: number;
}

export function isGrant(result: Grant | Refusal): result is Grant {
  return 'session' in result;
}

export function createLedger(rules = new EntryRules()): Ledger {
  let session: string | undefined;
  let freshUntilMs = -Infinity;
  let accounts = new Map<string, TeamAccount>();

  function account(team: string): TeamAccount {
    let found = accounts.get(team);
    if (!found) {
      found = {
        generation: 0,
        ceiling: 0,
        running: 0,
        demand: 0,
        refused: 0,
        refusedSinceMs: -Infinity,
      };
      accounts.set(team, found);
    }
    return found;
  }

  function hasRoom(team: string, nowMs: number): boolean {
    if (session === undefined || nowMs >= freshUntilMs) return false;
    const held = account(team);
    return rules.admits(held.running, held.ceiling);
  }

  function admit(team: string, nowMs: number): Grant | Refusal {
    if (session === undefined || nowMs >= freshUntilMs) {
      return refuse('stale', 'this entry host has no current configuration', {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    const held = account(team);
    if (!rules.admits(held.running, held.ceiling)) {
      countRefused(held, nowMs);
      return refuse('over-limit', `team "${team}" is at its limit`, {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    held.running += 1;
    held.demand = Math.max(held.demand, held.running);
    return {team, session};
  }

  function release(grant: Grant): void {
    // Calls of an earlier session run under the slices of that session, which
    // control returns only after the longest deadline.
    if (grant.session === session) account(grant.team).running -= 1;
  }

  function open(next: string): void {
    session = next;
    freshUntilMs = -Infinity;
    accounts = new Map();
  }

  function renew(renewal: Renewal): boolean {
    if (renewal.session !== session) return false;
    let lowered = false;
    const {slices, targets, sentMs} = renewal;
    for (const [team, slice] of Object.entries(slices)) {
      const held = account(team);
      // Control may already have taken back what a lowered ceiling freed, so
      // the ceiling rises only on a generation newer than the reported one.
      if (slice.generation > held.generation) {
        held.generation = slice.generation;
        held.ceiling = ceilingOf(slice);
      }
    }
    for (const [team, target] of Object.entries(targets)) {
      const held = accounts.get(team);
      if (held?.generation !== target.generation) continue;
      lowered ||= target.ceiling < held.ceiling;
      held.ceiling = Math.min(held.ceiling, target.ceiling);
    }
    freshUntilMs = Math.max(freshUntilMs, rules.leaseEndMs(sentMs));
    return lowered;
  }

  function report(): Record<string, TeamUse> {
    const use: Record<string, TeamUse> = {};
    for (const [team, held] of accounts) {
      const {running, generation, ceiling} = held;
      use[team] = {running, generation, ceiling, demand: held.demand};
      held.demand = running;
      held.refused = 0;
    }
    return use;
  }

  return {
    admit,
    hasRoom,
    release,
    open,
    renew,
    report,
    ceiling: team => accounts.get(team)?.ceiling ?? 0,
    freshUntilMs: () => freshUntilMs,
  };
}

function countRefused(held: TeamAccount, nowMs: number): void {
  if (nowMs - held.refusedSinceMs >= REFUSED_DEMAND_MS) {
    held.refusedSinceMs = nowMs;
    held.refused = 0;
  }
  held.refused += 1;
  held.demand = Math.max(held.demand, held.running + held.refused);
}
