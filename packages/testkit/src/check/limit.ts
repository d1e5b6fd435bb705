/** The checker of upper limits: the sum of running calls at each instant. */
import {ofType, type HistoryEvent} from '../history.js';
import type {Checker} from './checker.js';

/**
 * A limit that was lowered binds new work only once the work above it has
 * ended, so a run is judged by the highest limit in force while any run that
 * overlaps it lasted.
 */
export const limit: Checker = events => {
  const violations: string[] = [];
  const running = new Map<string, Set<string>>();
  const teamOf = new Map<string, string>();
  const allowed = new Map<string, number>();
  const current = new Map<string, number>();
  let examined = 0;
  for (const event of events) {
    if (event.type === 'applied') noteLimits(event, current, allowed);
    if (event.type === 'run-began') {
      examined++;
      teamOf.set(event.call, event.team);
      const set = running.get(event.team) ?? new Set();
      running.set(event.team, set.add(`${event.call}@${event.upstream}`));
      const bound = allowed.get(event.team) ?? 0;
      if (set.size > bound) {
        violations.push(
          `team ${event.team} has ${set.size} running at ${event.atMs} ms; its limit is ${bound}`,
        );
      }
    }
    if (event.type === 'run-ended') {
      const team = teamOf.get(event.call)!;
      const set = running.get(team)!;
      set.delete(`${event.call}@${event.upstream}`);
      const bound = current.get(team) ?? 0;
      if (set.size <= bound) allowed.set(team, bound);
    }
  }
  return {examined, violations};
};

function noteLimits(
  event: Extract<HistoryEvent, {type: 'applied'}>,
  current: Map<string, number>,
  allowed: Map<string, number>,
): void {
  for (const [team, bound] of Object.entries(event.limits ?? {})) {
    current.set(team, bound);
    allowed.set(team, Math.max(bound, allowed.get(team) ?? 0));
  }
}

/** No team's work runs without a key that was given to that team. */
export function teamsOfKeys(
  events: readonly HistoryEvent[],
): Map<string, string> {
  const teams = new Map<string, string>();
  for (const {command} of ofType(events, 'command-sent')) {
    if (command.type !== 'give-key') continue;
    if (command.subject.kind !== 'team') continue;
    teams.set(command.keyId, command.subject.team);
  }
  return teams;
}
