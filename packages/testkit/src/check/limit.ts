/** The checker of upper limits on the calls that a team runs at the same time. */
import {filterByType, type EventOf, type HistoryEvent} from '../history.js';
import {PROPAGATION_LIMIT_MS, type Checker} from './checker.js';

interface TeamLimit {
  /** Limit in the newest applied state. */
  readonly current: number;
  /** Limit that new calls must respect. */
  readonly enforced: number;
  readonly loweredAtMs: number;
}

const NO_LIMIT: TeamLimit = {current: 0, enforced: 0, loweredAtMs: -Infinity};

/**
 * Checks that no team runs more calls at a time than its upper limit. A raised
 * limit applies at once. A lowered limit applies when the propagation limit has
 * passed and the calls above the lowered limit have ended.
 */
export const checkLimit: Checker = events => {
  const violations: string[] = [];
  const running = new Map<string, Set<string>>();
  const teamByCall = new Map<string, string>();
  const limits = new Map<string, TeamLimit>();
  let revision = 0;
  let examined = 0;
  for (const event of events) {
    // A replica that lags behind applies limits that are already replaced.
    if (event.type === 'applied' && event.revision > revision) {
      revision = event.revision;
      updateLimits(event, limits);
    }
    if (event.type === 'run-began') {
      examined++;
      teamByCall.set(event.call, event.team);
      const calls = running.get(event.team) ?? new Set();
      const {enforced} = enforceDueLimit(
        limits,
        event.team,
        calls.size,
        event.atMs,
      );
      running.set(event.team, calls.add(`${event.call}@${event.upstream}`));
      if (calls.size > enforced) {
        violations.push(
          `team ${event.team} has ${calls.size} calls running at ${event.atMs} ms, but its limit is ${enforced}`,
        );
      }
    }
    if (event.type === 'run-ended') {
      const team = teamByCall.get(event.call)!;
      const calls = running.get(team)!;
      calls.delete(`${event.call}@${event.upstream}`);
      enforceDueLimit(limits, team, calls.size, event.atMs);
    }
  }
  return {examined, violations};
};

/**
 * Enforces a lowered limit if the propagation limit has passed and the running
 * calls fit into the lowered limit. Returns the limit of the team.
 */
function enforceDueLimit(
  limits: Map<string, TeamLimit>,
  team: string,
  running: number,
  atMs: number,
): TeamLimit {
  const limit = limits.get(team) ?? NO_LIMIT;
  const isDue = atMs >= limit.loweredAtMs + PROPAGATION_LIMIT_MS;
  if (!isDue || running > limit.current) return limit;
  const updated = {...limit, enforced: limit.current};
  limits.set(team, updated);
  return updated;
}

/** Records the limits in a newly applied state. */
function updateLimits(
  event: EventOf<'applied'>,
  limits: Map<string, TeamLimit>,
): void {
  for (const [team, current] of Object.entries(event.limits ?? {})) {
    const previous = limits.get(team) ?? NO_LIMIT;
    const lowered = current < previous.current;
    limits.set(team, {
      current,
      enforced: Math.max(current, previous.enforced),
      loweredAtMs: lowered ? event.atMs : previous.loweredAtMs,
    });
  }
}

/** Maps key IDs to the teams for which the keys were issued. */
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
