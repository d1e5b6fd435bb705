/**
 * Decides which calls may run, from the freshness lease and each team's slice,
 * ceiling and running calls. Does no I/O; times are passed as arguments.
 */
import {ceilingOf, refuse, type Refusal, type Slice} from '@lentildrift/model';
import type {CeilingTarget, TeamUse} from '@lentildrift/protocol';
import {EntryRules} from './rules.js';

/** A refused call counts as demand for this long, since callers soon retry. */
const REFUSED_DEMAND_MS = 100;
const RETRY_AFTER_MS = 1000;

/** Proof of admission, which is released when the call has ended. */
export interface Grant {
  readonly team: string;
  readonly session: string;
}

/** Renewal of the freshness lease, with the contents of the sync response. */
export interface Renewal {
  readonly session: string;
  /** When the sync that renews the lease was sent, on the monotonic clock. */
  readonly sentMs: number;
  readonly slices: Readonly<Record<string, Slice>>;
  /** Lower ceilings that control asks for, by team. */
  readonly targets: Readonly<Record<string, CeilingTarget>>;
}

/** Limits the concurrent calls of each team to the slice of the entry host. */
export interface ConcurrencyLimiter {
  admit(team: string, nowMs: number): Grant | Refusal;
  /** Whether `admit` would return a grant. */
  canAdmit(team: string, nowMs: number): boolean;
  release(grant: Grant): void;
  /**
   * Starts a session without slices; calls of earlier sessions do not count.
   */
  openSession(session: string): void;
  /**
   * Returns whether a ceiling was lowered, so that control can reclaim slots.
   */
  renew(renewal: Renewal): boolean;
  /** Returns the use of each team and starts a new measurement of demand. */
  reportUse(): Record<string, TeamUse>;
  /** Most calls of the team that may run at this entry host. */
  ceiling(team: string): number;
  /** End of the freshness lease, on the monotonic clock. */
  freshUntilMs(): number;
}

interface TeamState {
  /** Generation of the slice. */
  generation: number;
  ceiling: number;
  running: number;
  /** Most calls, running or refused, since the last report. */
  demand: number;
  /** Calls refused since `refusedSinceMs`. */
  refused: number;
  refusedSinceMs: number;
}

export function isGrant(result: Grant | Refusal): result is Grant {
  return 'session' in result;
}

export function createLimiter(rules = new EntryRules()): ConcurrencyLimiter {
  let session: string | undefined;
  let freshUntilMs = -Infinity;
  let teams = new Map<string, TeamState>();

  function getTeamState(team: string): TeamState {
    let state = teams.get(team);
    if (!state) {
      state = {
        generation: 0,
        ceiling: 0,
        running: 0,
        demand: 0,
        refused: 0,
        refusedSinceMs: -Infinity,
      };
      teams.set(team, state);
    }
    return state;
  }

  function canAdmit(team: string, nowMs: number): boolean {
    if (session === undefined || nowMs >= freshUntilMs) return false;
    const state = getTeamState(team);
    return rules.canAdmit(state.running, state.ceiling);
  }

  function admit(team: string, nowMs: number): Grant | Refusal {
    if (session === undefined || nowMs >= freshUntilMs) {
      return refuse('stale', 'this entry host has no current configuration', {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    const state = getTeamState(team);
    if (!rules.canAdmit(state.running, state.ceiling)) {
      countRefusal(state, nowMs);
      return refuse('over-limit', `team "${team}" is at its limit`, {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    state.running += 1;
    state.demand = Math.max(state.demand, state.running);
    return {team, session};
  }

  function release(grant: Grant): void {
    // Calls of an earlier session run under the slices of that session, which
    // control reclaims only after the longest deadline of a call.
    if (grant.session === session) getTeamState(grant.team).running -= 1;
  }

  function openSession(next: string): void {
    session = next;
    freshUntilMs = -Infinity;
    teams = new Map();
  }

  function renew(renewal: Renewal): boolean {
    if (renewal.session !== session) return false;
    let lowered = false;
    const {slices, targets, sentMs} = renewal;
    for (const [team, slice] of Object.entries(slices)) {
      const state = getTeamState(team);
      // Control may already have reclaimed the slots that a lowered ceiling
      // released, so only a generation newer than the reported one raises the
      // ceiling.
      if (slice.generation > state.generation) {
        state.generation = slice.generation;
        state.ceiling = ceilingOf(slice);
      }
    }
    for (const [team, target] of Object.entries(targets)) {
      const state = teams.get(team);
      if (state?.generation !== target.generation) continue;
      lowered ||= target.ceiling < state.ceiling;
      state.ceiling = Math.min(state.ceiling, target.ceiling);
    }
    freshUntilMs = Math.max(freshUntilMs, rules.leaseEndMs(sentMs));
    return lowered;
  }

  function reportUse(): Record<string, TeamUse> {
    const use: Record<string, TeamUse> = {};
    for (const [team, state] of teams) {
      const {running, generation, ceiling} = state;
      use[team] = {running, generation, ceiling, demand: state.demand};
      state.demand = running;
      state.refused = 0;
    }
    return use;
  }

  return {
    admit,
    canAdmit,
    release,
    openSession,
    renew,
    reportUse,
    ceiling: team => teams.get(team)?.ceiling ?? 0,
    freshUntilMs: () => freshUntilMs,
  };
}

function countRefusal(state: TeamState, nowMs: number): void {
  if (nowMs - state.refusedSinceMs >= REFUSED_DEMAND_MS) {
    state.refusedSinceMs = nowMs;
    state.refused = 0;
  }
  state.refused += 1;
  state.demand = Math.max(state.demand, state.running + state.refused);
}
