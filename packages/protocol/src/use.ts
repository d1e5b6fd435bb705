/** The teams' use of their slices, and differences between two reports. */
import type {TeamUse} from './message.js';

/** The use of each team, by team. */
export type UseByTeam = Readonly<Record<string, TeamUse>>;

/** Returns the entries of `current` that are absent or differ in `previous`. */
export function diffUse(
  current: UseByTeam,
  previous: UseByTeam,
): Record<string, TeamUse> {
  const changed = Object.entries(current).filter(
    ([team, use]) =>
      !Object.hasOwn(previous, team) || !isEqualUse(previous[team]!, use),
  );
  return Object.fromEntries(changed);
}

function isEqualUse(a: TeamUse, b: TeamUse): boolean {
  return (
    a.running === b.running &&
    a.demand === b.demand &&
    a.generation === b.generation &&
    a.ceiling === b.ceiling
  );
}
