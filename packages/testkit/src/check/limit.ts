/** The checker of upper limits: the sum of running calls at each instant. */
import {filterByType, type EventOf, type HistoryEvent} from '../history.js';
import {PROPAGATION_LIMIT_MS, type Checker} from './checker.js';

interface TeamLimit {
  /** Limit in the newest state. */
  readonly current: number;
  /** Limit that new work is judged by. */
  readonly binding: number;
  readonly loweredAtMs: number;
}

const NO_LIMIT: TeamLimit = {current: 0, binding: 0, loweredAtMs: -Infinity};

/**
 * A raised limit binds at once. A lowered one binds when it has had the time
 * in which every change must be in force, and the work above it has ended.
 */
export const checkLimit: Checker = events => {
  const violations: string[] = [];
  const running = new Map<string, Set<string>>();
  const teamOf = new Map<string, string>();
  const limits = new Map<string, TeamLimit>();
  let revision = 0;
  let examined = 0;
  for (const event of events) {
    // A replica that lags behind applies what is no longer in force.
    if (event.type === 'applied' && event.revision > revision) {
      revision = event.revision;
      noteLimits(event, limits);
    }
    if (event.type === 'run-began') {
      examined++;
      teamOf.set(event.call, event.team);
      const set = running.get(event.team) ?? new Set();
      const {binding} = bind(limits, event.team, set.size, event.atMs);
      running.set(event.team, set.add(`${event.call}@${event.upstream}`));
      if (set.size > binding) {
        violations.push(
          `team ${event.team} has ${set.size} running at ${event.atMs} ms; its limit is ${binding}`,
        );
      }
    }
    if (event.type === 'run-ended') {
      const team = teamOf.get(event.call)!;
      const set = running.get(team)!;
      set.delete(`${event.call}@${event.upstream}`);
      bind(limits, team, set.size, event.atMs);
    }
  }
  return {examined, violations};
};

/** Lets a lowered limit bind once it is due. */
function bind(
  limits: Map<string, TeamLimit>,
  team: string,
  running: number,
  atMs: number,
): TeamLimit {
  const held = limits.get(team) ?? NO_LIMIT;
  const due = atMs >= held.loweredAtMs + PROPAGATION_LIMIT_MS;
  if (!due || running > held.current) return held;
  const bound = {...held, binding: held.current};
  limits.set(team, bound);
  return bound;
}

function noteLimits(
  event: EventOf<'applied'>,
  limits: Map<string, TeamLimit>,
): void {
  for (const [team, current] of Object.entries(event.limits ?? {})) {
    const held = limits.get(team) ?? NO_LIMIT;
    const lowered = current < held.current;
    limits.set(team, {
      current,
      binding: Math.max(current, held.binding),
      loweredAtMs: lowered ? event.atMs : held.loweredAtMs,
    });
  }
}

/** No team's work runs without a key that was given to that team. */
export function mapKeysToTeams(
  events: readonly HistoryEvent[],
): Map<string, string> {
  const teams = new Map<string, string>();
  for (const {command} of filterByType(events, 'command-sent')) {
    if (command.type !== 'give-key') continue;
    if (command.subject.kind !== 'team') continue;
    teams.set(command.keyId, command.subject.team);
  }
  return teams;
}
